//! The admin interface of processes and the operator commands that use it.

use expect_test::expect;
use futures::FutureExt;
use limpetmux::adapters::channel::Channels;
use limpetmux::admin::{AdminService, report};
use limpetmux::core::config::record::Activation;
use limpetmux::core::config::{FORMAT, Rejection};
use limpetmux::core::shutdown::ShutdownOptions;
use limpetmux::kernel::Kernel;
use limpetmux::node::deployment::Deployment::PhLuzon;
use limpetmux::node::local::{Local, LocalOptions, StandIn};
use limpetmux::ops;
use limpetmux::ops::activate::{ActivateError, UnreadyNode};
use limpetmux::ops::config_client::{ConfigClient, Outcome};
use limpetmux::shutdown::{ShutdownHooks, register};
use limpetmux::wire::admin::{Attainment, BackendRow, HostRow, StageRow, StatusReply, ZoneRow};
use limpetmux_test_support::changes::change_id;
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::{FakeLog, name};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// Serves the admin interface of a process that runs `running` requests.
async fn serve(
    running: Arc<AtomicU32>,
    reply: StatusReply,
) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let kernel = Kernel::new();
    let noop = || ();
    let hooks = ShutdownHooks {
        unready: Arc::new(noop),
        refuse: Arc::new(noop),
        answer: Arc::new(noop),
        running: Arc::new(move || running.load(Ordering::SeqCst)),
        flush: Arc::new(|| async { true }.boxed()),
    };
    let (service, port) = register(&kernel, ShutdownOptions::SIDECAR, hooks).unwrap();
    let admin = AdminService::server(port, Arc::new(move || reply.clone()));
    let incoming = TcpIncoming::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let addr = incoming.local_addr().unwrap();
    let process = tokio::spawn(async move {
        let _kernel = kernel;
        let ended = service.run(std::future::pending()).map(drop);
        let server = Server::builder().add_service(admin);
        server.serve_with_incoming_shutdown(incoming, ended).await.unwrap();
    });
    (addr, process)
}

fn sidecar_reply() -> StatusReply {
    StatusReply {
        node: "generate-0".to_owned(),
        role: "sidecar".to_owned(),
        zone: "mnl-a".to_owned(),
        revision: 7,
        running: 3,
        backend: Some(BackendRow { inflight: 3, queued: 2, limit: 2, cold: true, incarnation: 9 }),
        ..StatusReply::default()
    }
}

fn entry_reply() -> StatusReply {
    let host = HostRow {
        host: "generate-0".to_owned(),
        zone: "mnl-a".to_owned(),
        service: "generate".to_owned(),
        state: "leaving".to_owned(),
        cause: "drained".to_owned(),
        since_ms: 4_200,
        ..HostRow::default()
    };
    let zone = ZoneRow {
        zone: "mnl-a".to_owned(),
        region: "ph-luzon".to_owned(),
        serving: true,
        hosts: 1,
        usable: 0,
    };
    let stage = StageRow {
        pipeline: "call-summary".to_owned(),
        stage: "generate".to_owned(),
        attempts: 12,
        busy_us: 3_400_000,
        cost: 3_400,
        late: 1,
    };
    StatusReply {
        node: "entry-0".to_owned(),
        role: "entry".to_owned(),
        zone: "mnl-b".to_owned(),
        revision: 9,
        newest: 9,
        phase: "running".to_owned(),
        hosts: vec![host],
        zones: vec![zone],
        stages: vec![stage],
        attainment: Some(Attainment { attained: 11, late: 1, refused: 0 }),
        ..StatusReply::default()
    }
}

