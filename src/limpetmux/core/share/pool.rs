//! Fair share of a pool that takes all work at once, such as model engines.
//!
//! There is no queue to order, so the choice is whom to refuse. Each workspace has a lead: the work that it
//! was given, less its share of what the servers do, which drains it. While every server of the pool is
//! busy for longer than [`FULL_WAIT`], a workspace whose lead is longer than [`MAX_LEAD`] is refused.
//! Nobody is refused while a server has room, so that unused share is lent. While others are refused that
//! are less far ahead, a workspace beyond its lead borrows only up to [`BORROWED_WAIT`]: otherwise the one
//! that asks most often would get what becomes free. See `docs/design/fair-share.md`.

use super::FlowId;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// A pool is full once work waits for longer than this at each of its servers.
const FULL_WAIT: Duration = Duration::from_millis(500);
/// Work is lent only up to this wait while workspaces are refused that are less far ahead.
const BORROWED_WAIT: Duration = Duration::from_millis(250);
/// The time in which a workspace's share does the work by which it may be ahead at a full pool.
const MAX_LEAD: Duration = Duration::from_millis(250);
/// The time in which it does the most work that is counted, so that lent work is forgotten.
const COUNTED_LEAD: Duration = Duration::from_secs(1);
/// How long a workspace has a share after it was last given work, and counts as waiting after a refusal.
const ACTIVE_TIME: Duration = Duration::from_secs(2);
/// The shortest time after which a refused request should be sent again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Lead {
    work: Duration,
    given_at: Moment,
    refused_at: Option<Moment>,
}

/// How far the workspaces are ahead of their shares at one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolShare {
    leads: BTreeMap<FlowId, Lead>,
    drained_at: Moment,
    /// The servers that one workspace's share comes to.
    rate: f64,
}

impl PoolShare {
    /// Decides whether some work of a workspace may go to a pool of `servers`, each of which is busy for
    /// at least `wait`.
    ///
    /// # Errors
    /// Returns the time after which there should be room for the workspace, if it is over its share.
    pub fn check(
        &mut self,
        now: Moment,
        flow: FlowId,
        (servers, wait): (usize, Duration),
    ) -> Result<(), Duration> {
        self.drain(now);
        let others = self.leads.keys().filter(|f| **f != flow).count();
        self.rate = servers as f64 / (others + 1) as f64;
        let lead = self.leads.get(&flow).map_or(Duration::ZERO, |l| l.work);
        let allowed = MAX_LEAD.mul_f64(self.rate);
        let full = if self.others_wait(now, flow, lead) { BORROWED_WAIT } else { FULL_WAIT };
        // Nobody else wants what a workspace alone is given.
        if others == 0 || wait <= full || lead <= allowed {
            return Ok(());
        }
        if let Some(lead) = self.leads.get_mut(&flow) {
            lead.refused_at = Some(now);
        }
        let until_share = (lead - allowed).div_f64(self.rate.max(f64::EPSILON));
        Err(until_share.min(wait - full).max(MIN_RETRY_DELAY))
    }

    /// Returns whether a workspace that is less far ahead than `lead` was refused recently.
    fn others_wait(&self, now: Moment, flow: FlowId, lead: Duration) -> bool {
        let is_recent = |at: Moment| now.since(at) < ACTIVE_TIME;
        let waits = |l: &Lead| l.work < lead && l.refused_at.is_some_and(is_recent);
        self.leads.iter().any(|(f, l)| *f != flow && waits(l))
    }

    /// Counts work of a workspace that is given to the pool, after [`check`](Self::check).
    pub fn add(&mut self, now: Moment, flow: FlowId, work: Duration) {
        let counted = COUNTED_LEAD.mul_f64(self.rate);
        let new = Lead { work: Duration::ZERO, given_at: now, refused_at: None };
        let lead = self.leads.entry(flow).or_insert(new);
        lead.work = (lead.work + work).min(counted.max(work));
        lead.given_at = now;
    }

    fn drain(&mut self, now: Moment) {
        let done = now.since(self.drained_at).min(ACTIVE_TIME).mul_f64(self.rate);
        self.drained_at = now;
        for lead in self.leads.values_mut() {
            lead.work = lead.work.saturating_sub(done);
        }
        self.leads.retain(|_, l| now.since(l.given_at) < ACTIVE_TIME || !l.work.is_zero());
    }
}
