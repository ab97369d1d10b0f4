//! What a host learns from the claims stream, record by record in log order.

use super::seat::{Seat, Taken};
use super::table::{Entry, State};
use super::{Action, Guard, HostId, Incarnation, KeyId, KeyTime, Node, Record, Role, Time};
use crate::core::revision::Offset;
use crate::core::verdict::{Refusal, RefusalCode};

impl Node {
    /// Takes in the next record of the stream and returns what to do.
    pub fn observe(&mut self, at: Offset, record: &Record, time: Time) -> Vec<Action> {
        self.position = at.next();
        self.note_others(record);
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

    /// Notes whether another process can have run this host's keys before.
    fn note_others(&mut self, record: &Record) {
        match record {
            Record::Claims { home: host, incarnation, .. }
            | Record::Declared { host, incarnation, .. }
                if *host == self.id =>
            {
                if *incarnation == self.incarnation {
                    self.first |= self.whole && !self.others;
                } else {
                    self.others = true;
                }
            }
            Record::Takeover { home, .. } => self.others |= *home == self.id,
            Record::Claims { .. } | Record::Return { .. } | Record::Declared { .. } => {}
        }
    }

    fn observe_own(&mut self, key: KeyId, by: Incarnation, time: Time) -> Option<Action> {
        if by != self.incarnation {
            return self.note_claim(key, State::Claimed, time);
        }
        let order = self.guards.on(Guard::LogOrder);
        let role = self.table.entries.get(&key).map(|e| e.role)?;
        let contested = self.is_contested(key, role, time.wall);
        let entry = self.table.entries.get_mut(&key)?;
        if entry.state != State::Claiming {
            return None;
        }
        let Role::Home { successor } = role else { return None };
        if contested || order && successor.is_some_and(|s| self.lost.contains_key(&s)) {
            self.table.entries.remove(&key);
            return Some(Action::Refuse(key, Refusal::unknown(RefusalCode::NotHome)));
        }
        entry.state = State::Running;
        Some(Action::Run(key))
    }

    /// Notes that another host has claimed a key of which this host is the home.
    ///
    /// Needed for a former home that acts on an outdated configuration. A key whose own claim is
    /// not read back yet has lost.
    pub fn remember(&mut self, key: KeyId, time: Time) -> Option<Action> {
        self.note_claim(key, State::Unknown, time)
    }

    /// Notes that another process has claimed a key: an earlier one of this host, or a former home.
    fn note_claim(&mut self, key: KeyId, state: State, time: Time) -> Option<Action> {
        let expires = key.created().unwrap_or(time.wall) + self.rules.window + self.rules.margin;
        let known = self.table.entries.get(&key).map(|e| &e.state);
        let had_claim = known == Some(&State::Claiming);
        let is_open = matches!(known, None | Some(State::Claiming | State::Released));
        if !is_open || expires < time.wall || known.is_none() && self.table.len() >= self.rules.keys
        {
            return None;
        }
        let role = Role::Home { successor: None };
        let entry = Entry { body: None, state, role, expires };
        self.table.entries.insert(key, entry);
        had_claim.then(|| Action::Refuse(key, Refusal::unknown(RefusalCode::Unvouched)))
    }

    /// Notes that a process of a home still claims.
    fn observe_home(&mut self, home: HostId, incarnation: Incarnation) {
        if !self.guards.on(Guard::FreshHandover) {
            return;
        }
        self.seats.entry(home).or_default().note_process(incarnation);
    }

    fn observe_takeover(&mut self, home: HostId, by: HostId, process: Incarnation, time: Time) {
        self.note_hold(home, by, process, time.wall);
        if home == self.id {
            self.lost.insert(by, process);
            self.beliefs.remove(&by);
            self.table.forget_released(Role::Home { successor: Some(by) });
            if self.returns.get(&by).is_some_and(|t| t.incarnation != process) {
                self.returns.remove(&by);
            }
        }
        if by == self.id {
            let seat = self.seats.entry(home).or_default();
            seat.held = Some(process);
            seat.changed = self.position;
            if process == self.incarnation {
                self.hold(home, time);
            }
        }
    }

    /// Becomes the holder of a home's keys, or goes on being it.
    fn hold(&mut self, home: HostId, time: Time) {
        let hold = self.rules.hold;
        let Some(seat) = self.seats.get_mut(&home) else { return };
        let Some(sent) = seat.asked.take() else { return };
        let table = seat.table.take();
        let (since, whole, from) = match (seat.taken, &table) {
            (Some(taken), _) => (taken.since, taken.whole, taken.from),
            (None, Some(table)) => (table.since, table.whole, Some(table.incarnation)),
            (None, None) => (time.wall, false, None),
        };
        seat.taken = Some(Taken { since, whole, from, until: sent + hold });
        if let Some(table) = table {
            self.table.adopt(table.rows, Role::Successor { home }, false);
        }
    }

    fn observe_return(&mut self, home: HostId, by: HostId, process: Incarnation, time: Time) {
        self.end_hold(home, by, process);
        if home == self.id && self.lost.get(&by) == Some(&process) {
            self.regain(by, time.wall);
        }
        let Some(seat) = self.seats.get_mut(&home) else { return };
        if by == self.id && seat.held == Some(process) {
            *seat = Seat {
                changed: self.position,
                promised: seat.promised,
                promisee: seat.promisee,
                asked: seat.asked,
                seen: std::mem::take(&mut seat.seen),
                ..Seat::default()
            };
            self.table.forget_released(Role::Successor { home });
        }
    }

    /// Becomes the holder of the keys that a successor gave back.
    fn regain(&mut self, successor: HostId, wall: KeyTime) {
        self.lost.remove(&successor);
        self.stopped.remove(&successor);
        let table = self.returns.remove(&successor);
        let floor = table.as_ref().map_or(wall, |t| t.since);
        self.floors.insert(successor, floor);
        self.whole_again.remove(&successor);
        if table.as_ref().is_some_and(|t| t.whole) {
            self.whole_again.insert(successor);
        }
        if let Some(table) = table {
            self.table.adopt(table.rows, Role::Home { successor: Some(successor) }, false);
        }
    }
}
