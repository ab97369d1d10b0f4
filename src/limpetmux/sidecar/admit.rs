//! Drives [`Admission`] for one backend server: queued requests, a timer and the cost meter.
//!
//! One lock, held only briefly, guards the state that all requests share. A queued request holds a
//! ticket and a one-shot channel. After each change of state, the actions that admission returns
//! are performed and the affected requests are notified.

use crate::core::admission::{
    Actions, Admission, AdmissionDecision, Limits, Load, Offer, Outcome, ServerReport, Ticket,
};
use crate::core::config::ServiceSpec;
use crate::core::cost::{Mark, Meter};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::time::Moment;
use crate::util::clock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::sync::{oneshot, watch};

/// Limits before the declaration of the service is known.
const UNKNOWN_LIMITS: Limits = Limits {
    concurrency: 1,
    cold_concurrency: 1,
    warmup: std::time::Duration::from_secs(1),
    max_queued: 1,
};

struct State {
    admission: Admission,
    meter: Meter,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

struct Inner {
    state: Mutex<State>,
    wake: watch::Sender<Option<Moment>>,
}

/// The admission of one backend server, shared by its requests.
pub(super) struct Admitter(Arc<Inner>);

/// Permission for one call on the backend server, released when dropped.
pub struct Permit {
    inner: Arc<Inner>,
    ticket: Ticket,
    mark: Mark,
    outcome: Outcome,
    ended: bool,
}

/// Removes a request from the queue if its future is dropped while it waits.
struct QueueGuard {
    inner: Arc<Inner>,
    ticket: Ticket,
    armed: bool,
}

impl Admitter {
    pub(super) fn new() -> Self {
        let now = clock::now();
        let state = State {
            admission: Admission::new(now, UNKNOWN_LIMITS),
            meter: Meter::new(now, 0),
            waiting: BTreeMap::new(),
        };
        let (wake, wake_times) = watch::channel(None);
        let inner = Arc::new(Inner { state: Mutex::new(state), wake });
        tokio::spawn(run_timer(Arc::downgrade(&inner), wake_times));
        Self(inner)
    }

    /// Applies the declaration of the service.
    pub(super) fn configure(&self, spec: &ServiceSpec) {
        self.change(|state, now| {
            state.admission.configure(Limits::of(spec));
            state.meter.set_price(now, spec.price);
        });
    }

    /// Sets whether calls are admitted; if not, all queued requests are refused at once.
    pub(super) fn set_open(&self, serving: bool, draining: bool) {
        self.change(|state, _| {
            state.admission.set_zone(serving);
            state.admission.set_draining(draining);
        });
    }

    /// Applies a report of the backend server.
    pub(super) fn observe(&self, report: ServerReport) {
        self.change(|state, now| state.admission.observe(now, report));
    }

    /// Returns the load as reported to entries.
    pub(super) fn load(&self) -> Load {
        self.0.lock().admission.load()
    }

    /// Returns whether no call is running or queued.
    pub(super) fn is_idle(&self) -> bool {
        self.0.lock().admission.is_idle()
    }

    /// Waits for permission to make one call.
    ///
    /// # Errors
    /// Returns a refusal that proves that nothing ran.
    pub(super) async fn admit(&self, offer: Offer) -> Result<Permit, Refusal> {
        let (ticket, receiver) = {
            let mut state = self.0.lock();
            let now = clock::now();
            let decision = state.admission.offer(now, offer);
            let queued = match decision {
                AdmissionDecision::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Some((ticket, receiver))
                }
                AdmissionDecision::Start(_) | AdmissionDecision::Refused(_) => None,
            };
            self.0.run_actions(&mut state, now);
            match (decision, queued) {
                (_, Some(queued)) => queued,
                (AdmissionDecision::Refused(refusal), None) => return Err(refusal),
                (AdmissionDecision::Start(ticket) | AdmissionDecision::Queued(ticket), None) => {
                    return Ok(self.0.permit(&mut state, now, ticket));
                }
            }
        };
        self.wait(ticket, receiver).await
    }

    async fn wait(
        &self,
        ticket: Ticket,
        receiver: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Result<Permit, Refusal> {
        let mut guard = QueueGuard { inner: Arc::clone(&self.0), ticket, armed: true };
        let answer = receiver.await;
        guard.armed = false;
        match answer {
            Ok(Ok(())) => Ok(self.0.permit(&mut self.0.lock(), clock::now(), ticket)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::not_run(RefusalCode::Unavailable)),
        }
    }

    fn change(&self, change: impl FnOnce(&mut State, Moment)) {
        let mut state = self.0.lock();
        let now = clock::now();
        change(&mut state, now);
        self.0.run_actions(&mut state, now);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn permit(self: &Arc<Self>, state: &mut State, now: Moment, ticket: Ticket) -> Permit {
        let mark = state.meter.start_call(now);
        let inner = Arc::clone(self);
        Permit { inner, ticket, mark, outcome: Outcome::Cancelled, ended: false }
    }

    /// Performs the actions of admission: notifies queued requests and sets the timer.
    fn run_actions(&self, state: &mut State, now: Moment) {
        loop {
            let Actions { start, refused, wake } = state.admission.poll(now);
            for (ticket, refusal) in refused {
                // Sending fails only if the request was dropped, which needs no answer.
                let _ = state.waiting.remove(&ticket).map(|w| w.send(Err(refusal)));
            }
            let mut dropped = false;
            for ticket in start {
                let sent = state.waiting.remove(&ticket).is_some_and(|w| w.send(Ok(())).is_ok());
                if !sent {
                    state.admission.finish(now, ticket, Outcome::Cancelled);
                    dropped = true;
                }
            }
            if !dropped {
                self.wake.send_if_modified(|w| std::mem::replace(w, wake) != wake);
                return;
            }
        }
    }
}

impl Permit {
    /// Records the first output of the call.
    pub fn first_output(&self) {
        let mut state = self.inner.lock();
        let now = clock::now();
        state.admission.first_output(now, self.ticket);
        self.inner.run_actions(&mut state, now);
    }

    /// Ends the call and returns its cost in millionths of the accounting unit.
    pub fn end(mut self, outcome: Outcome) -> u64 {
        self.outcome = outcome;
        self.finish()
    }

    fn finish(&mut self) -> u64 {
        if std::mem::replace(&mut self.ended, true) {
            return 0;
        }
        let mut state = self.inner.lock();
        let now = clock::now();
        let cost = state.meter.end_call(now, self.mark);
        state.admission.finish(now, self.ticket, self.outcome);
        self.inner.run_actions(&mut state, now);
        cost
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.finish();
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut state = self.inner.lock();
        let now = clock::now();
        state.waiting.remove(&self.ticket);
        if state.admission.cancel(self.ticket) == crate::core::admission::Cancelled::Running {
            state.admission.finish(now, self.ticket, Outcome::Cancelled);
        }
        self.inner.run_actions(&mut state, now);
    }
}

/// Performs the actions of admission at the times that it requests.
async fn run_timer(inner: Weak<Inner>, mut wake_times: watch::Receiver<Option<Moment>>) {
    loop {
        let wake = *wake_times.borrow_and_update();
        let sleep = async {
            match wake {
                Some(at) => tokio::time::sleep(clock::now().until(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                let Some(inner) = inner.upgrade() else { return };
                let mut state = inner.lock();
                inner.run_actions(&mut state, clock::now());
            }
            changed = wake_times.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
