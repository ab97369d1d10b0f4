//! Decisions on idempotency keys: homes, table bounds, key ages, records and the append rate.

use limpetmux::adapters::log::Stream;
use limpetmux::claims::{self, AppendOptions, ClaimSource};
use limpetmux::core::once::{
    Action, Answer, Declared, DeclaredHost, Guards, HostId, Incarnation, KeyId, KeyStatus, KeyTime,
    KeyedRequest, Node, Outcome, Record, Role, Rules, RunDecision, Time, homes,
};
use limpetmux::core::refusal::{Execution, RefusalCode};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use limpetmux_test_support::{FakeLog, sample_config};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

const HOME: HostId = HostId(1);
const SUCCESSOR: HostId = HostId(2);
const ROLE: Role = Role::Home { successor: Some(SUCCESSOR) };
const START: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time { now: Moment::from_millis(ms), wall: KeyTime(START + ms) }
}

fn node(rules: Rules) -> Node {
    let mut node = Node::new(HOME, Incarnation(1), rules, Guards::default(), at(0));
    node.set_log_reachable(true);
    node.mark_caught_up();
    node
}

fn key(digest: u128, created_ms: u64) -> KeyId {
    KeyId::from_digest(digest, Some(KeyTime(START + created_ms)))
}

fn request(key: KeyId) -> KeyedRequest {
    KeyedRequest { key, body: 7, role: ROLE }
}

fn answer(bytes: usize) -> Outcome {
    Outcome::Answered(Answer { payload: vec![0; bytes].into(), cost: 0 })
}

/// Claims a key and reads the claim back.
fn claim(node: &mut Node, key: KeyId, time: Time) -> Vec<Action> {
    assert_eq!(node.begin(request(key), time), RunDecision::Claim);
    let record = node.claims(8).unwrap();
    node.observe(node.position(), &record, time)
}

#[test]
fn home_and_successor_are_in_different_zones_and_keys_spread_evenly() {
    let config = sample_config();
    let view = View::compile(Revision(1), &config);
    let (workspace, _) = view.workspaces.iter().next().unwrap();
    let (service, row) = view.services.iter().max_by_key(|(_, s)| s.hosts.len()).unwrap();
    let mut counts = BTreeMap::new();

    for digest in 0..4_000 {
        let homes = homes(&view, workspace, service, KeyId::from_digest(digest, None)).unwrap();
        let successor = homes.successor.unwrap();
        assert_ne!(view.hosts[homes.home].zone, view.hosts[successor].zone);
        *counts.entry(homes.home).or_insert(0) += 1;
    }

    let even = 4_000 / row.hosts.len();
    assert_eq!(counts.len(), row.hosts.len());
    assert!(counts.values().all(|n| *n > even / 2 && *n < even * 2), "{counts:?}");
}

#[test]
fn removing_a_host_moves_only_its_own_keys() {
    let mut config = sample_config();
    let before = View::compile(Revision(1), &config);
    let (service, row) = before.services.iter().max_by_key(|(_, s)| s.hosts.len()).unwrap();
    let (workspace, _) = before.workspaces.iter().next().unwrap();
    let removed = before.hosts[row.hosts[0]].name.clone();
    config.hosts.remove(&removed);
    let after = View::compile(Revision(2), &config);

    for digest in 0..1_000 {
        let key = KeyId::from_digest(digest, None);
        let name = |view: &View| {
            let home = homes(view, workspace, service, key).unwrap().home;
            view.hosts[home].name.clone()
        };
        assert!(name(&before) == name(&after) || name(&before) == removed);
    }
}

