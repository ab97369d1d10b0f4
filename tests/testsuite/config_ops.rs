//! A change counts as accepted once it is read back, even if the log's answer was lost.

use expect_test::expect_file;
use futures::FutureExt;
use limpetmux::adapters::log::{LogError, Stream};
use limpetmux::core::config::{Config, Ownership, Rejection, Replica, WINDOW_RECORDS};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::ops::audit::{AuditFilter, entries, table};
use limpetmux::ops::config::{Plan, PlanError, Submission};
use limpetmux::ops::config_client::{ClientError, ConfigClient, Outcome};
use limpetmux_test_support::changes::{
    change, change_id, change_record, first_change, weight_edit,
};
use limpetmux_test_support::{FakeLog, name, small_config};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn declared() -> FakeLog {
    let log = FakeLog::new();
    log.push(Stream::Config, change_record(first_change(&small_config())));
    log
}

async fn connect(log: &FakeLog) -> ConfigClient {
    ConfigClient::connect(log.client()).await.unwrap()
}

fn submission(number: u128) -> Submission {
    Submission {
        id: change_id(number),
        author: name("ana"),
        reason: "more for trial".to_owned(),
        submitted_ms: 0,
        force: false,
    }
}

fn heavier_config() -> Config {
    let mut config = small_config();
    config.workspaces.get_mut("trial").unwrap().weight = 9;
    config
}

