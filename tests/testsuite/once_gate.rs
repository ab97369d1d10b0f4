//! The gate of a home whose successor answers as given.

use futures::poll;
use limpetmux::adapters::channel::Channels;
use limpetmux::claims::AppendOptions;
use limpetmux::core::config::Name;
use limpetmux::core::once::{KeyId, Outcome, Rules, homes};
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::kernel::Publisher;
use limpetmux::sidecar::once::{Decision, OnceGate, OnceOptions, ScopedKey};
use limpetmux::wire::once;
use limpetmux::wire::once::once_server::OnceServer;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::{FakeLog, FakeOnce};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use tonic::Status;
use tonic::service::Routes;
use uuid::Uuid;

const WORKSPACE: &str = "exchange";
const PIPELINE: &str = "port";
const BODY: u64 = 7;
/// Keys that are older than the start of a home by more than this are not run.
const CLOCK_MARGIN: Duration = Duration::from_millis(5);
/// Longer than any step of these tests takes.
const LONG: Duration = Duration::from_secs(10);

/// Returns a successor that refuses the first table, or does not answer it, and accepts each further
/// one, and the number of tables that it has received.
fn successor(refuses: bool) -> (FakeOnce, Arc<AtomicU32>) {
    let tables = Arc::<AtomicU32>::default();
    let received = Arc::clone(&tables);
    let successor = FakeOnce::default().hand_over(move || {
        let is_first = received.fetch_add(1, Ordering::SeqCst) == 0;
        if is_first && !refuses {
            return Err(Status::unavailable("the reply is lost"));
        }
        Ok(once::HandOverReply { accepted: !is_first })
    });
    (successor, tables)
}

/// A home in front of such a successor.
struct Home {
    gate: Arc<OnceGate>,
    view: Publisher<View>,
    name: Name,
    log: FakeLog,
    draining: Arc<AtomicBool>,
    tables: Arc<AtomicU32>,
}

impl Home {
    /// Starts a home and waits until it runs keys.
    async fn start(refuses: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (successor, tables) = successor(refuses);
        let mut config = summary_config();
        let hosts = config.hosts.iter_mut().filter(|(_, h)| h.service.as_str() == "provisioning");
        let [(name, _), (_, other)] = <[_; 2]>::try_from(hosts.collect::<Vec<_>>()).unwrap();
        let name = name.clone();
        other.sidecar = listener.local_addr().unwrap();
        let view = Publisher::new(View::compile(Revision(1), &config));
        let (log, draining) = (FakeLog::new(), Arc::default());
        let gate = OnceGate::start(OnceOptions {
            host: name.clone(),
            view: view.reader(),
            log: log.client(),
            channels: Channels::plain(),
            rules: Rules { clock_margin: CLOCK_MARGIN, ..Rules::default() },
            append_options: AppendOptions::default(),
            draining: Arc::clone(&draining),
        });
        let routes = Routes::new(OnceServer::new(successor));
        tokio::spawn(async move {
            Channels::plain().serve(routes, listener, std::future::pending()).await
        });
        let home = Self { gate, view, name, log, draining, tables };
        sleep(2 * CLOCK_MARGIN).await;
        let newer_than_the_start = home.key();
        home.run(&newer_than_the_start).await;
        home
    }

    /// Returns a new key of which this host is the home.
    fn key(&self) -> String {
        let view = self.view.load();
        let (workspace, service) =
            (view.workspace(WORKSPACE).unwrap(), view.host(self.name.as_str()).unwrap());
        let service = view.hosts[service].service;
        let is_own = |key: &String| {
            let id = KeyId::new(WORKSPACE, PIPELINE, 0, key);
            let home = homes(&view, workspace, service, id).unwrap().home;
            view.hosts[home].name == self.name
        };
        std::iter::repeat_with(|| Uuid::now_v7().to_string()).find(is_own).unwrap()
    }

    fn scoped<'a>(&self, key: &'a str) -> ScopedKey<'a> {
        ScopedKey { workspace: WORKSPACE, pipeline: PIPELINE, stage: 0, key }
    }

    fn decide<'a>(
        &'a self,
        key: &'a str,
        time: Duration,
    ) -> impl Future<Output = Decision> + use<'a> {
        self.gate.decide(self.scoped(key), BODY, Instant::now() + time)
    }

    /// Sends requests with a key until the gate runs one.
    async fn run(&self, key: &str) {
        let run = async {
            while !matches!(self.decide(key, LONG).await, Decision::Run(_)) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, run).await.unwrap();
    }

    /// Takes the home out of service until it has sent a table, and back.
    async fn leave_and_return(&self) {
        self.draining.store(true, Ordering::Release);
        self.wait_for_tables(1).await;
        self.draining.store(false, Ordering::Release);
    }

    async fn wait_for_tables(&self, count: u32) {
        let sent = async {
            while self.tables.load(Ordering::SeqCst) < count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(LONG, sent).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claim_that_another_request_runs_by_its_deadline_is_not_refused_as_not_run() {
    // Guards against a request that waits for its claim until its deadline and is refused as not run,
    // although another request with its key claimed the key again meanwhile and runs it.
    let home = Home::start(true).await;
    let key = home.key();
    home.log.hold_appends(true);
    let mut late = pin!(home.decide(&key, Duration::from_secs(1)));
    assert!(poll!(&mut late).is_pending());
    home.leave_and_return().await;
    home.log.hold_appends(false);
    home.run(&key).await;

    sleep(Duration::from_secs(1)).await;
    let refused = late.await;

    assert_eq!(refused, Decision::Refuse(Refusal::unknown(RefusalCode::Deadline)));
    home.gate.finish(home.scoped(&key).id(), Outcome::Unknown);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn home_that_is_back_sends_its_table_again_until_the_successor_has_it() {
    // Guards against keys that no host runs: the reply to the only table was lost, the home is in
    // service again, and the successor, which may not have the table, never takes over.
    let home = Home::start(false).await;

    home.leave_and_return().await;

    home.wait_for_tables(2).await;
}
