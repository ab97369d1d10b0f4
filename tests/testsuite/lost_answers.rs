//! Keyed requests whose connection to a host ends before an answer arrives.

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
async fn successor_that_vouches_for_a_key_runs_it_after_a_lost_connection() {
    let mut fleet = OnceFleet::start().await;
    let fresh_key = || Uuid::now_v7().to_string();
    let key = std::iter::repeat_with(fresh_key).find(|k| fleet.home(k) == 0).unwrap();
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
    assert_eq!(fleet.runs(&key), 1);
    closing.abort();
}

/// Starts a home's process after the one that claimed a key, and lets the holder return its table.
fn regained(key: KeyId, outcome: Outcome) -> Node {
    let (home, holder) = (HostId(1), HostId(2));
    let time = at(10_000);
    let mut node = Node::new(home, Incarnation(2), Rules::default(), Guards::default(), time);
    node.set_log_reachable(true);
    let (claimed, held) = (Incarnation(1), Incarnation(9));
    let row = Row { key, body: None, outcome, expires: KeyTime(u64::MAX) };
    node.receive_return(Handover::new(holder, held, KeyTime(0), false, [row]));
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
fn claim_given_up_before_a_restart_is_accepted_once_the_keys_return() {
    let key = KeyId::from_digest(7, Some(KeyTime(9_000)));
    let role = Role::Home { successor: Some(HostId(2)) };
    let begin =
        |outcome| regained(key, outcome).begin(KeyedRequest { key, body: 7, role }, at(10_000));

    let (given_up, open) = (begin(Outcome::NotRun), begin(Outcome::Unknown));

    assert_eq!(given_up, RunDecision::Claim);
    assert!(matches!(open, RunDecision::Refuse(r) if r.execution == Execution::Unknown));
}

#[test]
fn home_sends_older_keys_on_until_it_has_read_who_holds_them() {
    let (key, role) =
        (KeyId::from_digest(7, Some(KeyTime(9_000))), Role::Home { successor: Some(HostId(2)) });
    let mut node =
        Node::new(HostId(1), Incarnation(2), Rules::default(), Guards::default(), at(10_000));
    let refusal =
        |node: &mut Node| match node.begin(KeyedRequest { key, body: 7, role }, at(10_000)) {
            RunDecision::Refuse(refusal) => refusal.code,
            other => panic!("{other:?}"),
        };

    let unread = refusal(&mut node);
    node.mark_caught_up();
    let read = refusal(&mut node);

    assert_eq!((unread, read), (RefusalCode::NotHome, RefusalCode::Unvouched));
}
