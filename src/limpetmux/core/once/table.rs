//! The bounded table of keys that a host has run or is running.

use super::{HostId, KeyId, KeyTime, Rules};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The complete answer of a stage that has finished.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// The payloads of the answer's frames, concatenated.
    pub payload: Arc<[u8]>,
    /// The cost of the run in millionths of the accounting unit.
    pub cost: u64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The stage answered.
    Answered(Answer),
    /// The stage certainly did not run, so it may be retried.
    NotRun,
    /// The stage may have run.
    Unknown,
}

/// The result of looking up the outcome of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The stage answered.
    Answered(Answer),
    /// The stage is running or will run once its claim is read back.
    Running,
    /// The key was accepted, but the stage certainly did not run.
    NotRun,
    /// Certainly no request with the key was accepted.
    Absent,
    /// A run of the stage on this host, or on one that handed its table to it, may have run.
    MayHaveRun,
    /// The host does not know whether the stage ran.
    Unknown,
}

/// The role of a host for a key, which depends on the key's home and successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// The host is the key's home.
    Home {
        /// The host that may take over, if any.
        successor: Option<HostId>,
    },
    /// The host is the key's successor.
    Successor {
        /// The key's home.
        home: HostId,
    },
}

/// What the host knows about one key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum State {
    /// The claim has not been read back from the log.
    Claiming,
    /// The key was accepted and its run has not ended.
    Running,
    /// The stage answered.
    Answered(Answer),
    /// The stage did not run and may be retried.
    Released,
    /// The run had not ended when the home copied its table; its final table has the outcome.
    Open,
    /// An earlier process of this host claimed the key, so the stage may have run; the holder's
    /// table, sent when the keys are returned, has the outcome.
    Claimed,
    /// The stage may have run.
    Unknown,
}

impl From<Outcome> for State {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(answer) => Self::Answered(answer),
            Outcome::NotRun => Self::Released,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl From<State> for Outcome {
    fn from(state: State) -> Self {
        match state {
            State::Answered(answer) => Self::Answered(answer),
            State::Released => Self::NotRun,
            State::Claiming | State::Running | State::Open | State::Claimed | State::Unknown => {
                Self::Unknown
            }
        }
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Entry {
    /// Hash of the caller's request body; `None` if it is not known.
    pub body: Option<u64>,
    pub state: State,
    /// The host's role when it accepted the key.
    pub role: Role,
    /// When the row may be dropped.
    pub expires: KeyTime,
}

/// The table of one host, with a limited number of keys and size of answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Table {
    pub(super) entries: BTreeMap<KeyId, Entry>,
    bytes: usize,
}

impl Table {
    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all stored answers in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether there is room for another key and its answer.
    pub(super) fn has_room(&self, rules: &Rules) -> bool {
        self.entries.len() < rules.max_keys && self.bytes + rules.max_answer <= rules.max_bytes
    }

    /// Stores how a run ended; an answer that exceeds the size limit is not kept.
    pub(super) fn finish(&mut self, key: KeyId, outcome: Outcome, rules: &Rules) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.state != State::Running {
            return;
        }
        entry.state = match outcome {
            Outcome::Answered(a) if a.payload.len() <= rules.max_answer => State::Answered(a),
            Outcome::NotRun => State::Released,
            Outcome::Answered(_) | Outcome::Unknown => State::Unknown,
        };
        self.bytes += size(&entry.state);
    }

    /// Copies the rows of one role for another host. Runs that have not ended become unknown, since
    /// the other host cannot learn how they end.
    pub(super) fn export(&self, role: Role) -> BTreeMap<KeyId, Entry> {
        let copy = |e: &Entry| match e.state {
            State::Claiming | State::Running | State::Open | State::Claimed => {
                Entry { state: State::Unknown, ..e.clone() }
            }
            _ => e.clone(),
        };
        self.entries.iter().filter(|(_, e)| e.role == role).map(|(k, e)| (*k, copy(e))).collect()
    }

    /// Adds rows of another host; answers that are already known are kept.
    ///
    /// `same_process` means that the rows come from the same process of the home as an earlier
    /// table, so they contain the outcome of runs that had not ended in that table.
    pub(super) fn adopt(&mut self, rows: BTreeMap<KeyId, Entry>, role: Role, same_process: bool) {
        for (key, entry) in rows {
            let known = self.entries.get(&key).map(|e| &e.state);
            if !supersedes(known, &entry.state, role, same_process) {
                continue;
            }
            self.bytes += size(&entry.state);
            let is_open = entry.state == State::Unknown && matches!(role, Role::Successor { .. });
            let state = if is_open { State::Open } else { entry.state };
            self.entries.insert(key, Entry { role, state, ..entry });
        }
    }

    /// Releases the claims of one role that have not been read back.
    pub(super) fn release_claims(&mut self, role: Role) {
        for entry in self.entries.values_mut() {
            if entry.role == role && entry.state == State::Claiming {
                entry.state = State::Released;
            }
        }
    }

    /// Drops the released rows of one role, whose keys another host may run from now on.
    pub(super) fn forget_released(&mut self, role: Role) {
        self.entries.retain(|_, e| e.role != role || e.state != State::Released);
    }

    /// Drops expired rows that are not in use.
    pub(super) fn sweep(&mut self, wall: KeyTime) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, e| {
            let in_use = matches!(e.state, State::Claiming | State::Running);
            let keep = in_use || e.expires >= wall;
            if !keep {
                *bytes -= size(&e.state);
            }
            keep
        });
    }
}

/// Returns whether a row of another host adds to the known state of a key.
fn supersedes(known: Option<&State>, row: &State, role: Role, same_process: bool) -> bool {
    let answered = matches!(row, State::Answered(_));
    let released = *row == State::Released;
    let returned = matches!(role, Role::Home { .. });
    match known {
        Some(State::Answered(_) | State::Running) => false,
        Some(State::Unknown) => answered,
        Some(State::Claimed) => answered || returned && released,
        Some(State::Open) => answered || same_process && released,
        Some(State::Claiming | State::Released) | None => true,
    }
}

/// Returns the size of a stored answer in bytes.
fn size(state: &State) -> usize {
    match state {
        State::Answered(a) => a.payload.len(),
        _ => 0,
    }
}
