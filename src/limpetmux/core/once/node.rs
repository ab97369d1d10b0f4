//! One host's part in the protocol: requests in, decisions out.

use super::declared::Declarations;
use super::seat::Seat;
use super::table::{Entry, State};
use super::{
    Answer, Guard, Guards, Handover, HostId, Incarnation, KeyId, KeyTime, Outcome, Record, Role,
    Rules, Table,
};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use crate::core::verdict::{Refusal, RefusalCode};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time of an event on both clocks of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    /// The monotonic clock, for promises.
    pub now: Moment,
    /// The wall clock, for the age of keys; must not go back within one process.
    pub wall: KeyTime,
}

/// A request to run a stage under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// The key.
    pub key: KeyId,
    /// Hash of the caller's request body.
    pub body: u64,
    /// The part that this host plays for the key.
    pub role: Role,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run the stage now and report with [`Node::finish`].
    Run,
    /// Append [`Node::claims`] and wait for an [`Action`] on the key.
    Claim,
    /// Wait for the run that another request with this key started.
    Wait,
    /// Give the stored answer again.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
}

/// What to do after the log was read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the stage of a claimed key now and report with [`Node::finish`].
    Run(KeyId),
    /// Refuse the requests that wait for the key's claim.
    Refuse(KeyId, Refusal),
}

/// What a look-up of an outcome finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The stage answered.
    Answered(Answer),
    /// The stage is running or about to.
    Running,
    /// The stage was accepted and is proven not to have run.
    NotRun,
    /// No request with the key was accepted, and the host vouches for that.
    Absent,
    /// The stage may have run.
    Unknown,
}

/// One host's state: its table, its promises and takeovers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    pub(super) id: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) started: KeyTime,
    /// A takeover may not be appended before.
    pub(super) quiet: Option<Moment>,
    pub(super) reachable: bool,
    pub(super) read: bool,
    /// Whether the stream was read from its first record ever on.
    pub(super) whole: bool,
    /// Whether the log names another process of this host, or another holder of its keys.
    pub(super) others: bool,
    /// Whether no earlier process of this host can have run anything.
    pub(super) first: bool,
    /// The offset behind the last observed record.
    pub(super) position: Offset,
    pub(super) table: Table,
    /// Keys to be claimed with the next append.
    due: BTreeSet<KeyId>,
    /// Until when each successor promised not to take over.
    pub(super) beliefs: BTreeMap<HostId, Moment>,
    /// The successors that have taken over, with their processes.
    pub(super) lost: BTreeMap<HostId, Incarnation>,
    /// The successors to which this host handed over without knowing the takeover yet.
    pub(super) stopped: BTreeSet<HostId>,
    /// Since when keys of a successor that returned them are vouched for.
    pub(super) floors: BTreeMap<HostId, KeyTime>,
    /// Successors that returned keys with a table that is whole for keys without a time.
    pub(super) whole_again: BTreeSet<HostId>,
    /// Tables of successors that are about to return keys.
    pub(super) returns: BTreeMap<HostId, Handover>,
    pub(super) seats: BTreeMap<HostId, Seat>,
    /// The hosts that hosts declared.
    pub(super) declared: Declarations,
    pub(super) rules: Rules,
    pub(super) guards: Guards,
}

impl Node {
    /// Starts a host's process, which knows nothing of earlier ones.
    pub fn new(
        id: HostId,
        incarnation: Incarnation,
        rules: Rules,
        guards: Guards,
        time: Time,
    ) -> Self {
        let quiet = Some(time.now + rules.promise + rules.slack);
        Self {
            id,
            incarnation,
            rules,
            guards,
            started: time.wall,
            quiet,
            reachable: false,
            read: false,
            whole: false,
            others: false,
            first: false,
            position: Offset::default(),
            table: Table::default(),
            due: BTreeSet::new(),
            beliefs: BTreeMap::new(),
            lost: BTreeMap::new(),
            stopped: BTreeSet::new(),
            floors: BTreeMap::new(),
            whole_again: BTreeSet::new(),
            returns: BTreeMap::new(),
            seats: BTreeMap::new(),
            declared: Declarations::default(),
        }
    }

    /// Returns the process's identity.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the table, for metrics.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns whether the log was reachable when last tried.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Notes whether the log can be reached.
    pub fn log_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Notes that every record up to the log's end has been observed.
    pub fn read_to_end(&mut self) {
        self.read = true;
    }

