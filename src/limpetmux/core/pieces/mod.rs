//! The queue of pieces for the backend servers of one stage service.
//!
//! One node runs the queue of each service, so that pieces of all requests are batched across
//! requests and entries. A backend server gets one call at a time and the next one as soon as it
//! is idle; until then pieces stay in the queue, where more urgent ones can still overtake them.
//! Room for a result is reserved before its piece is sent and released when the result is freed,
//! so that no piece is refused for lack of room. See `docs/design/platform.md`.

mod held;
mod job;
mod share;
mod worker;

pub use held::HeldResult;
pub use job::{JobKey, JobSpec, Source, StageEnd};
pub use share::StageWaits;
pub use worker::{
    Call, CallEnd, CallItem, CallKey, CallQuota, PieceError, PieceOutcome, WorkerSpec,
};

use crate::core::catalog::PieceSpec;
use crate::core::share::FairTags;
use crate::core::time::Moment;
use crate::core::work::load::ServerLoad;
use job::Job;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use worker::Worker;

/// Longest time that a piece waits for a backend server in the zone where its result is needed.
const ZONE_WAIT: Duration = Duration::from_millis(300);
/// Pieces stop waiting for a backend server in their zone this long before the latest start of the
/// stage that is on time.
const ZONE_MARGIN: Duration = Duration::from_millis(450);
/// A call is overdue after this many halves of its expected time, plus [`OVERDUE_MARGIN`]; its
/// pieces are then queued again for other backend servers.
const OVERDUE_HALVES: u32 = 3;
/// Added to the expected time of a call before it counts as overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);
/// A call times out after this many times its expected time, plus [`TIMEOUT_MARGIN`].
const TIMEOUT_FACTOR: u32 = 4;
/// Added to the multiple of the expected time at which a call times out.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Time within which a backend server has fetched the inputs of the call that it runs.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Longest wait of a stage that already misses its request's latency objective.
const MAX_LATE_WAIT: Duration = Duration::from_millis(400);
/// Room of a result that is never reported as freed is released this long after its retention
/// time.
const RETENTION_MARGIN: Duration = Duration::from_millis(500);

/// The key of a stage that is not queued yet, behind all others of the same rank.
const NEW_JOB: JobKey = JobKey(u64::MAX);

/// The pieces and backend servers of one service.
#[derive(Debug)]
pub struct PieceQueue {
    spec: PieceSpec,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<Arc<str>, Worker>,
    tags: FairTags,
    next_key: u64,
}

/// Actions that the caller has to perform after a step of the queue.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to send.
    pub calls: Vec<Call>,
    /// Stages that have ended.
    pub ended: Vec<(JobKey, StageEnd)>,
    /// Results that no request needs any more and that have to be freed.
    pub unneeded_results: Vec<Arc<str>>,
    /// Results of other services that were fetched as inputs and have to be freed.
    pub fetched_inputs: Vec<Arc<str>>,
}

impl PieceQueue {
    /// Creates a queue without backend servers.
    pub fn new(spec: PieceSpec) -> Self {
        let (jobs, workers) = (BTreeMap::new(), BTreeMap::new());
        Self { spec, jobs, workers, tags: FairTags::default(), next_key: 0 }
    }

    /// Applies a new declaration of the service.
    pub fn configure(&mut self, spec: PieceSpec) {
        self.spec = spec;
    }

    /// Sets the backend servers that may get calls; all others get no new ones.
    pub fn set_workers(&mut self, specs: Vec<WorkerSpec>) {
        for worker in self.workers.values_mut() {
            worker.usable = specs.iter().any(|s| s.id == worker.spec.id);
        }
        for spec in specs {
            let known = self.workers.get_mut(&spec.id);
            match known.filter(|w| w.spec.started_ms == spec.started_ms && w.spec.addr == spec.addr)
            {
                Some(worker) => {
                    worker.usable = true;
                    worker.spec.quota = spec.quota;
                }
                None => drop(self.workers.insert(Arc::clone(&spec.id), Worker::new(spec))),
            }
        }
        self.workers.retain(|_, w| w.usable || w.is_busy() || !w.results.is_empty());
    }

