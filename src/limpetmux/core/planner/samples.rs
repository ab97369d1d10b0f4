//! Chooses the hosts to ask for their load, and estimates each pool's load from the answers.
//!
//! The holder of the lease asks a bounded number of hosts a round, so its traffic does not grow
//! with the fleet. A round asks one host of each service before any second host, as far as the
//! bound allows, and the hosts asked longest ago first. The load of a pool is the mean of its
//! recent answers times its awake hosts, which holds because routing keeps the hosts of a pool
//! evenly loaded.

use super::LoadSample;
use crate::core::config::Name;
use crate::core::keys::HostKey;
use crate::core::time::Moment;
use crate::core::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of hosts asked in one round.
pub const PROBES_PER_ROUND: usize = 24;

/// The latest answer of one host; `load` is `None` if it gave none.
#[derive(Clone, Copy, Debug)]
struct Row {
    at: Moment,
    load: Option<LoadSample>,
}

/// The latest answers of the awake hosts.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    rows: BTreeMap<Name, Row>,
}

impl Samples {
    /// Chooses the hosts to ask next among those that are awake.
    pub fn choose(&self, view: &View, awake: &BTreeSet<HostKey>) -> Vec<HostKey> {
        let asked_at = |host: &HostKey| self.rows.get(&view.hosts[*host].name).map(|row| row.at);
        let mut by_age: Vec<HostKey> = awake.iter().copied().collect();
        by_age.sort_by_key(asked_at);
        let mut services = BTreeSet::new();
        let (mut chosen, rest): (Vec<HostKey>, Vec<HostKey>) =
            by_age.into_iter().partition(|host| services.insert(view.hosts[*host].service));
        chosen.extend(rest);
        chosen.truncate(PROBES_PER_ROUND);
        chosen
    }

    /// Records the answers of a round; `None` marks a host that gave none.
    ///
    /// Hosts that are not awake are removed, so that they are asked first once they wake.
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
    /// Only answers within the window count, or the newest one if there are none. `None` means that
    /// no host has answered.
    pub fn calls(
        &self,
        now: Moment,
        view: &View,
        pool: &[HostKey],
        window: Duration,
    ) -> Option<f64> {
        let rows = pool.iter().filter_map(|host| self.rows.get(&view.hosts[*host].name));
        let unanswered = rows.clone().filter(|row| row.load.is_none()).count();
        let answered: Vec<(Moment, LoadSample)> =
            rows.filter_map(|row| Some((row.at, row.load?))).collect();
        let newest = answered.iter().map(|(at, _)| *at).max()?;
        let recent = answered.iter().filter(|(at, _)| now.since(*at) <= window || *at == newest);
        let calls: Vec<f64> = recent.map(|(_, l)| f64::from(l.inflight + l.queued)).collect();
        let mean = calls.iter().sum::<f64>() / calls.len() as f64;
        Some(mean * (pool.len() - unanswered) as f64)
    }
}
