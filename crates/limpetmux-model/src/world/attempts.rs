//! Attempts at the stages of requests: the first, retries and hedges.

use super::{LATENCY, World};
use crate::event::{Attempt, Event};
use crate::side::Answer;
use limpetmux::core::admission::Load;
use limpetmux::core::keys::HostKey;
use limpetmux::core::refusal::RefusalCode;
use limpetmux::core::routing::CallOutcome;

impl World<'_> {
    pub(super) fn begin_stage(&mut self, id: usize) {
        let request = &self.requests[id];
        self.summary.attempts.0 += 1;
        self.entries[request.arrival.entry].fresh(request, &self.pipeline);
        self.send(id);
    }

    pub(super) fn send(&mut self, id: usize) {
        let Some(attempt) = self.attempt(id) else {
            self.refuse(id);
            return;
        };
        self.requests[id].attempt = Some(attempt);
        let request = &self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        if let Some(wait) = entry.hedge_after(self.now, request, &self.pipeline) {
            self.after(wait, Event::Hedge(attempt));
        }
    }

    /// Sends one attempt at the request's stage, or returns `None` if no host is left to try.
    pub(super) fn attempt(&mut self, id: usize) -> Option<usize> {
        let request = &self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        let pick = entry.pick(self.now, request, &self.pipeline)?;
        let offer = entry.offer(self.now, request, &self.pipeline);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request: id, pick, sent: self.now, open: true });
        self.after(LATENCY, Event::Offer(attempt, offer));
        Some(attempt)
    }

    /// Runs a second attempt beside a late first one, if the budget pays for it.
    pub(super) fn hedge(&mut self, first: usize) {
        let (id, host) = (self.attempts[first].request, self.attempts[first].pick.host);
        let request = &mut self.requests[id];
        let waits = request.attempt == Some(first) && self.attempts[first].open;
        if !request.open || !waits || request.hedge.is_some() {
            return;
        }
        request.leave_out(host);
        let entry = &mut self.entries[request.arrival.entry];
        if !entry.may_hedge(request, &self.pipeline) {
            return;
        }
        if let Some(second) = self.attempt(id) {
            self.requests[id].hedge = Some(second);
            self.summary.attempts.1 += 1;
            self.summary.hedges += 1;
        }
    }

    /// Returns the open attempt beside this one.
    pub(super) fn other(&self, id: usize, attempt: usize) -> Option<usize> {
        let request = &self.requests[id];
        let others = [request.attempt, request.hedge].into_iter().flatten();
        others.filter(|a| *a != attempt && self.attempts[*a].open).min()
    }

    /// Stops an attempt whose result is no longer wanted.
    pub(super) fn abandon(&mut self, attempt: usize) {
        self.close(attempt, CallOutcome::Neutral);
        self.after(LATENCY, Event::Cancel(attempt));
    }

    pub(super) fn reply(&mut self, id: usize, answer: Answer, load: Load) {
        let (now, Attempt { request, pick, sent, open }) = (self.now, &self.attempts[id]);
        let (id_request, pick, sent) = (*request, *pick, *sent);
        if !open {
            return;
        }
        let ending = match answer {
            Answer::Done { .. } => CallOutcome::Done,
            Answer::Refused(_) => CallOutcome::Neutral,
            Answer::Failed => CallOutcome::Failed,
        };
        self.close(id, ending);
        let entry = &mut self.entries[self.requests[id_request].arrival.entry];
        entry.finder.router.report(now, pick.slot, load, LATENCY);
        if !self.requests[id_request].open {
            return;
        }
        match answer {
            Answer::Done { queued, work } => {
                self.useful(id_request, work);
                let entry = &mut self.entries[self.requests[id_request].arrival.entry];
                let stage = self.pipeline.stages[self.requests[id_request].stage];
                entry.times.add(now, stage, now.since(sent).saturating_sub(queued));
                if let Some(other) = self.other(id_request, id) {
                    self.abandon(other);
                }
                self.requests[id_request].hedge = None;
                self.advance(id_request);
            }
            Answer::Refused(refusal) => {
                let after = refusal.retry_after;
                entry.finder.router.refused(now, pick.slot, refusal.code, after);
                self.fail(id_request, id, refusal.code);
            }
            Answer::Failed => self.fail(id_request, id, RefusalCode::Failed),
        }
    }

    /// Waits for the other attempt, or tries again.
    pub(super) fn fail(&mut self, id: usize, attempt: usize, code: RefusalCode) {
        if let Some(other) = self.other(id, attempt) {
            self.requests[id].attempt = Some(other);
            return;
        }
        self.requests[id].hedge = None;
        self.retry(id, self.attempts[attempt].pick.host, code);
    }

    pub(super) fn retry(&mut self, id: usize, host: HostKey, code: RefusalCode) {
        *self.summary.refusals.entry(code).or_insert(0) += 1;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        if entry.may_retry(request, &self.pipeline, host, code) {
            self.summary.attempts.1 += 1;
            self.send(id);
        } else {
            self.refuse(id);
        }
    }

    pub(super) fn refuse(&mut self, id: usize) {
        self.requests[id].open = false;
        if self.counts(id) {
            self.summary.refused += 1;
        }
    }

    pub(super) fn expire(&mut self, id: usize) {
        if !self.requests[id].open {
            return;
        }
        self.requests[id].open = false;
        if !self.policy.cancel {
            return;
        }
        let request = &self.requests[id];
        for attempt in [request.attempt, request.hedge].into_iter().flatten() {
            if self.attempts[attempt].open {
                self.abandon(attempt);
            }
        }
    }

    pub(super) fn close(&mut self, id: usize, ending: CallOutcome) {
        let attempt = &mut self.attempts[id];
        attempt.open = false;
        let entry = &mut self.entries[self.requests[attempt.request].arrival.entry];
        entry.finder.ended(attempt.pick.host);
        entry.finder.router.finished(self.now, attempt.pick.slot, ending);
    }
}
