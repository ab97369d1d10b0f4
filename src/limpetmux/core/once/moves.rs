//! Promises, takeovers, handovers and returns, which move keys between a home and its successor.

use super::{Guard, Handover, HostId, Incarnation, Node, PromiseError, Record, Role};
use crate::core::revision::Offset;
use crate::core::time::Moment;

impl Node {
    /// Records a promise of a successor not to take over, requested at `sent`.
    pub fn record_promise(&mut self, successor: HostId, sent: Moment) {
        let end = sent + self.rules.promise_ttl;
        let until = self.promises.entry(successor).or_insert(end);
        *until = end.max(*until);
    }

    /// Returns until when a successor has promised not to take over.
    pub fn promised_until(&self, successor: HostId) -> Option<Moment> {
        self.promises.get(&successor).copied()
    }

    /// Returns the offset after the last observed record.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Promises a home, as its successor, not to take over.
    ///
    /// `read` is the home's [`position`](Self::position) at its request.
    ///
    /// # Errors
    /// Returns [`PromiseError`] if the home must not run keys without a claim in the log.
    pub fn promise(
        &mut self,
        home: HostId,
        incarnation: Incarnation,
        read: Offset,
        now: Moment,
    ) -> Result<(), PromiseError> {
        if self.log_reachable {
            return Err(PromiseError::LogReachable);
        }
        if !self.caught_up && self.guards.on(Guard::ReadBeforePromise) {
            return Err(PromiseError::NotRead);
        }
        let disagrees = self.declared.is_sending() || !self.agrees_with(home);
        if disagrees && self.guards.on(Guard::AgreedPromise) {
            return Err(PromiseError::OtherHosts);
        }
        let end = now + self.rules.promise_ttl + self.rules.promise_margin;
        let check_process = self.guards.on(Guard::FreshHandover);
        let check_position = self.guards.on(Guard::HomeRead);
        let state = self.home_states.entry(home).or_default();
        if check_position && read < state.changed {
            return Err(PromiseError::HomeBehind);
        }
        if state.holder.is_some() || state.requested.is_some() {
            return Err(PromiseError::TakenOver);
        }
        if state.is_bound(now) && state.promisee != Some(incarnation) {
            return Err(PromiseError::OtherProcess);
        }
        if check_process {
            state.note_process(incarnation);
            if !state.is_latest(incarnation) {
                return Err(PromiseError::OtherProcess);
            }
        }
        state.promised_until = Some(end);
        state.promisee = Some(incarnation);
        Ok(())
    }

    /// Returns the record that takes over from a home or renews the takeover, if it may be appended
    /// now.
    pub fn take_over(&mut self, home: HostId, now: Moment) -> Option<Record> {
        let quiet = self.quiet_until.is_some_and(|end| now < end) && self.guards.on(Guard::Quiet);
        let honour = self.guards.on(Guard::Honour);
        let (by, incarnation) = (self.id, self.incarnation);
        let state = self.home_states.entry(home).or_default();
        let bound = honour && state.is_bound(now);
        let idle = state.requested.is_none() && !state.returning;
        if !self.log_reachable
            || !self.caught_up
            || !idle
            || state.takeover.is_none() && (quiet || bound)
        {
            return None;
        }
        state.requested = Some(now);
        Some(Record::Takeover { home, by, incarnation })
    }

    /// Clears a pending takeover whose record is certain not to be in the log, see
    /// [`Node::take_over`].
    pub fn takeover_failed(&mut self, home: HostId) {
        if let Some(state) = self.home_states.get_mut(&home) {
            state.requested = None;
        }
    }

    /// Stops accepting the keys shared with a successor and returns the table to send to it.
    ///
    /// Returns `None` if the successor has already taken over.
    pub fn hand_over(&mut self, successor: HostId) -> Option<Handover> {
        if self.taken_over.contains_key(&successor) {
            return None;
        }
        if self.guards.on(Guard::StopFirst) {
            let sent_again = self.handed_over.entry(successor).and_modify(|again| *again = true);
            sent_again.or_insert(false);
        }
        self.promises.remove(&successor);
        // Claims not yet read back are released, so that the successor may run their keys.
        self.table.release_claims(Role::Home { successor: Some(successor) });
        Some(self.final_handover(successor))
    }