#[test]
fn answered_key_is_replayed_and_another_body_refused() {
    let mut node = node(Rules::default());
    let key = key(1, 10_000);
    assert_eq!(claim(&mut node, key, at(10_000)), [Action::Run(key)]);
    assert_eq!(node.begin(request(key), at(10_000)), RunDecision::Wait);
    node.finish(key, answer(3));

    let again = node.begin(request(key), at(11_000));
    let other = node.begin(KeyedRequest { body: 8, ..request(key) }, at(11_000));

    assert!(matches!(again, RunDecision::Replay(a) if a.payload.len() == 3));
    assert!(matches!(other, RunDecision::Refuse(r) if r.code == RefusalCode::KeyReused));
}

#[test]
fn key_that_did_not_run_may_run_again_and_an_abandoned_claim_never_runs() {
    let mut node = node(Rules::default());
    let (failed, late) = (key(1, 10_000), key(2, 10_000));
    claim(&mut node, failed, at(10_000));
    node.finish(failed, Outcome::NotRun);
    node.begin(request(late), at(10_000));
    let record = node.claims(8).unwrap();

    assert!(node.abandon(late));

    assert_eq!(node.observe(node.position(), &record, at(10_000)), []);
    assert_eq!(node.look_up(late, ROLE, at(10_000)), KeyStatus::NotRun);
    assert_eq!(claim(&mut node, failed, at(10_000)), [Action::Run(failed)]);
}

#[test]
fn claim_that_another_request_has_taken_over_cannot_be_abandoned() {
    // Guards against a request that waits for its claim until its deadline and is then refused as
    // not run, while another request with its key runs.
    let mut node = node(Rules::default());
    let (running, answered, unknown) = (key(1, 10_000), key(2, 10_000), key(3, 10_000));
    for key in [running, answered, unknown] {
        claim(&mut node, key, at(10_000));
    }
    node.finish(answered, answer(3));
    node.finish(unknown, Outcome::Unknown);

    let abandoned = [running, answered, unknown].map(|key| node.abandon(key));

    assert_eq!(abandoned, [false; 3]);
    assert_eq!(node.look_up(running, ROLE, at(10_000)), KeyStatus::Running);
}

#[test]
fn holder_reports_a_run_with_an_unknown_outcome_while_its_home_lags_behind() {
    // Guards against the look-up of a run that may have taken effect and cannot be told from that of
    // a host that knows nothing, so that the lagging home's "absent" would decide.
    let lagging_home = node(Rules::default());
    let mut holder =
        Node::new(SUCCESSOR, Incarnation(5), Rules::default(), Guards::default(), at(0));
    holder.set_log_reachable(true);
    holder.mark_caught_up();
    let takeover = holder.take_over(HOME, at(10_000).now).unwrap();
    holder.observe(Offset(0), &takeover, at(10_000));
    let (moved, role) = (key(1, 20_000), Role::Successor { home: HOME });
    let begun = holder.begin(KeyedRequest { role, ..request(moved) }, at(20_000));

    holder.finish(moved, Outcome::Unknown);

    assert_eq!(begun, RunDecision::Run);
    assert_eq!(holder.look_up(moved, role, at(20_000)), KeyStatus::MayHaveRun);
    assert_eq!(lagging_home.look_up(moved, ROLE, at(20_000)), KeyStatus::Absent);
}

#[test]
fn keys_outside_the_retention_window_are_refused() {
    let rules = Rules::default();
    let window = u64::try_from(rules.key_retention.as_millis()).unwrap();
    let mut node = node(rules);
    let refused = |begin| match begin {
        RunDecision::Refuse(refusal) => (refusal.code, refusal.execution),
        other => panic!("{other:?}"),
    };

    let before_start = node.begin(request(key(1, 1_000)), at(10_000));
    let future = node.begin(request(key(2, 20_000)), at(10_000));
    let expired = node.begin(request(key(3, 10_000)), at(10_001 + window));
    let untimed = node.begin(request(KeyId::from_digest(4, None)), at(10_000));

    let unvouched = (RefusalCode::Unvouched, Execution::Unknown);
    assert_eq!(refused(before_start), unvouched);
    assert_eq!(refused(future), (RefusalCode::BadRequest, Execution::NotRun));
    assert_eq!(refused(expired), unvouched);
    assert_eq!(refused(untimed), unvouched);
}

