//! Which hosts to ask for their load next, and what the answers say about each pool.
//!
//! The holder of the lease asks a bounded number of hosts a round, so its traffic does not grow with
//! the fleet. Each service has a turn in every round as far as the bound allows; within that, the
//! host whose answer is oldest is next. The load of a pool is the mean of its recent answers times
//! its awake hosts, which holds because routing keeps the hosts of a pool evenly loaded.

use super::LoadSample;
use crate::core::config::Name;
use crate::core::keys::HostKey;
use crate::core::time::Moment;
use crate::core::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The hosts that are asked in one round, at most.
pub const PROBES_PER_ROUND: usize = 24;

/// The answer of one host, or its silence.
#[derive(Clone, Copy, Debug)]
struct Row {
    at: Moment,
    load: Option<LoadSample>,
}

/// The latest answer of each awake host.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    rows: BTreeMap<Name, Row>,
}

impl Samples {
    /// Chooses the hosts to ask next among those that are awake.
    pub fn choose(&self, view: &View, awake: &BTreeSet<HostKey>) -> Vec<HostKey> {
        let asked = |host: &HostKey| self.rows.get(&view.hosts[*host].name).map(|row| row.at);
        let mut oldest: Vec<HostKey> = awake.iter().copied().collect();
        oldest.sort_by_key(asked);
        let mut turns = BTreeSet::new();
        let (mut chosen, rest): (Vec<HostKey>, Vec<HostKey>) =
            oldest.into_iter().partition(|host| turns.insert(view.hosts[*host].service));
        chosen.extend(rest);
        chosen.truncate(PROBES_PER_ROUND);
        chosen
    }

    /// Takes in the answers of a round; `None` stands for a host that gave none.
    ///
    /// Hosts that are not awake are forgotten, so that they are asked first once they wake.
    pub fn record(
        &mut self,
        now: Moment,
        view: &View,
        awake: &BTreeSet<HostKey>,
        answers: &BTreeMap<HostKey, Option<LoadSample>>,
    ) {
        self.rows.retain(|name, _| view.host(name.as_str()).is_some_and(|h| awake.contains(&h)));
        for (host, load) in answers.iter().filter(|(host, _)| awake.contains(host)) {
            self.rows.insert(view.hosts[*host].name.clone(), Row { at: now, load: *load });
        }
    }

    /// Estimates the calls that run or wait on the awake hosts of one pool.
    ///
    /// Answers within the window count; without any, the newest one does. `None` means that no host
    /// has answered.
    pub fn calls(
        &self,
        now: Moment,
        view: &View,
        pool: &[HostKey],
        window: Duration,
    ) -> Option<f64> {
        let rows = pool.iter().filter_map(|host| self.rows.get(&view.hosts[*host].name));
        let silent = rows.clone().filter(|row| row.load.is_none()).count();
        let known: Vec<(Moment, LoadSample)> =
            rows.filter_map(|row| Some((row.at, row.load?))).collect();
        let newest = known.iter().map(|(at, _)| *at).max()?;
        let recent = known.iter().filter(|(at, _)| now.since(*at) <= window || *at == newest);
        let calls: Vec<f64> = recent.map(|(_, l)| f64::from(l.inflight + l.queued)).collect();
        let mean = calls.iter().sum::<f64>() / calls.len() as f64;
        Some(mean * (pool.len() - silent) as f64)
    }
}
