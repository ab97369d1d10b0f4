//! The queue of pieces before the backend servers of one stage service.
//!
//! One node decides for each service, so that pieces of all requests meet in one queue and are
//! batched across requests and entries. A backend server gets one call at a time and a new one as
//! soon as it is idle; until then pieces stay here, where the most urgent can still overtake. Room
//! for a result is reserved before its piece is sent and given back when the result is freed, so
//! that no piece is refused for lack of room. See `docs/design/platform.md`.

mod held;
mod job;
mod worker;

pub use held::HeldResult;
pub use job::{JobKey, JobSpec, Source, StageEnd};
pub use worker::{Call, CallEnd, CallItem, CallKey, Made, Unmade, WorkerSpec};

use crate::core::catalog::PieceSpec;
use crate::core::time::Moment;
use job::Job;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use worker::Worker;

/// The longest time that a piece waits for a backend server in the zone of its result's user.
const ZONE_WAIT: Duration = Duration::from_millis(300);
/// The time that such a piece leaves before the last moment at which it has to start.
const ZONE_SLACK: Duration = Duration::from_millis(450);
/// Calls that take this many times longer than expected are asked for elsewhere as well.
const OVERDUE: u32 = 3;
/// What is added to the expected time before a call counts as overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);
/// A call is given up after this many times the time that it is expected to take.
const LIMIT: u32 = 4;
/// What is added to that.
const LIMIT_SLACK: Duration = Duration::from_millis(500);
/// The time after which a backend server has fetched the inputs of the call that it runs.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// How long a stage that is late for its request's objective may still wait for its turn.
const LATE_PATIENCE: Duration = Duration::from_millis(400);
/// How long a result of which nobody reports the end takes up room, beyond its keeping time.
const KEEP_SLACK: Duration = Duration::from_millis(500);

/// The pieces and backend servers of one service.
#[derive(Debug)]
pub struct PieceQueue {
    spec: PieceSpec,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<Arc<str>, Worker>,
    next: u64,
}

/// What a step of the queue asks its caller to do.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to send.
    pub calls: Vec<Call>,
    /// Stages that have ended.
    pub ended: Vec<(JobKey, StageEnd)>,
    /// Results that nobody waits for any more and that have to be freed.
    pub unwanted: Vec<Arc<str>>,
    /// Results of other services that were fetched and that have to be freed.
    pub fetched: Vec<Arc<str>>,
}

impl PieceQueue {
    /// Creates a queue without backend servers.
    pub fn new(spec: PieceSpec) -> Self {
        Self { spec, jobs: BTreeMap::new(), workers: BTreeMap::new(), next: 0 }
    }

    /// Takes in a new declaration of the service.
    pub fn configure(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Takes in the backend servers that may be sent to; the others get nothing new.
    pub fn workers(&mut self, specs: Vec<WorkerSpec>) {
        for worker in self.workers.values_mut() {
            worker.usable = specs.iter().any(|s| s.id == worker.spec.id);
        }
        for spec in specs {
            let known = self.workers.get_mut(&spec.id);
            match known.filter(|w| w.spec.born == spec.born && w.spec.addr == spec.addr) {
                Some(worker) => worker.usable = true,
                None => drop(self.workers.insert(Arc::clone(&spec.id), Worker::new(spec))),
            }
        }
        self.workers.retain(|_, w| w.usable || w.is_busy() || !w.results.is_empty());
    }

    /// Adds a stage of a request; its end is reported by a later step.
    ///
    /// # Errors
    /// Returns the end of a stage that cannot be made in time or at all.
    pub fn submit(&mut self, now: Moment, spec: JobSpec) -> Result<JobKey, StageEnd> {
        if !self.workers.values().any(|w| w.usable) {
            return Err(StageEnd::Unavailable);
        }
        let job = Job::new(now, spec);
        let wait = self.wait_of(now, &job);
        let end = now + wait + self.call_time(job.pieces().min(self.spec.batch));
        if end > job.spec.deadline {
            let retry = wait.min(job.spec.deadline.since(now) / 3).max(Duration::from_millis(50));
            return Err(StageEnd::Late { retry });
        }
        self.next += 1;
        let key = JobKey(self.next);
        self.jobs.insert(key, job);
        Ok(key)
    }

    /// Forgets a stage whose request has ended; returns results that have to be freed.
    pub fn cancel(&mut self, key: JobKey) -> Vec<Arc<str>> {
        self.jobs.remove(&key).map(|job| job.results().collect()).unwrap_or_default()
    }

    /// Gives back the room of results that were freed; returns the address that holds each.
    pub fn freed(&mut self, results: &[Arc<str>]) {
        for worker in self.workers.values_mut() {
            worker.free(results);
        }
    }

    /// Returns how long a new stage that is not late waits for its turn.
    pub fn wait(&self, now: Moment) -> Duration {
        let open = self.jobs.values().filter(|j| !self.rank(now, j).is_late());
        let busy = self.workers.values().filter(|w| w.is_good(now)).map(|w| w.busy_for(now)).min();
        self.drain_time(now, open.map(Job::open).sum()) + busy.unwrap_or_default()
    }

    /// Returns the pieces that the good backend servers make in a second, in full batches.
    pub fn rate(&self, now: Moment) -> f64 {
        let speed: f64 = self.workers.values().filter(|w| w.is_good(now)).map(Worker::speed).sum();
        let batch = self.spec.batch.max(1);
        speed * batch as f64 / self.call_time(batch).as_secs_f64().max(0.001)
    }

    /// Returns whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.workers.values().all(|w| !w.is_busy())
    }

