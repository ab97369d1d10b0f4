//! The protocol state of one host: accepts requests and returns decisions.

use super::declared::Declarations;
use super::successor::HomeState;
use super::table::{Entry, State};
use super::{
    Answer, Guard, Guards, Handover, HostId, Incarnation, KeyId, KeyStatus, KeyTime, Outcome,
    Record, Role, Rules, Table,
};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time of an event on both of the host's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    /// The monotonic clock, used for promises and takeovers.
    pub now: Moment,
    /// The wall clock, used for the age of keys; must not run backwards within one process.
    pub wall: KeyTime,
}

/// A request to run a stage under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key.
    pub key: KeyId,
    /// Hash of the caller's request body.
    pub body: u64,
    /// The role of this host for the key.
    pub role: Role,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// Run the stage now and report with [`Node::finish`].
    Run,
    /// Append [`Node::claims`] and wait for an [`Action`] on the key.
    Claim,
    /// Wait for the run that another request with this key started.
    Wait,
    /// Send the stored answer.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
}

/// An action to perform after a record has been read from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the stage of a claimed key now and report with [`Node::finish`].
    Run(KeyId),
    /// Refuse the requests that wait for the key's claim.
    Refuse(KeyId, Refusal),
}

/// The protocol state of one host: its table, promises and takeovers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    pub(super) id: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) started: KeyTime,
    /// The end of the wait after the start, before which no takeover may be appended.
    pub(super) quiet_until: Option<Moment>,
    pub(super) log_reachable: bool,
    /// Whether the log has been read to its end since the start.
    pub(super) caught_up: bool,
    /// Whether the stream was read from its very first record.
    pub(super) from_start: bool,
    /// Whether the log names another process of this host, or another holder of its keys.
    pub(super) other_holders: bool,
    /// Whether no earlier process of this host can have run any key.
    pub(super) is_first: bool,
    /// The offset after the last observed record.
    pub(super) position: Offset,
    /// The offset after the last record that may have moved keys.
    pub(super) fence: Offset,
    pub(super) table: Table,
    /// Keys to claim with the next append.
    unclaimed: BTreeSet<KeyId>,
    /// The end of each successor's promise not to take over.
    pub(super) promises: BTreeMap<HostId, Moment>,
    /// The successors that have taken over, with their processes.
    pub(super) taken_over: BTreeMap<HostId, Incarnation>,
    /// The successors to which this host handed over and whose takeover is not yet read, and whether
    /// more than one table was sent.
    pub(super) handed_over: BTreeMap<HostId, bool>,
    /// Per successor that returned keys, the creation time after which this host knows their runs.
    pub(super) returned_since: BTreeMap<HostId, KeyTime>,
    /// Successors that returned a table that is complete for keys without a creation time.
    pub(super) untimed_returns: BTreeSet<HostId>,
    /// Tables of successors whose returns are not yet read.
    pub(super) returns: BTreeMap<HostId, Handover>,
    /// The state for each home of which this host is the successor.
    pub(super) home_states: BTreeMap<HostId, HomeState>,
    /// The declarations of all hosts.
    pub(super) declared: Declarations,
    pub(super) rules: Rules,
    pub(super) guards: Guards,
}

