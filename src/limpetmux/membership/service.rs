//! The loop that owns the membership, and the poller of the host list.

use super::Reporter;
use crate::adapters::hosts::HostsClient;
use crate::core::config::Name;
use crate::core::membership::{HostState, HostStates, Listed, Membership, Sighting};
use crate::core::view::View;
use crate::event;
use crate::kernel::{Kernel, KernelError, Port, Published, Publisher, ServiceId};
use crate::util::clock;
use crate::util::event::EventCode;
use std::future::pending;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that wait for the service; reports beyond are dropped and come again.
const QUEUE: usize = 1_024;
/// The shortest time between two reads of the host list.
const MIN_POLL: Duration = Duration::from_secs(2);
/// What one row of the list may cost in time, so that the list stays within 8 KiB a second.
const POLL_PER_ROW: Duration = Duration::from_millis(8);

/// What the membership service receives.
#[derive(Clone, Debug)]
pub enum MembershipMessage {
    /// The platform's host list was read.
    Listed(Vec<Listed>),
    /// Something was seen of a host on the wire.
    Saw {
        /// The host.
        host: Name,
        /// What was seen.
        sighting: Sighting,
    },
}

/// What the membership service works with.
#[derive(Clone)]
pub struct MembershipParts {
    /// The configuration in force.
    pub views: Published<View>,
    /// The platform's host list, if the node reads it.
    pub hosts: Option<HostsClient>,
}

/// Registers the service and starts it and the poller; both end with the kernel.
///
/// # Errors
/// Returns [`KernelError::Taken`] if the process already has a membership service.
pub fn start(kernel: &Kernel, parts: MembershipParts) -> Result<Reporter, KernelError> {
    let queue = kernel.register(ServiceId::Membership, QUEUE)?;
    let port: Port<MembershipMessage> = kernel.find(ServiceId::Membership)?;
    let publisher = Publisher::new(HostStates::default());
    let reporter = Reporter::new(port, publisher.reader());
    tokio::spawn(serve(queue, parts.views, publisher));
    if let Some(hosts) = parts.hosts {
        tokio::spawn(poll(hosts, kernel.find(ServiceId::Membership)?));
    }
    Ok(reporter)
}

/// Returns the time until the next read of a list of `rows` hosts.
pub fn poll_interval(rows: usize) -> Duration {
    let rows = u32::try_from(rows).unwrap_or(u32::MAX);
    MIN_POLL.max(POLL_PER_ROW.saturating_mul(rows))
}

async fn poll(hosts: HostsClient, port: Port<MembershipMessage>) {
    let mut rows = 0;
    let mut up = true;
    loop {
        match (hosts.list)().await {
            Ok(list) => {
                rows = list.len();
                if !up {
                    event!(EventCode::HostListBack, hosts = rows);
                }
                up = true;
                if port.send(MembershipMessage::Listed(list)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if up {
                    event!(EventCode::HostListDown, error = error);
                }
                up = false;
            }
        }
        tokio::time::sleep(poll_interval(rows)).await;
    }
}

struct Service {
    membership: Membership,
    publisher: Publisher<HostStates>,
}

async fn serve(
    mut queue: mpsc::Receiver<MembershipMessage>,
    mut views: Published<View>,
    publisher: Publisher<HostStates>,
) {
    let mut service = Service { membership: Membership::default(), publisher };
    let mut view = views.load();
    let mut open = true;
    service.membership.adopt(clock::now(), &view);
    service.publish(&view);
    loop {
        let now = clock::now();
        let wake = service.membership.wake(now).map(|at| now.until(at));
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => service.take(message),
                None => return,
            },
            changed = views.changed(), if open => {
                open = changed;
                view = views.load();
                service.membership.adopt(clock::now(), &view);
            }
            () = sleep_or_never(wake) => service.membership.tick(clock::now()),
        }
        service.publish(&view);
    }
}

async fn sleep_or_never(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => pending().await,
    }
}

impl Service {
    fn take(&mut self, message: MembershipMessage) {
        let now = clock::now();
        match message {
            MembershipMessage::Listed(rows) => self.membership.list(now, &rows),
            MembershipMessage::Saw { host, sighting } => self.membership.saw(now, &host, sighting),
        }
    }

    fn publish(&self, view: &View) {
        let states = self.membership.states(view);
        let old = self.publisher.load();
        if *old == states {
            return;
        }
        for (key, status) in states.iter() {
            let before = old.status(view, key);
            if before.state != status.state {
                let cause = status.cause.map_or("none", Into::into);
                report(&view.hosts[key].name, status.state, cause);
            }
        }
        self.publisher.publish(states);
    }
}

fn report(host: &Name, state: HostState, cause: &'static str) {
    event!(EventCode::HostStateChanged, host = host, state = state, cause = cause);
}