    /// Decides on a request.
    pub fn begin(&mut self, work: Work, time: Time) -> Begin {
        if let Some(begin) = self.begin_known(&work) {
            return begin;
        }
        match self.admit(&work, time) {
            Err(refusal) => Begin::Refuse(refusal),
            Ok(state) => self.accept(work, state, time),
        }
    }

    /// Looks up how a key's run ended.
    pub fn look_up(&self, key: KeyId, role: Role, time: Time) -> Known {
        match self.table.entries.get(&key).map(|e| &e.state) {
            Some(State::Answered(a)) => Known::Answered(a.clone()),
            Some(State::Claiming | State::Running) => Known::Running,
            Some(State::Released) => Known::NotRun,
            Some(State::Open | State::Claimed | State::Unknown) => Known::Unknown,
            None if self.vouch(key, role, time).is_ok() => Known::Absent,
            None => Known::Unknown,
        }
    }

    /// Returns the hash of the input that a key was first used with, if it is known.
    pub fn body_hash(&self, key: KeyId) -> Option<u64> {
        self.table.entries.get(&key)?.body
    }

    /// Stores how a run ended.
    pub fn finish(&mut self, key: KeyId, outcome: Outcome) {
        self.table.finish(key, outcome, &self.rules);
    }

    /// Gives up a claim that has not been read back; returns whether the stage is now certain not
    /// to run for it.
    pub fn abandon(&mut self, key: KeyId) -> bool {
        match self.table.entries.get_mut(&key) {
            Some(entry) if entry.state == State::Claiming => {
                entry.state = State::Released;
                true
            }
            _ => false,
        }
    }

    /// Takes the keys to be claimed, at most `most`, as one record.
    ///
    /// The caller appends the record until it is certain to be in the log.
    pub fn claims(&mut self, most: usize) -> Option<Record> {
        let keys: Vec<KeyId> = self.due.iter().copied().take(most).collect();
        if keys.is_empty() {
            return None;
        }
        for key in &keys {
            self.due.remove(key);
        }
        Some(Record::Claims { home: self.id, incarnation: self.incarnation, keys })
    }

    /// Returns whether a key waits for its claim to be read back.
    pub fn is_claiming(&self, key: KeyId) -> bool {
        self.table.entries.get(&key).is_some_and(|e| e.state == State::Claiming)
    }

    /// Returns the record by which a process makes itself known before it vouches for keys
    /// without a time.
    pub fn hello(&self) -> Record {
        Record::Claims { home: self.id, incarnation: self.incarnation, keys: Vec::new() }
    }

    /// Notes that the stream was read from its very first record on.
    pub fn read_from_start(&mut self) {
        self.whole = true;
    }

    /// Returns the number of keys still to be claimed.
    pub fn due(&self) -> usize {
        self.due.len()
    }

    /// Returns the homes whose keys an earlier process of this host held until its end.
    ///
    /// Nobody runs these keys until this process takes over anew, or the home regains them.
    pub fn orphaned(&self) -> Vec<HostId> {
        let seats = self.seats.iter();
        let orphans = seats.filter(|(_, s)| s.held.is_some() && s.taken.is_none());
        orphans.map(|(home, _)| *home).collect()
    }

    /// Drops rows whose time has passed.
    pub fn sweep(&mut self, wall: KeyTime) {
        self.table.sweep(wall);
        self.sweep_declared(wall);
    }

    /// Moves the origin of the monotonic clock, so that an exploration can compare states.
    pub fn rebase(&mut self, by: Duration) {
        let live = |m: &Moment| *m > Moment::ZERO;
        self.declared.rebase(by);
        self.quiet = self.quiet.map(|m| m - by).filter(live);
        for belief in self.beliefs.values_mut() {
            *belief = *belief - by;
        }
        self.beliefs.retain(|_, m| live(m));
        for seat in self.seats.values_mut() {
            seat.rebase(by);
        }
    }

