//! `limpetmux quarantine`: lists the quarantined parts of prompts, and ends quarantines.
//!
//! Any node of a deployment can be asked, as each knows all verdicts. See `docs/design/quarantine.md`.

use super::admin_client::{AdminError, connect_channel, no_answer};
use crate::adapters::channel::Channels;
use crate::core::prompt_part::{self, PartId};
use crate::core::quarantine::HoldRecord;
use crate::fleet::evidence;
use crate::wire::fleet::QuarantineRequest;
use crate::wire::fleet::fleet_client::FleetClient;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::Request;

/// The time limit for the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Ends the quarantine of some parts, each with all parts that it is held back with, and returns the
/// groups that are still quarantined.
///
/// # Errors
/// Returns [`AdminError`] if the node cannot be reached or does not answer.
pub async fn run(
    channels: &Channels,
    addr: SocketAddr,
    lift: &[PartId],
) -> Result<Vec<HoldRecord>, AdminError> {
    let mut client = FleetClient::new(connect_channel(channels, addr).await?);
    let lift = lift.iter().map(|part| part.value()).collect();
    let mut request = Request::new(QuarantineRequest { lift });
    request.set_timeout(CALL_TIMEOUT);
    let reply = client.quarantine(request).await.map_err(no_answer(addr))?;
    let holds = evidence::decode(reply.into_inner()).holds;
    Ok(holds.into_iter().filter(HoldRecord::is_held).collect())
}

/// Renders quarantined groups of parts as a table.
pub fn table(holds: &[HoldRecord]) -> String {
    if holds.is_empty() {
        return "no part is quarantined\n".to_owned();
    }
    let mut text = format!(
        "{:>9}  {:>6}  {:>5}  parts; backend servers that ended\n",
        "since", "trials", "size"
    );
    for hold in holds {
        let since = format!("{} s", hold.age.as_secs());
        let (parts, servers) = (prompt_part::list(&hold.parts), hold.servers.join(" "));
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{since:>9}  {:>6}  {:>5}  {parts}; {servers}",
            hold.trials,
            hold.parts.len()
        );
    }
    text
}