impl Node {
    /// Creates the state of a host's new process, which knows nothing about earlier ones.
    pub fn new(
        id: HostId,
        incarnation: Incarnation,
        rules: Rules,
        guards: Guards,
        time: Time,
    ) -> Self {
        let quiet_until = Some(time.now + rules.promise_ttl + rules.promise_margin);
        Self {
            id,
            incarnation,
            rules,
            guards,
            started: time.wall,
            quiet_until,
            log_reachable: false,
            caught_up: false,
            from_start: false,
            other_holders: false,
            is_first: false,
            position: Offset::default(),
            fence: Offset::default(),
            table: Table::default(),
            unclaimed: BTreeSet::new(),
            promises: BTreeMap::new(),
            taken_over: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            returned_since: BTreeMap::new(),
            untimed_returns: BTreeSet::new(),
            returns: BTreeMap::new(),
            home_states: BTreeMap::new(),
            declared: Declarations::default(),
        }
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the table, for metrics.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns whether the log was reachable at the last attempt.
    pub fn is_log_reachable(&self) -> bool {
        self.log_reachable
    }

    /// Records whether the log can be reached.
    pub fn set_log_reachable(&mut self, reachable: bool) {
        self.log_reachable = reachable;
    }

    /// Records that every record up to the end of the log has been observed.
    pub fn mark_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Decides on a request.
    pub fn begin(&mut self, request: KeyedRequest, time: Time) -> RunDecision {
        if let Some(decision) = self.known_decision(&request) {
            return decision;
        }
        match self.admit(&request, time) {
            Err(refusal) => RunDecision::Refuse(refusal),
            Ok(state) => self.accept(request, state, time),
        }
    }

    /// Looks up how a key's run ended.
    pub fn look_up(&self, key: KeyId, role: Role, time: Time) -> KeyStatus {
        match self.table.entries.get(&key).map(|e| &e.state) {
            Some(State::Answered(a)) => KeyStatus::Answered(a.clone()),
            Some(State::Claiming | State::Running) => KeyStatus::Running,
            Some(State::Released) => KeyStatus::NotRun,
            Some(State::Unknown) => KeyStatus::MayHaveRun,
            Some(State::Open | State::Claimed) => KeyStatus::Unknown,
            None if self.check_not_run(key, role, time).is_ok() => KeyStatus::Absent,
            None => KeyStatus::Unknown,
        }
    }

    /// Returns the hash of the request body with which a key was first used, if it is known.
    pub fn body_hash(&self, key: KeyId) -> Option<u64> {
        self.table.entries.get(&key)?.body
    }

    /// Stores how a run ended.
    pub fn finish(&mut self, key: KeyId, outcome: Outcome) {
        self.table.finish(key, outcome, &self.rules);
    }

    /// Releases a claim not read back; returns whether the stage certainly will not run for it.
    pub fn abandon(&mut self, key: KeyId) -> bool {
        match self.table.entries.get_mut(&key) {
            Some(entry) if entry.state == State::Claiming => {
                entry.state = State::Released;
                true
            }
            _ => false,
        }
    }

    /// Removes up to `limit` keys from the keys to claim and returns them as one record.
    ///
    /// The caller retries the append until the record is certain to be in the log.
    pub fn claims(&mut self, limit: usize) -> Option<Record> {
        let keys: Vec<KeyId> = self.unclaimed.iter().copied().take(limit).collect();
        if keys.is_empty() {
            return None;
        }
        for key in &keys {
            self.unclaimed.remove(key);
        }
        Some(Record::Claims { home: self.id, incarnation: self.incarnation, keys })
    }

    /// Returns whether a key waits for its claim to be read back.
    pub fn is_claiming(&self, key: KeyId) -> bool {
        self.table.entries.get(&key).is_some_and(|e| e.state == State::Claiming)
    }

    /// Returns a claim of no keys, which announces this process in the log before it accepts keys
    /// without a creation time.
    pub fn empty_claim(&self) -> Record {
        Record::Claims { home: self.id, incarnation: self.incarnation, keys: Vec::new() }
    }

    /// Records that the stream was read from its very first record.
    pub fn mark_read_from_start(&mut self) {
        self.from_start = true;
    }

    /// Returns the number of keys to claim.
    pub fn pending_claims(&self) -> usize {
        self.unclaimed.len()
    }

    /// Returns the homes whose keys an earlier process of this host held when it ended.
    ///
    /// No host runs these keys until this process takes over again or the home regains them.
    pub fn orphaned(&self) -> Vec<HostId> {
        let states = self.home_states.iter();
        let orphans = states.filter(|(_, s)| s.holder.is_some() && s.takeover.is_none());
        orphans.map(|(home, _)| *home).collect()
    }

    /// Drops expired rows and outdated declarations.
    pub fn sweep(&mut self, wall: KeyTime) {
        self.table.sweep(wall);
        self.sweep_declared(wall);
    }

    /// Moves the origin of the monotonic clock, so that an exploration can compare states.
    pub fn rebase(&mut self, by: Duration) {
        let is_live = |m: &Moment| *m > Moment::ZERO;
        self.declared.rebase(by);
        self.quiet_until = self.quiet_until.map(|m| m - by).filter(is_live);
        for end in self.promises.values_mut() {
            *end = *end - by;
        }
        self.promises.retain(|_, m| is_live(m));
        for state in self.home_states.values_mut() {
            state.rebase(by);
        }
    }

    fn known_decision(&self, request: &KeyedRequest) -> Option<RunDecision> {
        let entry = self.table.entries.get(&request.key)?;
        if entry.body.is_some_and(|b| b != request.body) {
            return Some(RunDecision::Refuse(Refusal::not_run(RefusalCode::KeyReused)));
        }
        match &entry.state {
            State::Claiming | State::Running => Some(RunDecision::Wait),
            State::Answered(answer) => Some(RunDecision::Replay(answer.clone())),
            State::Open | State::Claimed | State::Unknown => {
                Some(RunDecision::Refuse(Refusal::unknown(RefusalCode::Unvouched)))
            }
            State::Released => None,
        }
    }

    /// Returns the state in which to accept a key, or why it must be refused.
    fn admit(&self, request: &KeyedRequest, time: Time) -> Result<State, Refusal> {
        if request.key.created().is_some_and(|t| t > time.wall + self.rules.clock_margin) {
            return Err(Refusal::not_run(RefusalCode::BadRequest));
        }
        self.check_not_run(request.key, request.role, time)?;
        if !self.table.entries.contains_key(&request.key) && !self.table.has_room(&self.rules) {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_in(self.rules.clock_margin));
        }
        match request.role {
            Role::Successor { .. } => Ok(State::Running),
            Role::Home { .. } if self.log_reachable => Ok(State::Claiming),
            Role::Home { successor } if self.may_run(successor, time.now) => Ok(State::Running),
            Role::Home { .. } => {
                Err(Refusal::not_run(RefusalCode::Unavailable).retry_in(self.rules.promise_ttl))
            }
        }
    }

