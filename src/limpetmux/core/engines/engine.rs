//! The state that an engine pool keeps of one engine: its backlog of prompts, its pace and its cache.

use super::cache::PartCache;
use super::{EngineReport, PROMPT_OVERHEAD};
use crate::core::time::Moment;
use crate::core::work::read_cost::ReadSize;
use crate::util::hash::hash_bytes;
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of a new sample in the moving average of an engine's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Range of an engine's pace and of the ratio in one sample.
const PACE_RANGE: (f64, f64) = (0.3, 8.0);
/// An engine counts as slow from this multiple of the usual pace of its pool on.
const SLOW_RATIO: f64 = 2.0;
/// Part by which the pace of a slow engine without new samples approaches the usual one every
/// second.
const PACE_RECOVERY: f64 = 0.1;
/// Range of the ratio of a sample of an engine's own pace; others come from something that passes.
const OWN_RANGE: (f64, f64) = (0.5, 2.0);
/// The smallest weight of a new sample in the moving average of an engine's own pace.
const OWN_WEIGHT: f64 = 0.1;
/// The samples for which the usual pace counts in an engine's own one.
const USUAL_SAMPLES: f64 = 3.0;
/// Prompts that are remembered until a report of them or of a later one; the oldest is dropped first.
const MAX_UNREPORTED: usize = 4_096;

/// One engine of a pool.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    /// The Unix millisecond of its start; after a restart under the same id nothing is cached.
    pub(super) started_ms: u64,
    /// Moving average of the time a prompt takes divided by the time at pace 1.
    pace: f64,
    /// Moving average of the logarithm of the same for prompts that waited for nothing, and the number
    /// of samples in it.
    own_pace: (f64, u32),
    /// When the engine was created or last got a prompt.
    pub(super) used_at: Moment,
    /// When the engine will have read all prompts sent to it.
    busy_until: Moment,
    /// When the pace last got a sample.
    sampled_at: Moment,
    /// The prompts sent after the latest one that is known to be read, in the order of their sends.
    unreported: VecDeque<SentPrompt>,
    /// The work of all prompts sent so far.
    total_work: Duration,
    /// The parts that it has read, or will read for planned prompts.
    pub(super) cache: PartCache,
}

/// A prompt that an engine was sent.
#[derive(Clone, Debug)]
struct SentPrompt {
    /// The hash of its id, as callers choose how long an id is.
    request: u64,
    sent_at: Moment,
    /// The pace that its expected time assumes.
    pace: f64,
    /// The work of all prompts up to this one.
    total_work: Duration,
    /// What the engine reads for it, if that is all that its first event waits for.
    alone: Option<ReadSize>,
}

/// The time that an engine took to read a prompt that waited for nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadSample {
    /// What it read.
    pub(super) size: ReadSize,
    /// The time that it took.
    pub(super) took: Duration,
}

impl Engine {
    /// Creates an idle engine without cached parts.
    pub(super) fn new(now: Moment, started_ms: u64, pace: f64) -> Self {
        Self {
            started_ms,
            pace,
            own_pace: (0.0, 0),
            used_at: now,
            busy_until: now,
            sampled_at: now,
            unreported: VecDeque::new(),
            total_work: Duration::ZERO,
            cache: PartCache::default(),
        }
    }

    /// Returns the time that the engine still spends on the prompts sent to it.
    pub(super) fn backlog(&self, now: Moment) -> Duration {
        now.until(self.busy_until)
    }

    /// Adds a prompt that is sent now; `size` is what the engine reads for it, unless it also fetches.
    pub(super) fn send(
        &mut self,
        now: Moment,
        request: &str,
        (work, size): (Duration, Option<ReadSize>),
        usual: f64,
    ) {
        let alone = size.filter(|_| self.busy_until <= now);
        self.busy_until = self.busy_until.max(now) + work;
        self.used_at = now;
        self.total_work += work;
        if self.unreported.len() == MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        let (pace, total_work) = (self.pace(now, usual), self.total_work);
        let request = hash_bytes(request.as_bytes());
        let prompt = SentPrompt { request, sent_at: now, pace, total_work, alone };
        self.unreported.push_back(prompt);
    }

    /// Records how long a prompt took, which tells the engine's pace and what is left to read.
    ///
    /// Prompts are read in the order of their sends, so at the first event of one of them only the
    /// later ones are left. Many prompts that wait at the same time report the same delay; adding up
    /// what each of them was off by would count it many times. A report of a prompt before one that
    /// is known to be read says nothing about the backlog. Returns the time if it is all reading.
    pub(super) fn record(&mut self, now: Moment, report: &EngineReport) -> Option<ReadSample> {
        let request = hash_bytes(report.request.as_bytes());
        let index = self.unreported.iter().position(|s| s.request == request)?;
        let read = self.unreported.drain(..=index).next_back()?;
        let took = report.took.min(now.since(read.sent_at));
        self.busy_until = read.sent_at + took + (self.total_work - read.total_work);
        self.record_pace(now, report, read.pace);
        read.alone.map(|size| ReadSample { size, took })
    }

    /// Adds a sample of the engine's own pace: the time of a prompt divided by the usual one.
    pub(super) fn record_own(&mut self, ratio: f64) {
        if !(OWN_RANGE.0..=OWN_RANGE.1).contains(&ratio) {
            return;
        }
        let (mean, samples) = &mut self.own_pace;
        *samples = samples.saturating_add(1);
        *mean += (ratio.ln() - *mean) * f64::from(*samples).recip().max(OWN_WEIGHT);
    }

    /// Returns how much longer than the usual engine of its pool this one takes, as far as its prompts
    /// show that.
    pub(super) fn own_pace(&self) -> f64 {
        let (mean, samples) = self.own_pace;
        let samples = f64::from(samples);
        (mean * samples / (samples + USUAL_SAMPLES)).exp()
    }

    fn record_pace(&mut self, now: Moment, report: &EngineReport, assumed: f64) {
        let sample = report.took.as_secs_f64() / report.expected.max(PROMPT_OVERHEAD).as_secs_f64();
        let sample = sample.clamp(PACE_RANGE.0, PACE_RANGE.1) * assumed;
        self.pace += (sample - self.pace) * PACE_WEIGHT;
        self.pace = self.pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.sampled_at = now;
    }

    /// Returns the moving average of the pace.
    pub(super) fn measured_pace(&self) -> f64 {
        self.pace
    }

    /// Returns the assumed pace: its own, and more while the engine is much slower than usual.
    pub(super) fn pace(&self, now: Moment, usual: f64) -> f64 {
        self.own_pace() * self.slowdown(now, usual)
    }

    /// Returns by how much the engine is much slower than the usual pace for now; 1 if it is not.
    ///
    /// Prompts that waited tell about the prompts before them, and not about the engine. If small
    /// differences decided, all prompts would go to the few engines that were measured when idle, until
    /// these are overloaded. A slow engine without samples is assumed to recover.
    pub(super) fn slowdown(&self, now: Moment, usual: f64) -> f64 {
        if self.pace <= usual * SLOW_RATIO {
            return 1.0;
        }
        let idle = now.since(self.sampled_at).as_secs_f64();
        let kept = (1.0 - PACE_RECOVERY).powf(idle);
        1.0 + (self.pace / usual - 1.0) * kept
    }
}