    fn begin_known(&self, work: &Work) -> Option<Begin> {
        let entry = self.table.entries.get(&work.key)?;
        if entry.body.is_some_and(|b| b != work.body) {
            return Some(Begin::Refuse(Refusal::not_run(RefusalCode::KeyReused)));
        }
        match &entry.state {
            State::Claiming | State::Running => Some(Begin::Wait),
            State::Answered(answer) => Some(Begin::Replay(answer.clone())),
            State::Open | State::Claimed | State::Unknown => {
                Some(Begin::Refuse(Refusal::unknown(RefusalCode::Unvouched)))
            }
            State::Released => None,
        }
    }

    /// Returns the state in which a key may be accepted.
    fn admit(&self, work: &Work, time: Time) -> Result<State, Refusal> {
        if work.key.created().is_some_and(|t| t > time.wall + self.rules.margin) {
            return Err(Refusal::not_run(RefusalCode::BadRequest));
        }
        self.vouch(work.key, work.role, time)?;
        if !self.table.entries.contains_key(&work.key) && !self.table.has_room(&self.rules) {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_in(self.rules.margin));
        }
        match work.role {
            Role::Successor { .. } => Ok(State::Running),
            Role::Home { .. } if self.reachable => Ok(State::Claiming),
            Role::Home { successor } if self.may_run(successor, time.now) => Ok(State::Running),
            Role::Home { .. } => {
                Err(Refusal::not_run(RefusalCode::Unavailable).retry_in(self.rules.promise))
            }
        }
    }

    /// Returns whether a key may run from memory.
    fn may_run(&self, successor: Option<HostId>, now: Moment) -> bool {
        let Some(s) = successor else { return true };
        !self.guards.on(Guard::Promise) || self.beliefs.get(&s).is_some_and(|end| now < *end)
    }

    /// Checks that a key without a row has certainly not run before.
    fn vouch(&self, key: KeyId, role: Role, time: Time) -> Result<(), Refusal> {
        let not_home = Refusal::unknown(RefusalCode::NotHome);
        if self.is_declaring_away(key, role) || self.is_contested(key, role, time.wall) {
            return Err(not_home);
        }
        let (floor, guard) = match role {
            Role::Home { successor } => {
                if successor.is_some_and(|s| self.gave_up(s)) {
                    return Err(not_home);
                }
                let floor = successor.map_or(self.started, |s| self.floor(s));
                (floor, Guard::OlderThanHome)
            }
            Role::Successor { home } => {
                let floor = self.seats.get(&home).and_then(|s| s.holds(time.now));
                (floor.ok_or(not_home)?, Guard::OlderThanTakeover)
            }
        };
        let (margin, window) = (self.rules.margin, self.rules.window);
        let newer = match key.created() {
            Some(t) => t > floor + margin || !self.guards.on(guard),
            None => self.vouches_untimed(role) || time.wall > floor + window,
        };
        let kept = key.created().is_none_or(|t| time.wall <= t + window);
        if newer && kept && !self.is_older_than_move(key, role, time.wall) {
            return Ok(());
        }
        // The part of the log that is not read yet may say that the successor holds the key.
        let shared = matches!(role, Role::Home { successor: Some(_) });
        Err(if shared && !self.read { not_home } else { Refusal::unknown(RefusalCode::Unvouched) })
    }

    /// Returns whether no other process can have run a key without a time.
    pub(super) fn vouches_untimed(&self, role: Role) -> bool {
        match role {
            Role::Home { successor: Some(s) } if self.floors.contains_key(&s) => {
                self.whole_again.contains(&s)
            }
            Role::Home { .. } => self.first,
            Role::Successor { home } => {
                self.seats.get(&home).and_then(|s| s.taken).is_some_and(|t| t.whole)
            }
        }
    }

    fn gave_up(&self, successor: HostId) -> bool {
        self.lost.contains_key(&successor) || self.stopped.contains(&successor)
    }

    pub(super) fn floor(&self, successor: HostId) -> KeyTime {
        self.floors.get(&successor).copied().unwrap_or(self.started)
    }

    fn accept(&mut self, work: Work, state: State, time: Time) -> Begin {
        let begin = if state == State::Claiming { Begin::Claim } else { Begin::Run };
        if matches!(work.role, Role::Home { .. }) {
            self.due.insert(work.key);
        }
        let born = work.key.created().unwrap_or(time.wall);
        let expires = born + self.rules.window + self.rules.margin;
        let entry = Entry { body: Some(work.body), state, role: work.role, expires };
        self.table.entries.insert(work.key, entry);
        begin
    }
}