    /// Records the load that a backend server states in the answer to a call.
    pub fn record_load(&mut self, now: Moment, server: &str, load: ServerLoad) {
        if let Some(worker) = self.workers.get_mut(server) {
            worker.record_load(now, load);
        }
    }

    /// Adds a stage of a request; a later step reports its end.
    ///
    /// # Errors
    /// Returns how the stage ends if it cannot be completed in time or no backend server is usable.
    pub fn submit(&mut self, now: Moment, spec: JobSpec) -> Result<JobKey, StageEnd> {
        if !self.workers.values().any(|w| w.usable) {
            return Err(StageEnd::Unavailable);
        }
        let job = Job::new(now, spec);
        let wait = self.queue_wait(now, &job);
        let end = now + wait + self.call_time(job.pieces().min(self.spec.batch));
        if end > job.spec.deadline {
            let retry_after =
                wait.min(job.spec.deadline.since(now) / 3).max(Duration::from_millis(50));
            return Err(StageEnd::Late { retry_after });
        }
        self.next_key += 1;
        let key = JobKey(self.next_key);
        self.enter(&job);
        self.jobs.insert(key, job);
        Ok(key)
    }

    /// Removes a stage whose request has ended; returns its results, which have to be freed.
    pub fn cancel(&mut self, key: JobKey) -> Vec<Arc<str>> {
        self.jobs.remove(&key).map(|job| job.results().collect()).unwrap_or_default()
    }

    /// Releases the room of results that were freed.
    pub fn release_results(&mut self, results: &[Arc<str>]) {
        for worker in self.workers.values_mut() {
            worker.free(results);
        }
    }

    /// Returns the pieces per second that the available backend servers complete in full batches.
    pub fn rate(&self, now: Moment) -> f64 {
        let speed = self.speed(now);
        let batch = self.spec.batch.max(1);
        speed * batch as f64 / self.call_time(batch).as_secs_f64().max(0.001)
    }