    /// Returns whether the home may run a key without a claim in the log.
    fn may_run(&self, successor: Option<HostId>, now: Moment) -> bool {
        let Some(s) = successor else { return true };
        !self.guards.on(Guard::Promise) || self.promises.get(&s).is_some_and(|end| now < *end)
    }

    /// Checks that a key that is not in the table has certainly not run.
    fn check_not_run(&self, key: KeyId, role: Role, time: Time) -> Result<(), Refusal> {
        let not_home = Refusal::unknown(RefusalCode::NotHome);
        if self.is_declaring_away(key, role) || self.is_contested(key, role, time.wall) {
            return Err(not_home);
        }
        let (since, guard) = match role {
            Role::Home { successor } => {
                if successor.is_some_and(|s| self.has_ceded(s)) {
                    return Err(not_home);
                }
                let since = successor.map_or(self.started, |s| self.covered_since(s));
                (since, Guard::OlderThanHome)
            }
            Role::Successor { home } => {
                let since = self.home_states.get(&home).and_then(|s| s.held_since(time.now));
                (since.ok_or(not_home)?, Guard::OlderThanTakeover)
            }
        };
        let (margin, retention) = (self.rules.clock_margin, self.rules.key_retention);
        let newer = match key.created() {
            Some(t) => t > since + margin || !self.guards.on(guard),
            None => self.covers_untimed(role) || time.wall > since + retention,
        };
        let is_remembered = key.created().is_none_or(|t| time.wall <= t + retention);
        if newer && is_remembered && !self.is_older_than_move(key, role, time.wall) {
            return Ok(());
        }
        // The unread part of the log may contain a takeover by the successor.
        let shared = matches!(role, Role::Home { successor: Some(_) });
        Err(if shared && !self.caught_up {
            not_home
        } else {
            Refusal::unknown(RefusalCode::Unvouched)
        })
    }

    /// Returns whether no other process can have run a key without a creation time.
    pub(super) fn covers_untimed(&self, role: Role) -> bool {
        match role {
            Role::Home { successor: Some(s) } if self.returned_since.contains_key(&s) => {
                self.untimed_returns.contains(&s)
            }
            Role::Home { .. } => self.is_first,
            Role::Successor { home: h } => {
                self.home_states.get(&h).and_then(|s| s.takeover).is_some_and(|t| t.covers_untimed)
            }
        }
    }

    /// Returns whether the keys shared with a successor have been taken over or handed over.
    fn has_ceded(&self, successor: HostId) -> bool {
        self.taken_over.contains_key(&successor) || self.handed_over.contains_key(&successor)
    }

    /// Returns since which creation time this home knows all runs of keys shared with a successor.
    pub(super) fn covered_since(&self, successor: HostId) -> KeyTime {
        self.returned_since.get(&successor).copied().unwrap_or(self.started)
    }

    fn accept(&mut self, request: KeyedRequest, state: State, time: Time) -> RunDecision {
        let decision = if state == State::Claiming { RunDecision::Claim } else { RunDecision::Run };
        if matches!(request.role, Role::Home { .. }) {
            self.unclaimed.insert(request.key);
        }
        let created = request.key.created().unwrap_or(time.wall);
        let expires = created + self.rules.key_retention + self.rules.clock_margin;
        let entry = Entry { body: Some(request.body), state, role: request.role, expires };
        self.table.entries.insert(request.key, entry);
        decision
    }
}
