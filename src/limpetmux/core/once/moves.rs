//! Promises, takeovers, handovers and returns: how keys get from one host to the other.

use super::{Guard, Handover, HostId, Incarnation, NoPromise, Node, Record, Role};
use crate::core::revision::Offset;
use crate::core::time::Moment;

impl Node {
    /// Notes a promise of a successor that was asked for at `sent`.
    pub fn promised(&mut self, successor: HostId, sent: Moment) {
        let end = sent + self.rules.promise;
        let belief = self.beliefs.entry(successor).or_insert(end);
        *belief = end.max(*belief);
    }

    /// Returns until when a successor has promised not to take over.
    pub fn belief(&self, successor: HostId) -> Option<Moment> {
        self.beliefs.get(&successor).copied()
    }

    /// Returns the offset behind the last observed record.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Promises a home not to take over, as its successor.
    ///
    /// `read` is the home's [`position`](Self::position) when it asked.
    ///
    /// # Errors
    /// Returns [`NoPromise`] if the home must not run from memory.
    pub fn promise(
        &mut self,
        home: HostId,
        incarnation: Incarnation,
        read: Offset,
        now: Moment,
    ) -> Result<(), NoPromise> {
        if self.reachable {
            return Err(NoPromise::LogReachable);
        }
        if !self.read && self.guards.on(Guard::ReadBeforePromise) {
            return Err(NoPromise::NotRead);
        }
        let disagrees = self.declared.is_sending() || !self.agrees_with(home);
        if disagrees && self.guards.on(Guard::AgreedPromise) {
            return Err(NoPromise::OtherHosts);
        }
        let end = now + self.rules.promise + self.rules.slack;
        let fresh = self.guards.on(Guard::FreshHandover);
        let behind = self.guards.on(Guard::HomeRead);
        let seat = self.seats.entry(home).or_default();
        if behind && read < seat.changed {
            return Err(NoPromise::HomeBehind);
        }
        if seat.held.is_some() || seat.asked.is_some() {
            return Err(NoPromise::TakenOver);
        }
        if seat.is_bound(now) && seat.promisee != Some(incarnation) {
            return Err(NoPromise::OtherProcess);
        }
        if fresh {
            seat.note_process(incarnation);
            if !seat.is_latest(incarnation) {
                return Err(NoPromise::OtherProcess);
            }
        }
        seat.promised = Some(end);
        seat.promisee = Some(incarnation);
        Ok(())
    }

    /// Returns the record that takes over from a home, or renews that, if it may be appended now.
    pub fn take_over(&mut self, home: HostId, now: Moment) -> Option<Record> {
        let quiet = self.quiet.is_some_and(|end| now < end) && self.guards.on(Guard::Quiet);
        let honour = self.guards.on(Guard::Honour);
        let (by, incarnation) = (self.id, self.incarnation);
        let seat = self.seats.entry(home).or_default();
        let bound = honour && seat.is_bound(now);
        let open = seat.asked.is_none() && !seat.returning;
        if !self.reachable || !self.read || !open || seat.taken.is_none() && (quiet || bound) {
            return None;
        }
        seat.asked = Some(now);
        Some(Record::Takeover { home, by, incarnation })
    }

    /// Notes that the record of [`Node::take_over`] is certain not to be in the log.
    pub fn takeover_failed(&mut self, home: HostId) {
        if let Some(seat) = self.seats.get_mut(&home) {
            seat.asked = None;
        }
    }

    /// Stops accepting the keys shared with a successor and returns their table for it.
    ///
    /// Returns `None` if the successor has taken over already.
    pub fn hand_over(&mut self, successor: HostId) -> Option<Handover> {
        if self.lost.contains_key(&successor) {
            return None;
        }
        if self.guards.on(Guard::StopFirst) {
            self.stopped.insert(successor);
        }
        self.beliefs.remove(&successor);
        // Claims under way are given up here, so that the successor may run their keys.
        self.table.release_claims(Role::Home { successor: Some(successor) });
        Some(self.last_table(successor))
    }

    /// Returns the table of the keys shared with a successor, to be sent again once the last run
    /// has ended; of use only after [`Node::hand_over`].
    pub fn last_table(&self, successor: HostId) -> Handover {
        let since = self.floor(successor);
        let rows = self.table.export(Role::Home { successor: Some(successor) });
        let whole = self.vouches_untimed(Role::Home { successor: Some(successor) });
        Handover { from: self.id, incarnation: self.incarnation, since, whole, rows }
    }

    /// Accepts keys again after a successor refused a table for certain.
    pub fn resume(&mut self, successor: HostId) {
        self.stopped.remove(&successor);
    }

    /// Keeps a table of a home for the takeover to come; returns whether it is of use.
    ///
    /// A table of another process than the one last heard of is stale.
    pub fn receive(&mut self, handover: Handover) -> bool {
        let role = Role::Successor { home: handover.from };
        let fresh = self.guards.on(Guard::FreshHandover);
        let seat = self.seats.entry(handover.from).or_default();
        if let Some(taken) = seat.taken {
            let again = taken.from == Some(handover.incarnation);
            self.table.adopt(handover.rows, role, again);
            return true;
        }
        if fresh && !seat.is_latest(handover.incarnation) {
            return false;
        }
        seat.promised = None;
        seat.table = Some(handover);
        true
    }

    /// Stops accepting a home's keys and returns their table for it and the record to append.
    ///
    /// Returns `None` if this process has not taken over.
    pub fn give_back(&mut self, home: HostId) -> Option<(Handover, Record)> {
        let (by, incarnation) = (self.id, self.incarnation);
        let seat = self.seats.get_mut(&home)?;
        let taken = seat.taken?;
        if seat.asked.is_some() {
            return None;
        }
        seat.returning = true;
        let rows = self.table.export(Role::Successor { home });
        let (since, whole) = (taken.since, taken.whole);
        let handover = Handover { from: by, incarnation, since, whole, rows };
        Some((handover, Record::Return { home, by, incarnation }))
    }

    /// Goes on holding a home's keys after the record of [`Node::give_back`] is certain not to be
    /// in the log.
    pub fn return_failed(&mut self, home: HostId) {
        if let Some(seat) = self.seats.get_mut(&home) {
            seat.returning = false;
        }
    }

    /// Keeps a table of a successor for the return to come.
    pub fn receive_return(&mut self, handover: Handover) {
        self.returns.insert(handover.from, handover);
    }

    /// Returns whether this process holds a home's keys.
    pub fn holds(&self, home: HostId, now: Moment) -> bool {
        self.seats.get(&home).is_some_and(|s| s.holds(now).is_some())
    }

    /// Returns the homes whose keys this process holds, and whether each hold is half over.
    pub fn held(&self, now: Moment) -> Vec<(HostId, bool)> {
        let half = self.rules.hold / 2;
        let old = |until: Moment| now + half > until;
        let seats = self.seats.iter();
        seats.filter_map(|(home, s)| s.taken.map(|t| (*home, old(t.until)))).collect()
    }
}
