//! Requests that arrive while the hosts of a stage start.

use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{Config, PipelineSpec, StageSpec};
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::kernel::Publisher;
use limpetmux::node::serve_sidecar;
use limpetmux::sidecar::{Sidecar, SidecarOptions};
use limpetmux::util::metrics::Metrics;
use limpetmux_standins::{BackendOptions, Pool, PoolKind};
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::lone_entry;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;

const WORKSPACE: &str = "exchange";

/// Returns a configuration with two encoders and a pipeline of one stage.
fn config() -> Config {
    let mut config = summary_config();
    let service = name("encode");
    config.services.retain(|name, _| *name == service);
    config.hosts.retain(|_, host| host.service == service);
    let stage = StageSpec { name: service.clone(), service, tokens: 0 };
    let spec = PipelineSpec { stages: vec![stage], deadline: Duration::from_secs(20) };
    config.pipelines = [(name("embed"), spec)].into();
    config.workspaces.values_mut().for_each(|w| w.pipelines = vec![name("embed")]);
    config
}

/// A deployment in which the sidecars get their configuration separately from the entry.
struct Nodes {
    config: Config,
    sidecar_views: Publisher<View>,
    caller: Caller,
}

async fn start() -> Nodes {
    let mut config = config();
    let sidecar_views = Publisher::new(View::default());
    for (host, spec) in &mut config.hosts {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        spec.sidecar = listener.local_addr().unwrap();
        let pool = Pool::start(PoolKind::Encode, BackendOptions::default()).await.unwrap();
        let sidecar = Sidecar::start(SidecarOptions {
            host: host.clone(),
            view: sidecar_views.reader(),
            backend: Backend::http(OneCallClient::new().unwrap(), &pool.url()),
            once: None,
            metrics: Metrics::none(),
        });
        tokio::spawn(async move {
            let _pool = pool;
            serve_sidecar(sidecar, listener, std::future::pending()).await
        });
    }
    let caller = lone_entry::start(&config).await;
    Nodes { config, sidecar_views, caller }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_waits_for_hosts_that_get_their_configuration() {
    let nodes = start().await;
    let body = json!({ "input": "page the doctor" });

    let (answer, ()) = tokio::join!(nodes.caller.run(WORKSPACE, "embed", &body), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        nodes.sidecar_views.publish(View::compile(Revision(1), &nodes.config));
    });

    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_that_stay_without_configuration_are_not_waited_for_to_the_deadline() {
    let nodes = start().await;
    let body = json!({ "input": "page the doctor", "deadline_ms": 300_000 });

    let answer = nodes.caller.run(WORKSPACE, "embed", &body).await;

    assert_eq!((answer.status, &answer.body["execution"]), (503, &json!("not_run")));
}