    /// Returns the table of the keys shared with a successor, to be sent again once the last run
    /// has ended. Call [`Node::hand_over`] first.
    pub fn final_handover(&self, successor: HostId) -> Handover {
        let since = self.covered_since(successor);
        let rows = self.table.export(Role::Home { successor: Some(successor) });
        let covers_untimed = self.covers_untimed(Role::Home { successor: Some(successor) });
        let (from, incarnation, read) = (self.id, self.incarnation, self.position);
        Handover { from, incarnation, since, covers_untimed, read, rows }
    }

    /// Accepts keys again after a successor has certainly refused the only table that was sent.
    ///
    /// The refusal of a further table says nothing about an earlier one, with which the successor may
    /// take over and which does not contain what this host would run from now on.
    pub fn resume(&mut self, successor: HostId) {
        if self.handed_over.get(&successor) == Some(&false) {
            self.handed_over.remove(&successor);
        }
    }

    /// Returns the successors to which this host has handed over and whose takeover it has not read.
    pub fn open_handovers(&self) -> Vec<HostId> {
        let handed_over = self.handed_over.keys().copied();
        handed_over.filter(|s| !self.taken_over.contains_key(s)).collect()
    }

    /// Stores a home's table for a later takeover; returns whether the table was accepted.
    ///
    /// A table is stale if a later process of the home is known, or if the home had not read the last
    /// return of its keys, since when it may have run more of them.
    pub fn receive_handover(&mut self, handover: Handover) -> bool {
        let role = Role::Successor { home: handover.from };
        let fresh = self.guards.on(Guard::FreshHandover);
        let state = self.home_states.entry(handover.from).or_default();
        if fresh && handover.read < state.returned {
            return false;
        }
        if let Some(takeover) = state.takeover {
            let same_process = takeover.from == Some(handover.incarnation);
            self.table.adopt(handover.rows, role, same_process);
            return true;
        }
        if fresh && !state.is_latest(handover.incarnation) {
            return false;
        }
        state.promised_until = None;
        state.table = Some(handover);
        true
    }

    /// Stops accepting a home's keys and returns the table to send to it and the record to append.
    ///
    /// Returns `None` if this process has not taken over.
    pub fn return_keys(&mut self, home: HostId) -> Option<(Handover, Record)> {
        let (by, incarnation) = (self.id, self.incarnation);
        let state = self.home_states.get_mut(&home)?;
        let takeover = state.takeover?;
        if state.requested.is_some() {
            return None;
        }
        state.returning = true;
        let rows = self.table.export(Role::Successor { home });
        let (since, covers_untimed) = (takeover.since, takeover.covers_untimed);
        let read = self.position;
        let handover = Handover { from: by, incarnation, since, covers_untimed, read, rows };
        Some((handover, Record::Return { home, by, incarnation }))
    }

    /// Keeps holding a home's keys if the record of [`Node::return_keys`] is certain not to be in
    /// the log.
    pub fn return_failed(&mut self, home: HostId) {
        if let Some(state) = self.home_states.get_mut(&home) {
            state.returning = false;
        }
    }

    /// Stores a successor's table until its return is read from the log.
    ///
    /// The table of a return that failed may arrive after a later one.
    pub fn receive_return(&mut self, handover: Handover) {
        match self.returns.get_mut(&handover.from) {
            Some(known) if known.incarnation == handover.incarnation => known.merge(handover),
            _ => drop(self.returns.insert(handover.from, handover)),
        }
    }

    /// Returns whether this process holds a home's keys.
    pub fn holds(&self, home: HostId, now: Moment) -> bool {
        self.home_states.get(&home).is_some_and(|s| s.held_since(now).is_some())
    }

    /// Returns the homes whose keys this process holds, and whether half of each takeover's
    /// lifetime has passed.
    pub fn held(&self, now: Moment) -> Vec<(HostId, bool)> {
        let half = self.rules.takeover_ttl / 2;
        let is_old = |until: Moment| now + half > until;
        let states = self.home_states.iter();
        states.filter_map(|(home, s)| s.takeover.map(|t| (*home, is_old(t.until)))).collect()
    }
}
