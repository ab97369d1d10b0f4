//! Sends first attempts, retries and hedges, and handles their answers.

use super::{LATENCY, Simulation};
use crate::event::{Attempt, Event};
use crate::host::Answer;
use limpetmux::core::admission::Load;
use limpetmux::core::keys::HostKey;
use limpetmux::core::refusal::RefusalCode;
use limpetmux::core::routing::CallOutcome;

impl Simulation<'_> {
    pub(super) fn begin_stage(&mut self, id: usize) {
        let request = &self.requests[id];
        self.summary.attempts.0 += 1;
        self.entries[request.arrival.entry].record_first_attempt(request, &self.pipeline);
        self.send(id);
    }

    pub(super) fn send(&mut self, id: usize) {
        let Some(attempt) = self.send_attempt(id) else {
            self.refuse(id);
            return;
        };
        self.requests[id].attempt = Some(attempt);
        let request = &self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        if let Some(wait) = entry.hedge_after(self.now, request, &self.pipeline) {
            self.schedule(wait, Event::Hedge(attempt));
        }
    }

    /// Sends one attempt at the request's stage; returns `None` if no host can be chosen.
    pub(super) fn send_attempt(&mut self, id: usize) -> Option<usize> {
        let request = &self.requests[id];
        let entry = &mut self.entries[request.arrival.entry];
        let pick = entry.pick(self.now, request, &self.pipeline)?;
        let offer = entry.offer(self.now, request, &self.pipeline);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request: id, pick, sent_at: self.now, open: true });
        self.schedule(LATENCY, Event::Offer(attempt, offer));
        Some(attempt)
    }

    /// Hedges an attempt that is still running, if the retry budget allows it.
    pub(super) fn hedge(&mut self, first: usize) {
        let (id, host) = (self.attempts[first].request, self.attempts[first].pick.host);
        let request = &mut self.requests[id];
        let waiting = request.attempt == Some(first) && self.attempts[first].open;
        if !request.open || !waiting || request.hedge.is_some() {
            return;
        }
        request.exclude_host(host);
        let entry = &mut self.entries[request.arrival.entry];
        if !entry.may_hedge(request, &self.pipeline) {
            return;
        }
        if let Some(second) = self.send_attempt(id) {
            self.requests[id].hedge = Some(second);
            self.summary.attempts.1 += 1;
            self.summary.hedges += 1;
        }
    }

    /// Returns the other open attempt at the request's stage.
    pub(super) fn other(&self, id: usize, attempt: usize) -> Option<usize> {
        let request = &self.requests[id];
        let others = [request.attempt, request.hedge].into_iter().flatten();
        others.filter(|a| *a != attempt && self.attempts[*a].open).min()
    }

    /// Cancels an attempt whose result is no longer needed.
    pub(super) fn cancel(&mut self, attempt: usize) {
        self.close(attempt, CallOutcome::Neutral);
        self.schedule(LATENCY, Event::Cancel(attempt));
    }

    pub(super) fn reply(&mut self, id: usize, answer: Answer, load: Load) {
        let (now, Attempt { request, pick, sent_at, open }) = (self.now, &self.attempts[id]);
        let (request, pick, sent_at) = (*request, *pick, *sent_at);
        if !open {
            return;
        }
        let outcome = match answer {
            Answer::Done { .. } => CallOutcome::Done,
            Answer::Refused(_) => CallOutcome::Neutral,
            Answer::Failed => CallOutcome::Failed,
        };
        self.close(id, outcome);
        let entry = &mut self.entries[self.requests[request].arrival.entry];
        entry.selector.router.report(now, pick.slot, load, LATENCY);
        if !self.requests[request].open {
            return;
        }
        match answer {
            Answer::Done { queued, work_s } => {
                self.record_useful_work(request, work_s);
                let entry = &mut self.entries[self.requests[request].arrival.entry];
                let stage = self.pipeline.stages[self.requests[request].stage];
                entry.times.add(now, stage, now.since(sent_at).saturating_sub(queued));
                if let Some(other) = self.other(request, id) {
                    self.cancel(other);
                }
                self.requests[request].hedge = None;
                self.advance(request);
            }
            Answer::Refused(refusal) => {
                let after = refusal.retry_after;
                entry.selector.router.refused(now, pick.slot, refusal.code, after);
                self.fail(request, id, refusal.code);
            }
            Answer::Failed => self.fail(request, id, RefusalCode::Failed),
        }
    }

    /// Waits for the other attempt if there is one, else retries.
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
        if self.is_measured(id) {
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
                self.cancel(attempt);
            }
        }
    }

    pub(super) fn close(&mut self, id: usize, outcome: CallOutcome) {
        let attempt = &mut self.attempts[id];
        attempt.open = false;
        let entry = &mut self.entries[self.requests[attempt.request].arrival.entry];
        entry.selector.record_end(attempt.pick.host);
        entry.selector.router.finished(self.now, attempt.pick.slot, outcome);
    }
}
