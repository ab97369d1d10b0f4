//! The configuration of a run, and the choice of hosts by the production router or a baseline.

use super::{DECLARED_CONCURRENCY, ENCODER, Policy, Route, Scenario, WRITER};
use limpetmux::core::config::{Config, HostSpec, ServiceSpec, StageKind, StageSpec};
use limpetmux::core::keys::{ArenaKey, HostKey, ServiceKey};
use limpetmux::core::routing::{EntryPlace, Pick, Query, Router, RouterSettings, SlotKey};
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use limpetmux_test_support::config::name;
use limpetmux_test_support::policy::{POOL, pool_config};
use rand::Rng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};

pub(super) const ZONES: [&str; 4] = ["batangas-a", "clark-a", "mnl-a", "mnl-b"];
const ENCODER_SERVICE: &str = "encoder";
const ENCODER_PORT: u16 = 30_000;

/// Returns the configuration of a run.
pub(super) fn config(scenario: &Scenario) -> Config {
    let zones = ZONES.map(|z| (z, scenario.hosts.0));
    let mut config = pool_config(&zones, DECLARED_CONCURRENCY, WRITER.cold_limit);
    if let Some(writer) = config.services.get_mut(&name(POOL)) {
        writer.warmup = WRITER.warmup;
    }
    let writer = &config.services[&name(POOL)];
    let encoder = ServiceSpec {
        kind: StageKind::Encode,
        concurrency: ENCODER.capacity,
        cold: ENCODER.cold_limit,
        warmup: ENCODER.warmup,
        price: writer.price / 10,
        ..writer.clone()
    };
    config.services.insert(name(ENCODER_SERVICE), encoder);
    for (index, zone) in ZONES.iter().cycle().take(scenario.hosts.1 * ZONES.len()).enumerate() {
        let sidecar = SocketAddr::from((Ipv4Addr::LOCALHOST, ENCODER_PORT + index as u16));
        let host =
            HostSpec { zone: name(zone), service: name(ENCODER_SERVICE), sidecar, running: true };
        config.hosts.insert(name(&format!("{ENCODER_SERVICE}-{index:03}")), host);
    }
    let encode = StageSpec { name: name("encode"), service: name(ENCODER_SERVICE), tokens: 0 };
    if let Some(pipeline) = config.pipelines.get_mut(&name("summary")) {
        pipeline.stages.insert(0, encode);
    }
    config
}

/// Chooses hosts for the calls of one entry.
pub(super) struct HostSelector {
    route: Route,
    pub(super) router: Router,
    inflight: Vec<u32>,
    rotation: usize,
}

impl HostSelector {
    pub(super) fn new(policy: Policy, entry: usize, hosts: usize) -> Self {
        let zone = name(ZONES[entry % ZONES.len()]);
        let place = EntryPlace { zone, ordinal: (entry / ZONES.len()) as u32 };
        let router = Router::new(RouterSettings::new(place));
        Self { route: policy.route, router, inflight: vec![0; hosts], rotation: entry }
    }

    /// Chooses a host for a call and counts the call as in flight.
    pub(super) fn pick(
        &mut self,
        now: Moment,
        view: &View,
        query: Query<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Option<Pick> {
        let pick = match self.route {
            Route::Router => self.router.pick(now, view, query, |_| true, rng)?,
            _ => self.pick_baseline(view, query, rng)?,
        };
        self.inflight[pick.host.index()] += 1;
        Some(pick)
    }

    /// Counts the end of a call to a host.
    pub(super) fn record_end(&mut self, host: HostKey) {
        self.inflight[host.index()] -= 1;
    }

    fn pick_baseline(&mut self, view: &View, query: Query<'_>, rng: &mut Pcg64Mcg) -> Option<Pick> {
        let hosts: Vec<HostKey> =
            serving_hosts(view, query.service).filter(|h| !query.exclude.contains(h)).collect();
        self.rotation += 1;
        let host = match self.route {
            Route::RoundRobin => hosts.get(self.rotation % hosts.len().max(1)).copied(),
            Route::LeastInflight => {
                let sort_key = |h: &HostKey| (self.inflight[h.index()], rng.random::<u32>());
                hosts.into_iter().min_by_key(sort_key)
            }
            Route::Random | Route::Router => hosts.into_iter().choose(rng),
        };
        host.map(|host| Pick { host, slot: SlotKey(u32::MAX) })
    }
}

fn serving_hosts(view: &View, service: ServiceKey) -> impl Iterator<Item = HostKey> {
    view.services[service].hosts.iter().copied().filter(|h| view.is_serving(*h))
}
