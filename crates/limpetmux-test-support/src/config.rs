//! Configurations in the shape of the current deployments.

use limpetmux::core::config::{
    Config, Fencing, HostSpec, Name, PipelineSpec, ServiceSpec, StageKind, StageSpec,
    WorkspaceSpec, ZoneSpec,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const FIRST_PORT: u16 = 20_000;
const ZONES: [&str; 4] = ["mnl-a", "mnl-b", "clark-a", "batangas-a"];
const SERVICES: [(&str, StageKind, u32); 9] = [
    ("encode", StageKind::Encode, 4),
    ("retrieve", StageKind::Retrieve, 4),
    ("rerank", StageKind::Rerank, 4),
    ("generate", StageKind::Generate, 12),
    ("provisioning", StageKind::Plain, 4),
    ("directory", StageKind::Plain, 4),
    ("billing", StageKind::Plain, 5),
    ("ticketing", StageKind::Plain, 4),
    ("call-records", StageKind::Plain, 4),
];

/// Parses a name from a literal.
///
/// # Panics
/// Panics if the text is not a valid name.
pub fn name(text: &str) -> Name {
    match Name::new(text) {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    }
}

/// Returns a configuration shaped like ph-luzon: four zones, nine services, five workspaces.
pub fn sample_config() -> Config {
    let mut config = Config::default();
    for zone in ZONES {
        config.zones.insert(name(zone), zone_spec());
    }
    for (service, kind, hosts) in SERVICES {
        config.services.insert(name(service), service_spec(service, kind));
        add_hosts(&mut config, service, hosts);
    }
    add_pipelines(&mut config);
    add_workspaces(&mut config);
    config
}

/// Returns a configuration with one host per service in each of the first two zones.
pub fn small_config() -> Config {
    let mut config = sample_config();
    config.zones.retain(|zone, _| ZONES[..2].contains(&zone.as_str()));
    config.hosts.clear();
    for (service, ..) in SERVICES {
        add_hosts(&mut config, service, 2);
    }
    config
}

/// Returns a small configuration with the services of `call-summary` and a pipeline `port` whose
/// only stage is not idempotent.
pub fn summary_config() -> Config {
    let mut config = small_config();
    let services = ["encode", "retrieve", "rerank", "generate", "provisioning"];
    config.services.retain(|service, _| services.contains(&service.as_str()));
    config.hosts.retain(|_, host| services.contains(&host.service.as_str()));
    config.pipelines.retain(|pipeline, _| pipeline.as_str() == "call-summary");
    let service = name("provisioning");
    let stage = StageSpec { name: service.clone(), service, tokens: 0 };
    let spec = PipelineSpec { stages: vec![stage], deadline: Duration::from_secs(5) };
    config.pipelines.insert(name("port"), spec);
    let pipelines: Vec<Name> = config.pipelines.keys().cloned().collect();
    config.workspaces.values_mut().for_each(|w| w.pipelines.clone_from(&pipelines));
    config
}

fn zone_spec() -> ZoneSpec {
    ZoneSpec { region: name("ph-luzon"), serving: true }
}

fn service_spec(service: &str, kind: StageKind) -> ServiceSpec {
    let is_engine = kind == StageKind::Generate;
    ServiceSpec {
        kind,
        model: is_engine.then(|| name("dispatch-7b")),
        idempotent: service != "provisioning",
        fencing: if service == "provisioning" { Fencing::Checked } else { Fencing::Ignored },
        concurrency: 16,
        cold: 2,
        warmup: Duration::from_millis(500),
        price: if is_engine { 1_000 } else { 100 },
        floor: 1,
    }
}

/// Adds hosts of a service, distributed over the configuration's zones in name order.
fn add_hosts(config: &mut Config, service: &str, count: u32) {
    let zones: Vec<Name> = config.zones.keys().cloned().collect();
    for i in 0..count as usize {
        let port = FIRST_PORT + config.hosts.len() as u16;
        let spec = HostSpec {
            zone: zones[i % zones.len()].clone(),
            service: name(service),
            sidecar: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            running: true,
        };
        config.hosts.insert(name(&format!("{service}-{i}")), spec);
    }
}

fn add_pipelines(config: &mut Config) {
    let summary: &[(&str, u32)] =
        &[("encode", 0), ("retrieve", 0), ("rerank", 0), ("generate", 32)];
    let pipelines: [(&str, &[(&str, u32)]); 5] = [
        ("call-summary", summary),
        ("voicemail", &[("encode", 0), ("generate", 32)]),
        ("extension-lookup", &[("directory", 0)]),
        ("number-port", &[("directory", 0), ("provisioning", 0)]),
        ("billing-question", &[("encode", 0), ("billing", 0), ("generate", 16)]),
    ];
    for (pipeline, stages) in pipelines {
        let stage = |(service, tokens): &(&str, u32)| StageSpec {
            name: name(service),
            service: name(service),
            tokens: *tokens,
        };
        let deadline = Duration::from_secs(5);
        let spec = PipelineSpec { stages: stages.iter().map(stage).collect(), deadline };
        config.pipelines.insert(name(pipeline), spec);
    }
}

fn add_workspaces(config: &mut Config) {
    let weights =
        [("harbor-hotels", 4), ("luzon-clinics", 4), ("exchange", 2), ("retail", 1), ("trial", 1)];
    let pipelines: Vec<Name> = config.pipelines.keys().cloned().collect();
    for (workspace, weight) in weights {
        let (region, pipelines) = (name("ph-luzon"), pipelines.clone());
        let spec = WorkspaceSpec { region, weight, inflight: 256, pipelines };
        config.workspaces.insert(name(workspace), spec);
    }
}