async fn apply(client: &mut ConfigClient, number: u128, target: &Config) -> Outcome {
    let plan = Plan::new(client.fold(), target, Ownership::InForce);
    plan.apply(client, submission(number)).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn reports_offset_of_change_that_was_read_back() {
    let log = declared();
    let mut client = connect(&log).await;

    let outcome = apply(&mut client, 1, &heavier_config()).await;

    assert!(matches!(outcome, Outcome::Accepted { offset: Offset(1), .. }), "{outcome}");
    assert_eq!(client.fold().config().workspaces["trial"].weight, 9);
}

#[tokio::test(start_paused = true)]
async fn finds_change_whose_answer_was_lost() {
    let log = declared();
    let mut client = connect(&log).await;
    log.drop_responses(1);

    let outcome = apply(&mut client, 1, &heavier_config()).await;

    assert!(matches!(outcome, Outcome::Accepted { offset: Offset(1), .. }), "{outcome}");
    assert_eq!(log.records(Stream::Config).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn retries_lost_append() {
    let log = declared();
    let mut client = connect(&log).await;
    log.drop_appends(2);

    let outcome = apply(&mut client, 1, &heavier_config()).await;

    assert!(matches!(outcome, Outcome::Accepted { offset: Offset(1), .. }), "{outcome}");
}

#[tokio::test(start_paused = true)]
async fn appends_nothing_while_log_is_down() {
    let log = declared();
    let mut client = connect(&log).await;
    log.set_down(true);

    let outcome = apply(&mut client, 1, &heavier_config()).await;

    assert!(
        matches!(
            outcome,
            Outcome::NotAppended { error: LogError::Refused { status: 503, .. }, .. }
        ),
        "{outcome}"
    );
    assert_eq!(log.records(Stream::Config).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn settling_voids_change_of_unknown_outcome() {
    let log = declared();
    let mut client = connect(&log).await;
    log.hold_appends(true);
    let unknown = apply(&mut client, 1, &heavier_config()).await;
    log.hold_appends(false);
    let settled = client.settle(change_id(1), name("ben"), 0).await.unwrap();
    log.release_appends();
    let after = connect(&log).await;

    assert!(matches!(unknown, Outcome::Unknown { .. }), "{unknown}");
    assert!(matches!(settled, Outcome::Voided { offset: Offset(1), .. }), "{settled}");
    assert_eq!(after.fold().revision(), Revision(1));
    assert_eq!(after.fold().next(), Offset(5));
}

#[tokio::test(start_paused = true)]
async fn reports_why_racing_operator_lost() {
    let log = declared();
    let (mut ana, mut ben) = (connect(&log).await, connect(&log).await);
    apply(&mut ana, 1, &heavier_config()).await;

    let mut target = small_config();
    target.workspaces.get_mut("trial").unwrap().weight = 5;
    let outcome = apply(&mut ben, 2, &target).await;

    assert!(
        matches!(outcome, Outcome::Rejected { reason: Rejection::Stale { .. }, .. }),
        "{outcome}"
    );
}

#[tokio::test(start_paused = true)]
async fn plan_keeps_zone_that_is_out() {
    let log = FakeLog::new();
    let mut out = small_config();
    out.zones.get_mut("mnl-a").unwrap().serving = false;
    log.push(Stream::Config, change_record(first_change(&out)));
    let client = connect(&log).await;

    let kept = Plan::new(client.fold(), &small_config(), Ownership::InForce);
    let declared = Plan::new(client.fold(), &small_config(), Ownership::Declared);

    assert!(kept.edits.is_empty());
    assert_eq!(
        declared.report(),
        "~ zone mnl-a: in\n0 to add, 1 to change, 0 to remove against r1\n"
    );
}

#[tokio::test(start_paused = true)]
async fn refuses_dangerous_plan_without_permission() {
    let log = declared();
    let mut client = connect(&log).await;
    let mut target = small_config();
    target.zones.get_mut("mnl-a").unwrap().serving = false;

    let plan = Plan::new(client.fold(), &target, Ownership::Declared);
    let result = plan.apply(&mut client, submission(1)).await;

    assert!(matches!(result, Err(PlanError::Dangerous { .. })));
    assert_eq!(log.records(Stream::Config).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn reports_missing_history() {
    let log = declared();
    log.delete_before(Stream::Config, Offset(1));

    let result = ConfigClient::connect(log.client()).await;

    assert!(matches!(result.err(), Some(ClientError::History { first: Offset(1) })));
}

/// Returns a log with more changes than the window of the fold holds.
fn long_log() -> FakeLog {
    let log = declared();
    for number in 1..=WINDOW_RECORDS + 100 {
        let edits = vec![weight_edit(&small_config(), "trial", 1 + (number % 7) as u32)];
        let change = change(number.into(), Revision(number), Offset(number), edits);
        log.push(Stream::Config, change_record(change));
    }
    log
}

#[tokio::test(start_paused = true)]
async fn trail_lists_every_record_that_the_log_keeps() {
    let client = connect(&long_log()).await;

    let filter = AuditFilter { since: Offset(1), ..AuditFilter::default() };
    let listed: Vec<u64> = entries(client.trail(), &filter).map(|e| e.offset.0).collect();

    assert_eq!(listed, (1..=WINDOW_RECORDS + 100).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn settles_change_that_has_left_the_fold_window() {
    let mut client = connect(&long_log()).await;

    let outcome = client.settle(change_id(1), name("ben"), 0).await.unwrap();

    assert!(client.fold().ledger().find(change_id(1)).is_none());
    assert!(matches!(outcome, Outcome::Accepted { offset: Offset(1), .. }), "{outcome}");
}

#[tokio::test(start_paused = true)]
async fn reports_that_older_verdicts_are_missing() {
    let log = long_log();
    let records = log.records(Stream::Config);
    let end = Offset(records.len() as u64);
    let mut replica = Replica::new();
    let rows = records.iter().map(|r| (r.offset, &r.data[..]));
    replica.on_page(replica.next_read(), (Offset(0), end), rows).unwrap();
    log.push(Stream::Config, replica.encoded_snapshot().unwrap().to_vec());
    log.delete_before(Stream::Config, end);

    let mut client = connect(&log).await;
    let outcome = client.settle(change_id(1), name("ben"), 0).await.unwrap();

    let filter = AuditFilter { since: Offset(end.0 - 1), ..AuditFilter::default() };
    let table = table(client.trail(), &filter);
    expect_file!["golden/audit.txt"].assert_eq(&format!("{table}{outcome}\n"));
}

#[tokio::test(start_paused = true)]
async fn retry_time_of_the_log_without_end_does_not_hold_an_operator_without_end() {
    // Guards against a command that waits for as long as a damaged answer says.
    let fake = declared();
    let mut log = fake.client();
    log.append = Arc::new(|_, _| {
        let retry_after = Some(Duration::from_secs(u64::MAX));
        async move { Err(LogError::Refused { status: 429, retry_after }) }.boxed()
    });
    let mut client = ConfigClient::connect(log).await.unwrap();
    let started = Instant::now();

    let edits = vec![weight_edit(&small_config(), "trial", 9)];
    let outcome = client.submit(change(2, Revision(1), Offset(1), edits)).await.unwrap();

    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    assert!(started.elapsed() < Duration::from_secs(60), "{:?}", started.elapsed());
}
