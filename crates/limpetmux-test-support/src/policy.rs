//! Fixtures for tests of admission, routing, budgets and cost.

use crate::config::name;
use limpetmux::core::admission::{FlowId, Limits, Offer};
use limpetmux::core::config::{
    Config, Fencing, HostSpec, PipelineSpec, ServiceSpec, StageKind, StageSpec, ZoneSpec,
};
use limpetmux::core::revision::Revision;
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The service of [`pool_config`].
pub const POOL: &str = "writer";

/// Returns a moment given in milliseconds.
pub fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Returns a duration given in milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the limits of a backend server with a warm-up of ten seconds.
pub fn limits(concurrency: u32, cold: u32) -> Limits {
    Limits { concurrency, cold_concurrency: cold, warmup: Duration::from_secs(10), max_queued: 64 }
}

/// Returns an offer of one unit of work at weight one and priority zero.
pub fn offer(flow: u64, deadline: Moment) -> Offer {
    Offer { flow: FlowId(flow), weight: 1, priority: 0, work: 1, deadline }
}

/// Returns a configuration of one generation service with a number of hosts in each given zone.
pub fn pool_config(zones: &[(&str, usize)], concurrency: u32, cold: u32) -> Config {
    let mut config = Config::default();
    config.services.insert(name(POOL), pool_service(concurrency, cold));
    for (zone, hosts) in zones {
        let spec = ZoneSpec { region: name("ph-luzon"), serving: true };
        config.zones.insert(name(zone), spec);
        for index in 0..*hosts {
            let host = HostSpec {
                zone: name(zone),
                service: name(POOL),
                sidecar: address(config.hosts.len()),
                running: true,
            };
            config.hosts.insert(name(&format!("{zone}-{index:03}")), host);
        }
    }
    let stage = StageSpec { name: name("write"), service: name(POOL), tokens: 64 };
    let pipeline = PipelineSpec { stages: vec![stage], deadline: Duration::from_secs(5) };
    config.pipelines.insert(name("summary"), pipeline);
    config
}

/// Returns the view of a configuration.
pub fn view(revision: u64, config: &Config) -> View {
    View::compile(Revision(revision), config)
}

fn pool_service(concurrency: u32, cold: u32) -> ServiceSpec {
    ServiceSpec {
        kind: StageKind::Generate,
        model: None,
        idempotent: true,
        fencing: Fencing::Ignored,
        concurrency,
        cold,
        warmup: Duration::from_secs(10),
        price: 1_000_000,
        floor: 0,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).unwrap_or(u16::MAX - 10_000);
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