    /// Ends what is too late and sends what can be sent now.
    pub fn step(&mut self, now: Moment) -> Actions {
        let mut actions = Actions::default();
        self.end_late(now, &mut actions);
        self.reissue_overdue(now);
        let jobs = self.jobs.values_mut();
        actions.fetched = jobs.flat_map(|j| j.take_fetched(now, FETCH_TIME)).collect();
        for worker in self.workers.values_mut() {
            worker.forget_results(now);
        }
        while let Some((id, items)) = self.choose(now) {
            let expected = self.call_time(items.len());
            self.next += 1;
            let key = CallKey(self.next);
            let Some(worker) = self.workers.get_mut(&id) else { break };
            let keep = self.spec.keep + KEEP_SLACK;
            let call = Call {
                key,
                server: Arc::clone(&id),
                addr: worker.spec.addr,
                limit: expected.mul_f64(worker.slowness.max(1.0)) * LIMIT + LIMIT_SLACK,
                items: items.iter().filter_map(|i| call_item(now, &self.jobs, *i)).collect(),
            };
            let size = |item: &worker::Item| self.jobs.get(&item.job).map_or(0, |j| j.spec.size);
            let sizes = items.iter().map(size).collect();
            worker.start(key, now, expected, keep, items.clone(), sizes);
            for item in items {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.sent(now, item.piece, &id);
                }
            }
            actions.calls.push(call);
        }
        actions
    }

    /// Takes in the end of a call.
    pub fn finish(&mut self, now: Moment, call: CallKey, end: CallEnd) -> Actions {
        let mut actions = Actions::default();
        let Some(worker) = self.workers.values_mut().find(|w| w.has(call)) else {
            return actions;
        };
        let zone = Arc::clone(&worker.spec.zone);
        for (item, made) in worker.finish(now, call, end) {
            match (self.jobs.get_mut(&item.job), made) {
                (Some(job), made) => {
                    let end = job.take(item.piece, made, &zone, &mut actions.unwanted);
                    actions.ended.extend(end.map(|e| (item.job, e)));
                }
                (None, Made::Result(result)) => actions.unwanted.push(result),
                (None, Made::Not(_)) => {}
            }
        }
        self.remove_ended(&mut actions);
        actions
    }

    /// Removes stages that have ended; results of those that were not made are unwanted.
    fn remove_ended(&mut self, actions: &mut Actions) {
        for (key, end) in &actions.ended {
            let Some(mut job) = self.jobs.remove(key) else { continue };
            if end.is_made() {
                actions.fetched.extend(job.take_inputs());
            } else {
                actions.unwanted.extend(job.results());
            }
        }
    }

    /// Ends stages that cannot be made before their deadline, and late ones that would have to
    /// wait long behind others.
    fn end_late(&mut self, now: Moment, actions: &mut Actions) {
        let least = self.call_time(1);
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        for (rank, key) in self.order(now) {
            let job = &self.jobs[&key];
            let wait = self.drain_time(now, ahead);
            let late = rank.is_late() && wait > LATE_PATIENCE;
            if late || now + wait.min(least) + least > job.spec.deadline {
                hopeless.push((key, wait));
            } else {
                ahead += job.open();
            }
        }
        for (key, wait) in hopeless {
            let results = self.cancel(key);
            actions.unwanted.extend(results);
            actions.ended.push((key, StageEnd::Late { retry: wait }));
        }
    }

    /// Returns the stages of which pieces wait, most urgent first.
    fn order(&self, now: Moment) -> Vec<(job::Rank, JobKey)> {
        let waiting = self.jobs.iter().filter(|(_, j)| j.open() > 0);
        let mut order: Vec<_> = waiting.map(|(k, j)| (self.rank(now, j), *k)).collect();
        order.sort_unstable();
        order
    }

    fn rank(&self, now: Moment, job: &Job) -> job::Rank {
        job.rank(now, self.call_time(job.pieces().min(self.spec.batch)))
    }

    /// Queues the pieces of overdue calls anew; the first result of each piece counts.
    fn reissue_overdue(&mut self, now: Moment) {
        let others = self.workers.values().filter(|w| w.is_good(now)).count();
        if others == 0 {
            return;
        }
        for worker in self.workers.values_mut() {
            for item in worker.overdue(now, OVERDUE, OVERDUE_SLACK) {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.reopen(item.piece);
                }
            }
        }
    }

    /// Chooses an idle backend server and the pieces of its next call.
    fn choose(&self, now: Moment) -> Option<(Arc<str>, Vec<worker::Item>)> {
        let order = self.order(now);
        let mut best: Option<(f64, Arc<str>, Vec<worker::Item>)> = None;
        for worker in self.workers.values().filter(|w| w.is_idle(now)) {
            let items = self.items_for(now, worker, &order);
            if items.is_empty() || !self.is_worthwhile(now, worker, items.len()) {
                continue;
            }
            let gain = self.gain(worker, &items);
            if best.as_ref().is_none_or(|(g, ..)| gain > *g) {
                best = Some((gain, Arc::clone(&worker.spec.id), items));
            }
        }
        best.map(|(_, id, items)| (id, items))
    }

    /// Returns the pieces that a backend server would get, most urgent first.
    fn items_for(
        &self,
        now: Moment,
        worker: &Worker,
        order: &[(job::Rank, JobKey)],
    ) -> Vec<worker::Item> {
        let mut items = Vec::new();
        let mut room = worker.room(now, self.spec.room);
        for (_, key) in order {
            let job = &self.jobs[key];
            if job.wants_other(&worker.spec.zone) && self.can_wait(now, job) {
                continue;
            }
            for piece in job.open_pieces(&worker.spec.id) {
                if items.len() >= self.spec.batch || room < job.spec.size {
                    break;
                }
                room -= job.spec.size;
                items.push(worker::Item { job: *key, piece });
            }
        }
        items
    }

    /// Returns whether a slow backend server would still end before the others get to the pieces.
    fn is_worthwhile(&self, now: Moment, worker: &Worker, items: usize) -> bool {
        if worker.slowness <= worker::USUAL {
            return true;
        }
        let own = self.call_time(items).mul_f64(worker.slowness);
        let open = self.jobs.values().map(Job::open).sum();
        own < self.drain_time(now, open) + self.call_time(items)
    }

    /// Prefers fast backend servers, then those in the zones of the pieces.
    fn gain(&self, worker: &Worker, items: &[worker::Item]) -> f64 {
        let near = items.iter().filter(|i| !self.jobs[&i.job].wants_other(&worker.spec.zone));
        (items.len() as f64 + near.count() as f64) / worker.slowness
    }

    /// Returns whether a stage has the time to wait for a backend server in its zone.
    fn can_wait(&self, now: Moment, job: &Job) -> bool {
        let near = |w: &Worker| w.is_good(now) && w.spec.zone == job.spec.zone;
        let last = job.spec.due - self.call_time(job.pieces()) - ZONE_SLACK;
        now.since(job.entered) < ZONE_WAIT && now < last && self.workers.values().any(near)
    }

    /// Returns how long a stage waits behind what is more urgent.
    fn wait_of(&self, now: Moment, job: &Job) -> Duration {
        let rank = self.rank(now, job);
        let ahead = self.jobs.values().filter(|j| self.rank(now, j) < rank);
        self.drain_time(now, ahead.map(Job::open).sum())
    }

    /// Returns how long the good backend servers need for a number of pieces.
    fn drain_time(&self, now: Moment, pieces: usize) -> Duration {
        let rate: f64 = self.workers.values().filter(|w| w.is_good(now)).map(Worker::speed).sum();
        let per_call = self.spec.batch.max(1);
        let calls = (pieces as f64 / per_call as f64) / rate.max(0.2);
        self.call_time(per_call).mul_f64(calls)
    }

    fn call_time(&self, pieces: usize) -> Duration {
        self.spec.call + self.spec.item * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}

/// Returns what a backend server is told of a piece.
fn call_item(now: Moment, jobs: &BTreeMap<JobKey, Job>, item: worker::Item) -> Option<CallItem> {
    let spec = &jobs.get(&item.job)?.spec;
    Some(CallItem {
        request: Arc::clone(&spec.request),
        stage: spec.stage,
        piece: item.piece,
        source: spec.source.clone(),
        left: now.until(spec.deadline),
    })
}
