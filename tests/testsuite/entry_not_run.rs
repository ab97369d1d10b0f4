//! An entry says "not run" only if the replies of hosts prove it for this very request.

use limpetmux::adapters::channel::Channels;
use limpetmux::core::config::Name;
use limpetmux::core::frames::AttemptKey;
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux::wire::once::once_server::OnceServer;
use limpetmux::wire::stage::frame::Kind;
use limpetmux::wire::stage::stage_server::StageServer;
use limpetmux::wire::{convert, once, stage};
use limpetmux_test_support::FakeOnce;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::lone_entry::{self, FakeStage};
use serde_json::json;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tonic::Status;
use tonic::service::Routes;
use uuid::Uuid;

const WORKSPACE: &str = "exchange";
/// A pipeline whose only stage may run at most once, on one of two hosts.
const PIPELINE: &str = "port";

/// Begins a state that a host reports after a time.
const LATE: &str = "late ";
/// The time after which a host reports such a state, as one on a busy machine does.
const LATE_TIME: Duration = Duration::from_millis(300);

/// The frames that a host answers an attempt with.
type AnswerFn = dyn Fn(AttemptKey) -> Vec<stage::Frame> + Send + Sync;

/// The state of a host that does not answer look-ups.
const SILENT: &str = "silent";

/// Answers a look-up with a given state.
async fn look_up(state: &'static str) -> Result<once::LookUpReply, Status> {
    if state == SILENT {
        return Err(Status::unavailable("the host does not answer"));
    }
    let reported = state.strip_prefix(LATE).unwrap_or(state).to_owned();
    if reported != state {
        sleep(LATE_TIME).await;
    }
    Ok(once::LookUpReply { state: reported, ..once::LookUpReply::default() })
}

/// An entry in front of hosts that answer as given.
struct Fixture {
    caller: Caller,
    arrivals: Arc<AtomicU32>,
    states: Vec<Arc<Mutex<&'static str>>>,
}

impl Fixture {
    async fn start(
        frames: impl Fn(AttemptKey) -> Vec<stage::Frame> + Send + Sync + 'static,
    ) -> Self {
        let frames: Arc<AnswerFn> = Arc::new(frames);
        let mut config = summary_config();
        let arrivals = Arc::<AtomicU32>::default();
        let mut states = Vec::new();
        let is_faked = |service: &Name| ["provisioning", "encode"].contains(&service.as_str());
        for host in config.hosts.values_mut().filter(|h| is_faked(&h.service)) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            host.sidecar = listener.local_addr().unwrap();
            let state = Arc::new(Mutex::new("unknown"));
            if host.service.as_str() == "provisioning" {
                states.push(Arc::clone(&state));
            }
            let (frames, arrivals) = (Arc::clone(&frames), Arc::clone(&arrivals));
            let fake = FakeStage::new(move |key| {
                arrivals.fetch_add(1, Ordering::SeqCst);
                Some(frames(key))
            });
            let routes = Routes::new(StageServer::new(fake));
            let fake = FakeOnce::default()
                .look_up(move || look_up(*state.lock().unwrap_or_else(PoisonError::into_inner)));
            let routes = routes.add_service(OnceServer::new(fake));
            tokio::spawn(async move {
                Channels::plain().serve(routes, listener, std::future::pending()).await
            });
        }
        let caller = lone_entry::start(&config).await;
        Self { caller, arrivals, states }
    }

    /// Sets what the two hosts of the stage that may run once report about any key.
    fn set_states(&self, states: [&'static str; 2]) {
        for (state, set) in self.states.iter().zip(states) {
            *state.lock().unwrap_or_else(PoisonError::into_inner) = set;
        }
    }

    /// Sends a request and returns what its refusal states, and how often it arrived at a host.
    async fn refusal(&self) -> (String, u32) {
        let key = Uuid::now_v7().to_string();
        let body = json!({ "input": 1, "deadline_ms": 3_000 });
        let answer = self.caller.run_once(WORKSPACE, PIPELINE, &key, &body).await;
        let execution = answer.body["execution"].as_str().unwrap_or_default().to_owned();
        (execution, self.arrivals.swap(0, Ordering::SeqCst))
    }
}

fn data(key: AttemptKey, sequence: u64) -> stage::Frame {
    let data = stage::Data { payload: "1".into(), tokens: 0 };
    stage::Frame { id: Some(key.into()), sequence, kind: Some(Kind::Data(data)) }
}