#[test]
fn untimed_keys_run_only_on_a_first_process() {
    let untimed = KeyId::from_digest(4, None);
    let earlier = Record::Claims { home: HOME, incarnation: Incarnation(0), keys: Vec::new() };
    let run = |records: &[Record]| {
        let mut node = node(Rules::default());
        node.mark_read_from_start();
        let empty_claim = node.empty_claim();
        for (offset, record) in (0..).zip(records.iter().chain([&empty_claim])) {
            node.observe(Offset(offset), record, at(0));
        }
        node.begin(request(untimed), at(1))
    };

    let (first, second) = (run(&[]), run(&[earlier]));

    assert_eq!(first, RunDecision::Claim);
    assert!(matches!(second, RunDecision::Refuse(r) if r.execution == Execution::Unknown));
}

#[test]
fn key_that_another_host_claimed_first_never_runs() {
    let mut node = node(Rules::default());
    let (begun, later) = (key(1, 10_000), key(2, 10_000));
    node.begin(request(begun), at(10_000));
    let own_claim = node.claims(8).unwrap();

    let refused = node.observe_foreign_claim(begun, at(10_000));
    node.observe_foreign_claim(later, at(10_000));

    assert!(matches!(refused, Some(Action::Refuse(k, _)) if k == begun));
    assert_eq!(node.observe(node.position(), &own_claim, at(10_000)), []);
    let begin = node.begin(request(later), at(10_000));
    assert!(matches!(begin, RunDecision::Refuse(r) if r.execution == Execution::Unknown));
}

#[test]
fn declaration_behind_one_of_a_later_revision_is_void() {
    let host = |name: &str| DeclaredHost { name: name.into(), zone: name.into() };
    let declared = |revision, names: &[&str]| {
        let hosts = names.iter().map(|n| host(n)).collect();
        Arc::new(Declared { group: 1, revision: Revision(revision), hosts })
    };
    let (older, newer) = (declared(1, &["a", "b"]), declared(2, &["a", "b", "c"]));
    let (key, id) = (key(1, 10_000), HostId::of("a"));
    let role_after = |records: &[(u64, &Arc<Declared>)]| {
        let mut node = Node::new(id, Incarnation(1), Rules::default(), Guards::default(), at(0));
        for (offset, (process, declared)) in (0..).zip(records) {
            let (incarnation, declared) = (Incarnation(*process), Arc::clone(declared));
            let record = Record::Declared { host: id, incarnation, declared };
            node.observe(Offset(offset), &record, at(0));
        }
        node.role(key)
    };

    let (first, restarted, regressed) = (
        role_after(&[(1, &older)]),
        role_after(&[(0, &older)]),
        role_after(&[(0, &newer), (1, &older)]),
    );

    assert_eq!(first, older.pair(key).unwrap().role(id));
    assert_eq!((restarted, regressed), (None, None));
}

#[test]
fn table_is_bounded_and_rows_expire_after_the_window() {
    let rules = Rules { max_keys: 2, ..Rules::default() };
    let mut node = node(rules);
    for digest in 0..2 {
        claim(&mut node, key(digest, 10_000), at(10_000));
        node.finish(key(digest, 10_000), answer(100));
    }

    let full = node.begin(request(key(2, 10_000)), at(10_000));
    let end = START + 10_000 + 3_600_000 + 2_000;
    node.sweep(KeyTime(end));
    let kept = node.table().len();
    node.sweep(KeyTime(end + 1));

    assert!(matches!(full, RunDecision::Refuse(r) if r.code == RefusalCode::Overloaded));
    assert_eq!((kept, node.table().len(), node.table().bytes()), (2, 0, 0));
}

