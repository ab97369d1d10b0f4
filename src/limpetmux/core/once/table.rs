//! The bounded table of keys that a host has run or is running.

use super::{HostId, KeyId, KeyTime, Rules};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The whole answer of a stage that ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Answer {
    /// The payloads of the answer's frames, joined.
    pub payload: Arc<[u8]>,
    /// The cost of the run in millionths of the accounting unit.
    pub cost: u64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The stage answered.
    Answered(Answer),
    /// It is proven that the stage did not run, so it may be tried again.
    NotRun,
    /// The stage may have run.
    Unknown,
}

/// The part that a host plays for a key, which follows from the key's homes.
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
    /// The run was accepted and has not ended.
    Running,
    /// The stage answered.
    Answered(Answer),
    /// The stage did not run and may be tried again.
    Released,
    /// The home had not ended the run when it copied its table; its last table tells.
    Open,
    /// An earlier process of this host claimed the key, so the stage may have run; the holder's
    /// table tells when the keys return.
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
    /// The part that the host played when it accepted the key.
    pub role: Role,
    /// When the row may be dropped.
    pub expires: KeyTime,
}

/// The table of one host; bounded in keys and in bytes of answers.
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

    /// Returns whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of all stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether another key and its answer fit.
    pub(super) fn has_room(&self, rules: &Rules) -> bool {
        self.entries.len() < rules.keys && self.bytes + rules.answer <= rules.bytes
    }

    /// Stores how a run ended; an answer beyond the size bound is not kept.
    pub(super) fn finish(&mut self, key: KeyId, outcome: Outcome, rules: &Rules) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.state != State::Running {
            return;
        }
        entry.state = match outcome {
            Outcome::Answered(a) if a.payload.len() <= rules.answer => State::Answered(a),
            Outcome::NotRun => State::Released,
            Outcome::Answered(_) | Outcome::Unknown => State::Unknown,
        };
        self.bytes += size(&entry.state);
    }

    /// Copies the rows of one role for another host, which cannot learn how open runs end.
    pub(super) fn export(&self, role: Role) -> BTreeMap<KeyId, Entry> {
        let copy = |e: &Entry| match e.state {
            State::Claiming | State::Running | State::Open | State::Claimed => {
                Entry { state: State::Unknown, ..e.clone() }
            }
            _ => e.clone(),
        };
        self.entries.iter().filter(|(_, e)| e.role == role).map(|(k, e)| (*k, copy(e))).collect()
    }

    /// Adds rows of another host; answers that are already known stay.
    ///
    /// `again` tells that the rows come from the same process of the home as an earlier table, so
    /// they say how runs ended that were open in that one.
    pub(super) fn adopt(&mut self, rows: BTreeMap<KeyId, Entry>, role: Role, again: bool) {
        for (key, entry) in rows {
            let known = self.entries.get(&key).map(|e| &e.state);
            if !learns(known, &entry.state, role, again) {
                continue;
            }
            self.bytes += size(&entry.state);
            let is_open = entry.state == State::Unknown && matches!(role, Role::Successor { .. });
            let state = if is_open { State::Open } else { entry.state };
            self.entries.insert(key, Entry { role, state, ..entry });
        }
    }

    /// Gives up the claims of one role that have not been read back.
    pub(super) fn release_claims(&mut self, role: Role) {
        for entry in self.entries.values_mut() {
            if entry.role == role && entry.state == State::Claiming {
                entry.state = State::Released;
            }
        }
    }

    /// Forgets the rows of one role that another host may run from now on.
    pub(super) fn forget_released(&mut self, role: Role) {
        self.entries.retain(|_, e| e.role != role || e.state != State::Released);
    }

    /// Drops rows whose time has passed and that are not in use.
    pub(super) fn sweep(&mut self, wall: KeyTime) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, e| {
            let used = matches!(e.state, State::Claiming | State::Running);
            let keep = used || e.expires >= wall;
            if !keep {
                *bytes -= size(&e.state);
            }
            keep
        });
    }
}

/// Returns whether a row of another host says more than what is known.
fn learns(known: Option<&State>, row: &State, role: Role, again: bool) -> bool {
    let answered = matches!(row, State::Answered(_));
    let released = *row == State::Released;
    let returned = matches!(role, Role::Home { .. });
    match known {
        Some(State::Answered(_) | State::Running) => false,
        Some(State::Unknown) => answered,
        Some(State::Claimed) => answered || returned && released,
        Some(State::Open) => answered || again && released,
        Some(State::Claiming | State::Released) | None => true,
    }
}

fn size(state: &State) -> usize {
    match state {
        State::Answered(a) => a.payload.len(),
        _ => 0,
    }
}