fn not_run(key: AttemptKey, sequence: u64) -> stage::Frame {
    let refused = convert::refused(Refusal::not_run(RefusalCode::Overloaded), None);
    stage::Frame { id: Some(key.into()), sequence, kind: Some(Kind::Refused(refused)) }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_counts_as_not_run_only_as_the_first_frame_of_its_own_attempt() {
    // Guards against a stage that began to answer, or whose first frames are lost, and that counts
    // as not run because of a later refusal or one of another attempt.
    type Frames = fn(AttemptKey) -> Vec<stage::Frame>;
    let rows: [(&str, Frames, &str); 4] = [
        ("own", |key| vec![not_run(key, 0)], "not_run"),
        ("after data", |key| vec![data(key, 0), not_run(key, 1)], "unknown"),
        ("after a gap", |key| vec![not_run(key, 1)], "unknown"),
        ("other attempt", |key| vec![not_run(AttemptKey { attempt: 9, ..key }, 0)], "unknown"),
    ];
    let mut wrong = Vec::new();

    for (case, frames, expected) in rows {
        let refusal = Fixture::start(frames).await.refusal().await;

        if refusal != (expected.to_owned(), 1) {
            wrong.push((case, refusal));
        }
    }

    assert!(wrong.is_empty(), "{wrong:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_unknown_if_either_host_reports_a_run_that_may_have_taken_effect() {
    // Guards against "not_run" or "absent" from a host that lags behind a move of the key, while the
    // other host ran it with an unknown outcome: its caller would run it again under a new key.
    let fixture = Fixture::start(|key| vec![not_run(key, 0)]).await;
    let rows = [
        (["not_run", "may_have_run"], "unknown"),
        (["may_have_run", "absent"], "unknown"),
        (["unknown", "may_have_run"], "unknown"),
        (["answered", "may_have_run"], "answered"),
        (["a later word", "absent"], "unknown"),
        (["a later word", "not_run"], "unknown"),
        (["unknown", "absent"], "absent"),
        (["not_home", "absent"], "absent"),
        (["unknown", "not_run"], "not_run"),
    ];
    let mut wrong = Vec::new();

    for (replies, expected) in rows {
        for order in [[0, 1], [1, 0]] {
            fixture.set_states(order.map(|i| replies[i]));
            let key = Uuid::now_v7().to_string();

            let answer = fixture.caller.outcome(WORKSPACE, PIPELINE, &key).await;

            if answer.body["stages"][0]["state"] != expected {
                wrong.push((replies, answer.body["stages"][0]["state"].to_string()));
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_unknown_if_a_host_that_may_report_a_run_does_not_answer() {
    // Guards against "not_run" or "absent" from a host that lags behind a move of the key, while the
    // host that ran it does not answer: its caller would run it again under a new key.
    let fixture = Fixture::start(|key| vec![not_run(key, 0)]).await;
    let rows = [("absent", "unknown"), ("not_run", "unknown"), ("answered", "answered")];
    let mut wrong = Vec::new();

    for (state, expected) in rows {
        for states in [[state, SILENT], [SILENT, state]] {
            fixture.set_states(states);
            let key = Uuid::now_v7().to_string();

            let answer = fixture.caller.outcome(WORKSPACE, PIPELINE, &key).await;

            if answer.body["stages"][0]["state"] != expected {
                wrong.push((states, answer.body["stages"][0]["state"].to_string()));
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_attempt_keeps_a_later_refusal_from_counting_as_not_run() {
    // Guards against a lost call that is still under way when its host reports that it has not run,
    // so that the refusal of the next attempt would tell its caller that nothing runs.
    let rows = [("absent", 2), ("not_run", 2), ("may_have_run", 1), ("unknown", 1)];
    for (state, arrivals) in rows {
        let fixture = Fixture::start(|key| match key.attempt {
            0 => Vec::new(),
            _ => vec![not_run(key, 0)],
        });
        let fixture = fixture.await;
        fixture.set_states([state, state]);

        let refusal = fixture.refusal().await;

        assert_eq!(refusal, ("unknown".to_owned(), arrivals), "{state}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_attempt_is_not_sent_again_while_either_host_reports_a_run() {
    // Guards against "absent" or "not_run" from a host that lags behind a move of the key, which
    // released it for a second send although the other host reports a run, at once or a bit later.
    let rows = [
        (["may_have_run", "absent"], 1),
        (["may_have_run", "not_run"], 1),
        (["running", "absent"], 1),
        (["a later word", "absent"], 1),
        (["late may_have_run", "absent"], 1),
        (["unknown", "absent"], 2),
        (["not_home", "not_run"], 2),
    ];
    let mut wrong = Vec::new();

    for (states, arrivals) in rows {
        for order in [[0, 1], [1, 0]] {
            let fixture = Fixture::start(|key| match key.attempt {
                0 => Vec::new(),
                _ => vec![not_run(key, 0)],
            });
            let fixture = fixture.await;
            fixture.set_states(order.map(|i| states[i]));

            let refusal = fixture.refusal().await;

            if refusal != ("unknown".to_owned(), arrivals) {
                wrong.push((states, order, refusal));
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_stage_that_may_have_run_keeps_a_later_refusal_from_counting_as_not_run() {
    // Guards against the statement of the last attempt of a stage that hides an earlier one's.
    let fixture = Fixture::start(|key| match key.attempt {
        0 => vec![data(key, 0)],
        _ => vec![not_run(key, 0)],
    });
    let fixture = fixture.await;
    let body = json!({ "input": 1, "deadline_ms": 3_000 });

    let answer = fixture.caller.run(WORKSPACE, "call-summary", &body).await;

    assert_eq!(answer.body["execution"], "partly_run", "{}", answer.body);
    assert_eq!(fixture.arrivals.load(Ordering::SeqCst), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_with_an_unknown_statement_does_not_count_as_not_run() {
    let fixture = Fixture::start(|key| {
        let refused = stage::Refused { execution: "never".into(), ..Default::default() };
        vec![stage::Frame { id: Some(key.into()), sequence: 0, kind: Some(Kind::Refused(refused)) }]
    });

    let refusal = fixture.await.refusal().await;

    assert_eq!(refusal, ("unknown".to_owned(), 1));
}
