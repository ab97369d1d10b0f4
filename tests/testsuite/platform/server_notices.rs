//! What backend servers state about themselves decides which of them get requests, without a network.

use super::{arc, at, ms, server};
use limpetmux::core::listing::Server;
use limpetmux::core::server_limits::LimitNotice;
use limpetmux::core::server_notices::{
    Incarnation, LeavingServer, MAX_HOLD, PoolClosed, ServerNotice, ServerNotices,
};
use std::time::Duration;

/// The time in which a backend server that leaves may still get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const LEAVING: ServerNotice =
    ServerNotice { leaving: true, hold: None, limit: LimitNotice::Unstated };

fn run(id: &str, started_ms: u64) -> Incarnation {
    Incarnation { id: arc(id), started_ms }
}

fn started(id: &str, started_ms: u64) -> Server {
    Server { started_ms, ..server(id, "mnl-a") }
}

fn hold(time: Duration) -> ServerNotice {
    ServerNotice { hold: Some(time), ..ServerNotice::default() }
}

fn ids(notices: &ServerNotices, now: u64, pool: &[Server]) -> Result<Vec<String>, PoolClosed> {
    let available =
        notices.available(at(now), DRAIN_TIME, pool.iter().collect(), Duration::ZERO)?;
    Ok(available.iter().map(|s| s.id.to_string()).collect())
}

#[test]
fn server_that_leaves_is_not_chosen_from_its_first_answer_on() {
    // Guards against a choice that asks only the store whether a server leaves (rule DRAIN).
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5), started("b", 5)];

    let first = notices.record(at(0), &run("a", 5), LEAVING);
    let again = notices.record(at(900), &run("a", 5), LEAVING);

    assert!(first.leaves && !again.leaves);
    assert_eq!(ids(&notices, 0, &pool), Ok(vec!["b".to_owned()]));
    assert_eq!(ids(&notices, 100_000, &pool), Ok(vec!["b".to_owned()]));
}

#[test]
fn pool_that_leaves_as_a_whole_serves_until_the_drain_time_has_passed() {
    // Guards against refusals while servers still serve, and against requests after the bound.
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5)];
    notices.record(at(0), &run("a", 5), LEAVING);
    notices.record(at(1_500), &run("a", 5), LEAVING);

    let before = ids(&notices, 1_999, &pool);
    let after = ids(&notices, 2_000, &pool);

    assert_eq!(before, Ok(vec!["a".to_owned()]));
    assert_eq!(after, Err(PoolClosed { opens_in: None, is_limited: false }));
}

#[test]
fn notices_hold_for_one_incarnation_only() {
    // Guards against a new incarnation of an id that gets nothing because the former one has left, and
    // against an older record of the list that brings the former one back.
    let mut notices = ServerNotices::default();
    notices.record(at(0), &run("a", 5), LEAVING);
    notices.record(at(0), &run("b", 5), hold(ms(60_000)));
    let other = started("c", 5);

    let new = ids(&notices, 5_000, &[started("a", 6), started("b", 6), other.clone()]);
    notices.record(at(5_000), &run("a", 6), LEAVING);
    notices.record(at(5_100), &run("a", 5), hold(ms(1)));
    let former = ids(&notices, 5_200, &[started("a", 5), other]);

    assert_eq!(new, Ok(vec!["a".to_owned(), "b".to_owned(), "c".to_owned()]));
    assert_eq!(former, Ok(vec!["c".to_owned()]));
}

#[test]
fn server_that_wants_no_requests_gets_none_until_the_end_of_that_time() {
    // Guards against requests to a server that has refused with Retry-After (rule BUDGET), and against
    // a later, shorter time that ends the longer one.
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5), started("b", 5)];

    notices.record(at(0), &run("a", 5), hold(ms(3_000)));
    notices.record(at(100), &run("a", 5), hold(ms(1_000)));

    assert_eq!(ids(&notices, 2_999, &pool), Ok(vec!["b".to_owned()]));
    assert_eq!(ids(&notices, 3_000, &pool).map(|ids| ids.len()), Ok(2));
}

#[test]
fn pool_that_wants_no_requests_states_when_the_first_of_it_does() {
    // Guards against refusals whose time is that of the last server, or of one that leaves.
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5), started("b", 5), started("c", 5)];
    notices.record(at(0), &run("a", 5), hold(ms(3_000)));
    notices.record(at(0), &run("b", 5), hold(ms(2_000)));
    notices.record(at(0), &run("c", 5), hold(ms(1_000)));
    notices.record(at(0), &run("c", 5), LEAVING);

    let closed = ids(&notices, 500, &pool);

    assert_eq!(closed, Err(PoolClosed { opens_in: Some(ms(1_500)), is_limited: false }));
}

#[test]
fn endless_time_is_capped() {
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5), started("b", 5)];

    notices.record(at(0), &run("a", 5), hold(Duration::MAX));

    let end = u64::try_from(MAX_HOLD.as_millis()).expect("a short time");
    assert_eq!(ids(&notices, end - 1, &pool).map(|ids| ids.len()), Ok(1));
    assert_eq!(ids(&notices, end, &pool).map(|ids| ids.len()), Ok(2));
}

#[test]
fn other_node_counts_the_drain_time_from_what_the_first_one_heard() {
    // Guards against nodes that each begin the drain time anew, and that tell each other for good of a
    // server that is no longer listed.
    let mut notices = ServerNotices::default();
    let pool = [started("a", 5)];
    let heard = |age| LeavingServer { incarnation: run("a", 5), age: ms(age) };

    assert!(notices.learn(at(10_000), &heard(1_500), true));
    assert!(!notices.learn(at(10_100), &heard(200), true));
    let told = notices.leaving(at(10_200));
    let late = ids(&notices, 10_600, &pool);
    notices.remove_unlisted(at(100_000), |_| false);

    assert_eq!(told, [heard(1_700)]);
    assert_eq!(late, Err(PoolClosed { opens_in: None, is_limited: false }));
    assert_eq!(notices.leaving(at(100_000)), []);
    assert!(!notices.learn(at(100_000), &heard(91_500), false));
}
