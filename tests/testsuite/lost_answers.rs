//! Requests with idempotency keys whose connection to a host ends before an answer arrives.

use limpetmux::core::once::{
    Guards, Handover, HostId, Incarnation, KeyId, KeyTime, KeyedRequest, Node, Outcome, Record,
    Role, Row, Rules, RunDecision, Time,
};
use limpetmux::core::refusal::{Execution, RefusalCode};
use limpetmux::core::revision::Offset;
use limpetmux::core::time::Moment;
use limpetmux_test_support::once_fleet::{OnceFleet, PIPELINE, WORKSPACE};
use serde_json::json;
use tokio::net::TcpListener;
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_that_knows_the_outcome_of_a_key_runs_it_after_a_lost_connection() {
    let mut fleet = OnceFleet::start().await;
    let fresh_key = || Uuid::now_v7().to_string();
    let key = std::iter::repeat_with(fresh_key).find(|k| fleet.home_index(k) == 0).unwrap();
    let addr = fleet.hosts[0].addr;
    fleet.drain(0).await;
    let listener = loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let closing = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let key_body = json!({ "input": { "key": key } });

    let answer = fleet.callers[0].run_once(WORKSPACE, PIPELINE, &key, &key_body).await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(fleet.run_count(&key), 1);
    closing.abort();
}

/// Returns the restarted home of a key that its previous process claimed. The successor took the
/// key over and has returned it with the given outcome.
fn restarted_home(key: KeyId, outcome: Outcome) -> Node {
    let (home, holder) = (HostId(1), HostId(2));
    let time = at(10_000);
    let mut node = Node::new(home, Incarnation(2), Rules::default(), Guards::default(), time);
    node.set_log_reachable(true);
    let (claimed, held) = (Incarnation(1), Incarnation(9));
    let row = Row { key, body: None, outcome, expires: KeyTime(u64::MAX) };
    node.receive_return(Handover::new(holder, held, KeyTime(0), false, Offset(0), [row]));
    let records = [
        Record::Claims { home, incarnation: claimed, keys: vec![key] },
        Record::Takeover { home, by: holder, incarnation: held },
        Record::Return { home, by: holder, incarnation: held },
    ];
    for (offset, record) in (0..).zip(&records) {
        node.observe(Offset(offset), record, time);
    }
    node.mark_caught_up();
    node
}

fn at(ms: u64) -> Time {
    Time { now: Moment::from_millis(ms), wall: KeyTime(ms) }
}

#[test]
fn unrun_claim_from_before_a_restart_is_accepted_once_the_keys_return() {
    let key = KeyId::from_digest(7, Some(KeyTime(9_000)));
    let role = Role::Home { successor: Some(HostId(2)) };
    let begin = |outcome| {
        restarted_home(key, outcome).begin(KeyedRequest { key, body: 7, role }, at(10_000))
    };

    let (not_run, unknown) = (begin(Outcome::NotRun), begin(Outcome::Unknown));

    assert_eq!(not_run, RunDecision::Claim);
    assert!(matches!(unknown, RunDecision::Refuse(r) if r.execution == Execution::Unknown));
}

#[test]
fn home_redirects_older_keys_until_it_has_caught_up_with_the_log() {
    let (key, role) =
        (KeyId::from_digest(7, Some(KeyTime(9_000))), Role::Home { successor: Some(HostId(2)) });
    let mut node =
        Node::new(HostId(1), Incarnation(2), Rules::default(), Guards::default(), at(10_000));
    let refusal =
        |node: &mut Node| match node.begin(KeyedRequest { key, body: 7, role }, at(10_000)) {
            RunDecision::Refuse(refusal) => refusal.code,
            other => panic!("{other:?}"),
        };

    let before = refusal(&mut node);
    node.mark_caught_up();
    let after = refusal(&mut node);

    assert_eq!((before, after), (RefusalCode::NotHome, RefusalCode::Unvouched));
}
