//! Converts evidence about parts of prompts to messages between nodes and back.

use crate::core::prompt_part::PartId;
use crate::core::quarantine::{CrashRecord, Evidence, GroupId, HoldRecord, Mark, ServerRun};
use crate::wire::fleet as wire;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Encodes evidence; `None` if there is none.
pub fn encode(evidence: Evidence) -> Option<wire::Evidence> {
    (!evidence.is_empty()).then(|| wire::Evidence {
        crashes: evidence.crashes.into_iter().map(encode_crash).collect(),
        holds: evidence.holds.into_iter().map(encode_hold).collect(),
    })
}

/// Decodes evidence.
pub fn decode(evidence: wire::Evidence) -> Evidence {
    Evidence {
        crashes: evidence.crashes.into_iter().map(decode_crash).collect(),
        holds: evidence.holds.into_iter().map(decode_hold).collect(),
    }
}

/// Encodes the record that preserves a verdict in the store.
pub fn encode_record(hold: HoldRecord) -> Vec<u8> {
    prost::Message::encode_to_vec(&encode_hold(hold))
}

/// Decodes a record written by [`encode_record`].
pub fn decode_record(value: &[u8]) -> Option<HoldRecord> {
    let hold: wire::HoldRecord = prost::Message::decode(value).ok()?;
    Some(decode_hold(hold))
}

fn encode_crash(crash: CrashRecord) -> wire::CrashRecord {
    let mark = |(part, mark): (PartId, Mark)| wire::PartMark {
        part: part.value(),
        known: mark.known,
        harmless: mark.harmless,
        early: mark.early,
    };
    wire::CrashRecord {
        server: crash.run.server.to_string(),
        started: crash.run.started_ms,
        age_ms: millis(crash.age),
        parts: crash.parts.into_iter().map(mark).collect(),
    }
}

fn decode_crash(crash: wire::CrashRecord) -> CrashRecord {
    let mark = |m: wire::PartMark| {
        (PartId::new(m.part), Mark { early: m.early, known: m.known, harmless: m.harmless })
    };
    CrashRecord {
        run: ServerRun { server: crash.server.into(), started_ms: crash.started },
        age: Duration::from_millis(crash.age_ms),
        parts: crash.parts.into_iter().map(mark).collect(),
    }
}

fn encode_hold(hold: HoldRecord) -> wire::HoldRecord {
    let mut parts = hold.parts.iter().map(|part| part.value());
    wire::HoldRecord {
        part: parts.next().unwrap_or_default(),
        with: parts.collect(),
        group: hold.group.value(),
        turn: hold.turn,
        age_ms: millis(hold.age),
        trials: hold.trials,
        tried_ms: millis(hold.tried_age),
        known: hold.known,
        servers: hold.servers.iter().map(ToString::to_string).collect(),
    }
}

/// Decodes a verdict; one without a name is from a node that told its group once for each part.
fn decode_hold(hold: wire::HoldRecord) -> HoldRecord {
    let is_held = !hold.turn.is_multiple_of(2);
    // Such a node ends the quarantine of one part at a time.
    let with = if hold.group == 0 && !is_held { Vec::new() } else { hold.with };
    let parts: BTreeSet<PartId> = with.into_iter().chain([hold.part]).map(PartId::new).collect();
    let parts: Vec<PartId> = parts.into_iter().collect();
    let group = if hold.group == 0 { GroupId::of(&parts) } else { GroupId::new(hold.group) };
    HoldRecord {
        group,
        parts,
        turn: hold.turn,
        age: Duration::from_millis(hold.age_ms),
        trials: hold.trials,
        tried_age: Duration::from_millis(hold.tried_ms),
        known: hold.known,
        servers: hold.servers.into_iter().map(Arc::from).collect(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