#[tokio::test]
async fn drain_waits_for_the_last_request_and_ends_the_process() {
    let running = Arc::new(AtomicU32::new(1));
    let (addr, process) = serve(Arc::clone(&running), sidecar_reply()).await;

    let drain =
        tokio::spawn(async move { ops::drain::drain(&Channels::plain(), addr, None).await });
    while ops::status::status(&Channels::plain(), &[addr]).await.nodes[0].phase != "draining" {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let was_waiting = !drain.is_finished();
    running.store(0, Ordering::SeqCst);
    let report = drain.await.unwrap().unwrap();
    process.await.unwrap();

    assert!(was_waiting && report.is_clean(), "{report:?}");
}

#[tokio::test]
async fn status_lists_a_process_that_does_not_answer() {
    let (addr, process) = serve(Arc::default(), sidecar_reply()).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();

    let fleet = ops::status::status(&Channels::plain(), &[addr, closed]).await;

    let mut roles: Vec<&str> = fleet.nodes.iter().map(|n| n.role.as_str()).collect();
    roles.sort_unstable();
    assert_eq!(roles, ["sidecar", "unreachable"]);
    let known = |unreachable: bool| {
        fleet.nodes.iter().find(|n| n.is_unreachable() == unreachable).unwrap().format
    };
    assert_eq!((known(false), known(true)), (FORMAT, 0));
    process.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_past_its_deadline_is_late_in_the_stage_that_ran() {
    let local = Local::start(LocalOptions { deployment: PhLuzon, port: 0 }).await.unwrap();
    let caller = Caller::new(&local.url());
    let engines = || {
        local.hosts.iter().filter_map(|h| match &h.standin {
            StandIn::Engine(engine) => Some(&engine.backend),
            _ => None,
        })
    };
    engines().for_each(|backend| backend.set_stalled(true));
    // The stages before the one that stalls end long before the deadline, on a busy machine too.
    let body = json!({ "input": "x", "deadline_ms": 4_000 });

    let late = caller.run("hotels", "voicemail", &body).await.status;
    engines().for_each(|backend| backend.set_stalled(false));
    local.entry.set_draining(true);
    let refused = caller.run("hotels", "voicemail", &body).await.status;

    assert_eq!((late, refused), (504, 503));
    let counters = local.entry.counters();
    let counts = [&counters.answered, &counters.late, &counters.refused];
    assert_eq!(counts.map(|c| c.load(Ordering::SeqCst)), [0, 1, 1]);
    let rows = local.entry.with_ledger(report::stage_rows);
    let late: Vec<_> = rows.iter().filter(|r| r.late > 0).map(|r| (&*r.stage, r.late)).collect();
    assert_eq!(late, [("generate", 1)]);
    local.stop().await;
}

#[test]
fn format_is_activated_only_when_every_process_knows_it() {
    let addr = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let fleet = |formats: &[Option<u32>]| {
        let reply = |format: u32| StatusReply { format, ..sidecar_reply() };
        let answers: Vec<_> = (1..).map(addr).zip(formats.iter().map(|f| f.map(reply))).collect();
        ops::status::combine(&answers)
    };
    let check = |format, formats: &[Option<u32>], allow_silent| {
        ops::activate::check(format, (2, 3), &fleet(formats), allow_silent)
    };
    let not_ready = |node| Err(ActivateError::NotReady { format: 3, nodes: vec![node] });
    let old = UnreadyNode::Old { node: "generate-0".to_owned(), known: 2 };

    assert_eq!(check(3, &[Some(3), Some(4)], false), Ok(()));
    assert_eq!(check(4, &[Some(4)], false), Err(ActivateError::Unknown { format: 4, known: 3 }));
    assert_eq!(
        check(2, &[Some(3)], false),
        Err(ActivateError::AlreadyActive { format: 2, active: 2 })
    );
    assert_eq!(check(3, &[], true), Err(ActivateError::NoAnswers));
    assert_eq!(check(3, &[Some(3), Some(2)], true), not_ready(old));
    let no_answer = UnreadyNode::NoAnswer { address: addr(2) };
    assert_eq!(check(3, &[Some(3), None], false), not_ready(no_answer));
    assert_eq!(check(3, &[Some(3), None], true), Ok(()));
}

#[tokio::test]
async fn activation_is_read_back_and_accepted_once() {
    let log = FakeLog::new();
    let mut client = ConfigClient::connect(log.client()).await.unwrap();
    let activation = |number: u128| Activation {
        id: change_id(number),
        format: 2,
        author: name("ana"),
        submitted_ms: 0,
    };

    let first = client.activate(activation(1)).await.unwrap();
    let second = client.activate(activation(2)).await.unwrap();

    assert!(matches!(first, Outcome::Accepted { .. }), "{first}");
    assert!(matches!(second, Outcome::Rejected { reason: Rejection::Empty, .. }), "{second}");
    assert_eq!(client.fold().format(), 2);
}

#[test]
fn status_table_shows_lag_cold_and_draining() {
    let addr = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let answers =
        [(addr(1), Some(entry_reply())), (addr(2), Some(sidecar_reply())), (addr(3), None)];

    let text = ops::status::table(&ops::status::combine(&answers));

    expect![[r#"
        ZONE   REGION    SERVING  USABLE
        mnl-a  ph-luzon  in       0/1

        HOST        ZONE   SERVICE   STATE    CAUSE    SINCE
        generate-0  mnl-a  generate  leaving  drained  4s

        NODE        ROLE         ADDRESS      PHASE    REVISION  LAG  RUNNING  QUEUED  LIMIT  COLD
        entry-0     entry        127.0.0.1:1  running  r9        0    0        0       0      false
        generate-0  sidecar      127.0.0.1:2           r7        2    3        2       2      true
                    unreachable  127.0.0.1:3           r0        -    0        0       0      false

        PIPELINE      STAGE     ATTEMPTS  LATE  BUSY_MS  COST
        call-summary  generate  12        1     3400     3400

        ATTAINED  LATE  REFUSED
        11        1     0

    "#]]
    .assert_eq(&text);
}
