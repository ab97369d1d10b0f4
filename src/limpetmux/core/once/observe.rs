//! Applies the records of the claims stream to a host's state, in log order.

use super::successor::{HomeState, Takeover};
use super::table::{Entry, State};
use super::{Action, Guard, HostId, Incarnation, KeyId, KeyTime, Node, Record, Role, Time};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::revision::Offset;

impl Node {
    /// Applies the next record of the stream and returns the actions to perform.
    pub fn observe(&mut self, at: Offset, record: &Record, time: Time) -> Vec<Action> {
        self.position = at.next();
        self.note_other_holders(record);
        match record {
            Record::Claims { home, incarnation, keys } if *home == self.id => {
                keys.iter().filter_map(|k| self.observe_own(*k, *incarnation, time)).collect()
            }
            Record::Claims { home, incarnation, .. } => {
                self.observe_home(*home, *incarnation);
                Vec::new()
            }
            Record::Takeover { home, by, incarnation } => {
                self.observe_takeover(*home, *by, *incarnation, time);
                Vec::new()
            }
            Record::Return { home, by, incarnation } => {
                self.observe_return(*home, *by, *incarnation, time);
                Vec::new()
            }
            Record::Declared { host, incarnation, declared } => {
                self.observe_declared(*host, *incarnation, declared, time);
                Vec::new()
            }
        }
    }

    /// Returns the fencing number of a run that is accepted now.
    ///
    /// The number increases with every takeover, return, change of hosts and new process. A service
    /// that compares the numbers can refuse a run that was accepted earlier but dispatched after a
    /// later one.
    pub fn fence(&self) -> Offset {
        self.fence
    }

    /// Records whether another process may have run this host's keys.
    fn note_other_holders(&mut self, record: &Record) {
        match record {
            Record::Claims { home: host, incarnation, .. }
            | Record::Declared { host, incarnation, .. }
                if *host == self.id =>
            {
                if *incarnation == self.incarnation {
                    self.is_first |= self.from_start && !self.other_holders;
                } else {
                    self.other_holders = true;
                }
            }
            Record::Takeover { home, .. } => self.other_holders |= *home == self.id,
            Record::Claims { .. } | Record::Return { .. } | Record::Declared { .. } => {}
        }
    }

    fn observe_own(&mut self, key: KeyId, by: Incarnation, time: Time) -> Option<Action> {
        if by != self.incarnation {
            return self.note_claim(key, State::Claimed, time);
        }
        let check_order = self.guards.on(Guard::LogOrder);
        let role = self.table.entries.get(&key).map(|e| e.role)?;
        let contested = self.is_contested(key, role, time.wall);
        let entry = self.table.entries.get_mut(&key)?;
        if entry.state != State::Claiming {
            return None;
        }
        let Role::Home { successor } = role else { return None };
        if contested || check_order && successor.is_some_and(|s| self.taken_over.contains_key(&s)) {
            self.table.entries.remove(&key);
            return Some(Action::Refuse(key, Refusal::unknown(RefusalCode::NotHome)));
        }
        entry.state = State::Running;
        Some(Action::Run(key))
    }

    /// Records that another host has claimed a key of which this host is the home.
    ///
    /// A former home with an outdated configuration may still claim such a key. If this host's own
    /// claim on the key is not read back yet, its requests are refused.
    pub fn observe_foreign_claim(&mut self, key: KeyId, time: Time) -> Option<Action> {
        self.note_claim(key, State::Unknown, time)
    }

    /// Records that an earlier process of this host or a former home has claimed a key.
    fn note_claim(&mut self, key: KeyId, state: State, time: Time) -> Option<Action> {
        let expires =
            key.created().unwrap_or(time.wall) + self.rules.key_retention + self.rules.clock_margin;
        let known = self.table.entries.get(&key).map(|e| &e.state);
        let was_claiming = known == Some(&State::Claiming);
        let may_run = matches!(known, None | Some(State::Claiming | State::Released));
        if !may_run
            || expires < time.wall
            || known.is_none() && self.table.len() >= self.rules.max_keys
        {
            return None;
        }
        let role = Role::Home { successor: None };
        let entry = Entry { body: None, state, role, expires };
        self.table.entries.insert(key, entry);
        was_claiming.then(|| Action::Refuse(key, Refusal::unknown(RefusalCode::Unvouched)))
    }

    /// Records the process of a home that appended a claim.
    fn observe_home(&mut self, home: HostId, incarnation: Incarnation) {
        if !self.guards.on(Guard::FreshHandover) {
            return;
        }
        self.home_states.entry(home).or_default().note_process(incarnation);
    }

    fn observe_takeover(&mut self, home: HostId, by: HostId, process: Incarnation, time: Time) {
        self.fence = self.position;
        self.add_takeover(home, by, process, time.wall);
        if home == self.id {
            self.taken_over.insert(by, process);
            self.promises.remove(&by);
            self.table.forget_released(Role::Home { successor: Some(by) });
            if self.returns.get(&by).is_some_and(|t| t.incarnation != process) {
                self.returns.remove(&by);
            }
        }
        if by == self.id {
            let state = self.home_states.entry(home).or_default();
            state.holder = Some(process);
            state.changed = self.position;
            if process == self.incarnation {
                self.hold(home, time);
            }
        }
    }

    /// Makes this process the holder of a home's keys, or renews its takeover.
    fn hold(&mut self, home: HostId, time: Time) {
        let ttl = self.rules.takeover_ttl;
        let Some(state) = self.home_states.get_mut(&home) else { return };
        let Some(sent) = state.requested.take() else { return };
        let table = state.table.take();
        let (since, covers_untimed, from) = match (state.takeover, &table) {
            (Some(takeover), _) => (takeover.since, takeover.covers_untimed, takeover.from),
            (None, Some(table)) => (table.since, table.covers_untimed, Some(table.incarnation)),
            (None, None) => (time.wall, false, None),
        };
        state.takeover = Some(Takeover { since, covers_untimed, from, until: sent + ttl });
        if let Some(table) = table {
            self.table.adopt(table.rows, Role::Successor { home }, false);
        }
    }

    fn observe_return(&mut self, home: HostId, by: HostId, process: Incarnation, time: Time) {
        self.fence = self.position;
        self.end_takeover(home, by, process);
        if home == self.id && self.taken_over.get(&by) == Some(&process) {
            self.regain(by, process, time.wall);
        }
        let Some(state) = self.home_states.get_mut(&home) else { return };
        if by == self.id && state.holder == Some(process) {
            *state = HomeState {
                changed: self.position,
                returned: self.position,
                promised_until: state.promised_until,
                promisee: state.promisee,
                requested: state.requested,
                processes: std::mem::take(&mut state.processes),
                ..HomeState::default()
            };
            self.table.forget_released(Role::Successor { home });
        }
    }

    /// Makes this process the holder of the keys that a successor returned.
    fn regain(&mut self, successor: HostId, process: Incarnation, wall: KeyTime) {
        self.taken_over.remove(&successor);
        self.handed_over.remove(&successor);
        let table = self.returns.remove(&successor).filter(|t| t.incarnation == process);
        let since = table.as_ref().map_or(wall, |t| t.since);
        self.returned_since.insert(successor, since);
        self.untimed_returns.remove(&successor);
        if table.as_ref().is_some_and(|t| t.covers_untimed) {
            self.untimed_returns.insert(successor);
        }
        if let Some(table) = table {
            self.table.adopt(table.rows, Role::Home { successor: Some(successor) }, false);
        }
    }
}