    /// Returns whether no stage is queued and no call runs.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.workers.values().all(|w| !w.is_busy())
    }

    /// Ends stages that are too late and starts the calls that can be sent now.
    pub fn step(&mut self, now: Moment) -> Actions {
        let mut actions = Actions::default();
        self.end_late(now, &mut actions);
        self.reissue_overdue(now);
        let jobs = self.jobs.values_mut();
        actions.fetched_inputs =
            jobs.flat_map(|j| j.take_fetched_inputs(now, FETCH_TIME)).collect();
        for worker in self.workers.values_mut() {
            worker.expire_results(now);
        }
        let retention = self.retention();
        while let Some((id, items)) = self.choose(now) {
            let expected = self.call_time(items.len());
            self.next_key += 1;
            let key = CallKey(self.next_key);
            let Some(worker) = self.workers.get_mut(&id) else { break };
            let call_item =
                |i: &worker::Item| self.jobs.get(&i.job).map(|job| job.call_item(now, i.piece));
            let call = Call {
                key,
                server: Arc::clone(&id),
                addr: worker.spec.addr,
                timeout: expected.mul_f64(worker.slowness(now, expected).max(1.0)) * TIMEOUT_FACTOR
                    + TIMEOUT_MARGIN,
                items: items.iter().filter_map(call_item).collect(),
            };
            let size = |item: &worker::Item| self.jobs.get(&item.job).map_or(0, |j| j.spec.size);
            let sizes = items.iter().map(size).collect();
            worker.start(key, now, expected, retention, items.clone(), sizes);
            let span = self.piece_span();
            for item in items {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    self.tags.charge(job.spec.priority, job.flow, span);
                    job.mark_sent(now, item.piece, &id);
                }
            }
            actions.calls.push(call);
        }
        actions
    }

    /// Records the end of a call.
    pub fn finish(&mut self, now: Moment, call: CallKey, end: CallEnd) -> Actions {
        let mut actions = Actions::default();
        let Some(worker) = self.workers.values_mut().find(|w| w.is_running(call)) else {
            return actions;
        };
        let zone = Arc::clone(&worker.spec.zone);
        for (item, outcome) in worker.finish(now, call, end) {
            match (self.jobs.get_mut(&item.job), outcome) {
                (Some(job), outcome) => {
                    let end =
                        job.finish_piece(item.piece, outcome, &zone, &mut actions.unneeded_results);
                    actions.ended.extend(end.map(|e| (item.job, e)));
                }
                (None, PieceOutcome::Completed(result)) => actions.unneeded_results.push(result),
                (None, PieceOutcome::Failed(_)) => {}
            }
        }
        self.remove_ended(&mut actions);
        actions
    }

    /// Removes stages that have ended; the results of incomplete ones have to be freed.
    fn remove_ended(&mut self, actions: &mut Actions) {
        for (key, end) in &actions.ended {
            let Some(mut job) = self.jobs.remove(key) else { continue };
            if end.is_completed() {
                actions.fetched_inputs.extend(job.take_inputs());
            } else {
                actions.unneeded_results.extend(job.results());
            }
        }
    }

    /// Ends stages that cannot be completed before their deadline, and late ones that would wait
    /// longer than [`MAX_LATE_WAIT`].
    fn end_late(&mut self, now: Moment, actions: &mut Actions) {
        let min_time = self.call_time(1);
        let mut too_late = Vec::new();
        let mut pieces_ahead = 0;
        for (rank, key) in self.order(now) {
            let job = &self.jobs[&key];
            let wait = self.drain_time(now, pieces_ahead);
            let late = rank.is_late() && wait > MAX_LATE_WAIT;
            if late || now + wait.min(min_time) + min_time > job.spec.deadline {
                too_late.push((key, wait));
            } else {
                pieces_ahead += job.open_count();
            }
        }
        for (key, wait) in too_late {
            let results = self.cancel(key);
            actions.unneeded_results.extend(results);
            actions.ended.push((key, StageEnd::Late { retry_after: wait }));
        }
    }

    /// Returns the stages with queued pieces, most urgent first.
    fn order(&self, now: Moment) -> Vec<(job::Rank, JobKey)> {
        let waiting = self.jobs.iter().filter(|(_, j)| j.open_count() > 0);
        self.sorted(now, waiting.map(|(key, job)| (*key, job)).collect())
    }

    fn rank(&self, now: Moment, job: &Job) -> job::Rank {
        job.rank(now, self.call_time(job.pieces().min(self.spec.batch)))
    }

    /// Queues the pieces of overdue calls again; the first result of each piece is used.
    fn reissue_overdue(&mut self, now: Moment) {
        let available = self.workers.values().filter(|w| w.is_available(now)).count();
        if available == 0 {
            return;
        }
        for worker in self.workers.values_mut() {
            for item in worker.overdue(now, OVERDUE_HALVES, OVERDUE_MARGIN) {
                if let Some(job) = self.jobs.get_mut(&item.job) {
                    job.requeue(item.piece);
                }
            }
        }
    }

    /// Chooses an idle backend server and the pieces for its next call.
    fn choose(&self, now: Moment) -> Option<(Arc<str>, Vec<worker::Item>)> {
        let order = self.order(now);
        let open = order.iter().map(|(_, key)| self.jobs[key].open_count()).sum();
        // While the queue is short, a call is not filled with pieces that make it late for one before.
        let is_short = self.drain_time(now, open) < self.spec.call_time;
        let mut best: Option<(f64, Arc<str>, Vec<worker::Item>)> = None;
        for worker in self.workers.values().filter(|w| w.is_idle(now)) {
            let items = self.items_for(now, worker, &order, is_short);
            if items.is_empty() || !self.is_worthwhile(now, worker, items.len()) {
                continue;
            }
            let score = self.score(now, worker, &items);
            if best.as_ref().is_none_or(|(best_score, ..)| score > *best_score) {
                best = Some((score, Arc::clone(&worker.spec.id), items));
            }
        }
        best.map(|(_, id, items)| (id, items))
    }

    /// Returns the pieces for the next call to a backend server, most urgent first.
    fn items_for(
        &self,
        now: Moment,
        worker: &Worker,
        order: &[(job::Rank, JobKey)],
        is_short: bool,
    ) -> Vec<worker::Item> {
        let mut items = Vec::new();
        let mut room = worker.room(now, self.spec.result_room);
        let mut most = self.spec.batch;
        for (rank, key) in order {
            let job = &self.jobs[key];
            if job.needs_other_zone(&worker.spec.zone) && self.can_wait(now, job) {
                continue;
            }
            for piece in job.open_pieces(&worker.spec.id) {
                if items.len() >= most || room < job.spec.size {
                    break;
                }
                room -= job.spec.size;
                items.push(worker::Item { job: *key, piece });
            }
            if is_short && !rank.is_late() && items.last().is_some_and(|i| i.job == *key) {
                most =
                    most.min(worker.pieces_until(now, job.spec.due, &self.spec)).max(items.len());
            }
        }
        items
    }

    /// Returns whether a slow backend server would finish the pieces before the others could.
    fn is_worthwhile(&self, now: Moment, worker: &Worker, items: usize) -> bool {
        let call_time = self.call_time(items);
        let slowness = worker.slowness(now, call_time);
        if slowness <= worker::USUAL_SLOWNESS {
            return true;
        }
        let slow_time = call_time.mul_f64(slowness);
        let open = self.jobs.values().map(Job::open_count).sum();
        slow_time < self.drain_time(now, open) + call_time
    }

    /// Returns the score of a call; fast backend servers and pieces in their own zone raise it.
    fn score(&self, now: Moment, worker: &Worker, items: &[worker::Item]) -> f64 {
        let in_zone =
            items.iter().filter(|i| !self.jobs[&i.job].needs_other_zone(&worker.spec.zone));
        let slowness = worker.slowness(now, self.call_time(items.len()));
        (items.len() as f64 + in_zone.count() as f64) / slowness
    }

    /// Returns whether a stage has enough time left to wait for a backend server in its zone.
    fn can_wait(&self, now: Moment, job: &Job) -> bool {
        let in_zone = |w: &Worker| w.is_available(now) && w.spec.zone == job.spec.zone;
        let latest_start = job.spec.due - self.call_time(job.pieces()) - ZONE_MARGIN;
        now.since(job.queued_at) < ZONE_WAIT
            && now < latest_start
            && self.workers.values().any(in_zone)
    }

    /// Returns how long a stage waits behind more urgent ones.
    fn queue_wait(&self, now: Moment, job: &Job) -> Duration {
        let mut waiting: Vec<(JobKey, &Job)> = self.jobs.iter().map(|(k, j)| (*k, j)).collect();
        waiting.push((NEW_JOB, job));
        let order = self.sorted(now, waiting);
        let ahead = order.iter().take_while(|(_, key)| *key != NEW_JOB);
        self.drain_time(now, ahead.map(|(_, key)| self.jobs[key].open_count()).sum())
    }

    /// Returns how many backend servers with the expected call time do as much as the available ones.
    fn speed(&self, now: Moment) -> f64 {
        let call_time = self.call_time(self.spec.batch.max(1));
        let available = self.workers.values().filter(|w| w.is_available(now));
        available.map(|w| w.speed(now, call_time)).sum()
    }

    /// Returns how long the available backend servers need for a number of pieces.
    fn drain_time(&self, now: Moment, pieces: usize) -> Duration {
        let rate = self.speed(now);
        let per_call = self.spec.batch.max(1);
        let calls = (pieces as f64 / per_call as f64) / rate.max(0.2);
        self.call_time(per_call).mul_f64(calls)
    }

    /// Returns how long a result that is made now may take up room.
    fn retention(&self) -> Duration {
        self.spec.result_ttl + RETENTION_MARGIN
    }

    fn call_time(&self, pieces: usize) -> Duration {
        self.spec.call_time + self.spec.item_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}