#[test]
fn oversize_answer_is_not_kept_and_its_key_never_runs_again() {
    let rules = Rules { max_answer: 10, ..Rules::default() };
    let mut node = node(rules);
    let key = key(1, 10_000);
    claim(&mut node, key, at(10_000));
    node.finish(key, answer(11));

    let again = node.begin(request(key), at(10_000));

    assert!(matches!(again, RunDecision::Refuse(r) if r.execution == Execution::Unknown));
    assert_eq!(node.table().bytes(), 0);
}

#[test]
fn records_survive_encoding_and_claims_are_small() {
    let keys: Vec<KeyId> = (0..100).map(|d| key(d << 64, 5)).collect();
    let untimed = KeyId::from_digest(u128::MAX, None);
    let claims = Record::Claims { home: HOME, incarnation: Incarnation(u64::MAX), keys };
    let one = Record::Claims { home: HOME, incarnation: Incarnation(3), keys: vec![untimed] };
    let takeover = Record::Takeover { home: HOME, by: SUCCESSOR, incarnation: Incarnation(3) };

    let bytes = claims.encode().unwrap();

    for record in [&claims, &one, &takeover] {
        assert_eq!(&Record::decode(&record.encode().unwrap()).unwrap(), record);
    }
    println!("{} bytes for 100 claims, {} for one", bytes.len(), one.encode().unwrap().len());
    assert!(bytes.len() <= 100 * 30 + 100, "{} bytes", bytes.len());
    assert!(Record::decode(br#"{"c9":[]}"#).is_err());
}

/// Runs the committer for ten seconds at 26 keys a second. Returns the numbers of appends and of
/// claimed keys.
async fn appends_in_ten_seconds(log: &FakeLog, options: AppendOptions) -> (usize, usize) {
    let unclaimed = Arc::new(Mutex::new(Vec::new()));
    let (wake, queue) = (Arc::new(Notify::new()), Arc::clone(&unclaimed));
    let next_record = move |max_keys: usize| {
        let mut queue = queue.lock().unwrap();
        let count = queue.len().min(max_keys);
        let keys: Vec<KeyId> = queue.drain(..count).collect();
        (!keys.is_empty()).then_some(Record::Claims {
            home: HOME,
            incarnation: Incarnation(1),
            keys,
        })
    };
    let forward =
        |_| -> futures::future::BoxFuture<'static, bool> { Box::pin(std::future::ready(false)) };
    let source = ClaimSource {
        next_record: Arc::new(next_record),
        pending: Arc::clone(&wake),
        forward: Arc::new(forward),
    };
    let committer = tokio::spawn(claims::run(log.client(), source, options));
    for digest in 0..260 {
        unclaimed.lock().unwrap().push(key(digest, 0));
        wake.notify_one();
        tokio::time::sleep(Duration::from_micros(38_461)).await;
    }
    tokio::time::sleep(options.interval * 2).await;
    committer.abort();
    let records = log.records(Stream::Claims);
    let claimed = |r: &limpetmux::adapters::log::LogRecord| match Record::decode(&r.data) {
        Ok(Record::Claims { keys, .. }) => keys.len(),
        _ => 0,
    };
    (records.len(), records.iter().map(claimed).sum())
}

#[tokio::test(start_paused = true)]
async fn claims_of_a_host_stay_within_the_append_rate() {
    let log = FakeLog::new();
    let options =
        AppendOptions { interval: Duration::from_millis(200), ..AppendOptions::default() };

    let (appends, keys) = appends_in_ten_seconds(&log, options).await;

    assert_eq!(keys, 260);
    assert!(appends <= 53, "{appends} appends in 10 s at one per 200 ms");
}

#[tokio::test(start_paused = true)]
async fn claims_reach_the_log_after_lost_appends_and_answers() {
    let log = FakeLog::new();
    log.drop_appends(2);
    log.drop_responses(1);

    let (_, keys) = appends_in_ten_seconds(&log, AppendOptions::default()).await;

    assert!((260..300).contains(&keys), "{keys} keys");
}
