//! Conversions between protocol messages and `core` types.

use crate::core::once::{
    Answer, Handover, HostId, Incarnation, KeyId, KeyStatus, KeyTime, Outcome, Row,
};
use crate::core::revision::Offset;
use crate::wire::once;

/// Returns the message that identifies a process.
pub(super) fn process(host: HostId, incarnation: Incarnation) -> once::Process {
    once::Process { host: host.0, incarnation: incarnation.0 }
}

/// Returns the message of a stored answer.
pub(super) fn stored(answer: &Answer) -> once::Stored {
    once::Stored { payload: answer.payload.to_vec(), cost: answer.cost }
}

/// Returns the message of a look-up result; `None` means that the host does not hold the key.
pub(super) fn look_up_reply(status: Option<KeyStatus>) -> once::LookUpReply {
    let state = match &status {
        Some(KeyStatus::Answered(_)) => "answered",
        Some(KeyStatus::Running) => "running",
        Some(KeyStatus::NotRun) => "not_run",
        Some(KeyStatus::Absent) => "absent",
        Some(KeyStatus::MayHaveRun) => "may_have_run",
        Some(KeyStatus::Unknown) => "unknown",
        None => "not_home",
    };
    let answer = match &status {
        Some(KeyStatus::Answered(answer)) => Some(stored(answer)),
        _ => None,
    };
    once::LookUpReply { state: state.to_owned(), answer, body_hash: None }
}

/// Returns the message that hands over a table; `returns` marks a return to the home.
pub fn hand_over(table: &Handover, returns: bool) -> once::HandOverRequest {
    once::HandOverRequest {
        from: Some(process(table.from, table.incarnation)),
        since_ms: table.since.0,
        rows: table.rows().map(row).collect(),
        returns,
        whole: table.covers_untimed,
        read: table.read.0,
    }
}

fn row(row: Row) -> once::Row {
    let answer = match &row.outcome {
        Outcome::Answered(answer) => Some(stored(answer)),
        Outcome::NotRun | Outcome::Unknown => None,
    };
    once::Row {
        digest: row.key.digest().to_be_bytes().to_vec(),
        created_ms: row.key.created().map_or(0, |t| t.0),
        body_hash: row.body,
        expires_ms: row.expires.0,
        answer,
        not_run: row.outcome == Outcome::NotRun,
    }
}

/// Parses a table; returns `None` if it is malformed.
pub fn handover(request: once::HandOverRequest) -> Option<Handover> {
    let from = request.from?;
    let rows: Option<Vec<Row>> = request.rows.into_iter().map(parse_row).collect();
    let (host, incarnation) = (HostId(from.host), Incarnation(from.incarnation));
    let (since, read) = (KeyTime(request.since_ms), Offset(request.read));
    Some(Handover::new(host, incarnation, since, request.whole, read, rows?))
}

fn parse_row(row: once::Row) -> Option<Row> {
    let digest = u128::from_be_bytes(row.digest.try_into().ok()?);
    let created = (row.created_ms > 0).then_some(KeyTime(row.created_ms));
    let outcome = match row.answer {
        Some(a) => Outcome::Answered(Answer { payload: a.payload.into(), cost: a.cost }),
        None if row.not_run => Outcome::NotRun,
        None => Outcome::Unknown,
    };
    let key = KeyId::from_digest(digest, created);
    Some(Row { key, body: row.body_hash, outcome, expires: KeyTime(row.expires_ms) })
}
