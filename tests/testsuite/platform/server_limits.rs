//! Which limit of a backend server holds, and what that leaves of its pool, without network.

use super::{arc, at, ms, server};
use limpetmux::core::listing::Server;
use limpetmux::core::server_limits::{RequestRate, StatedLimit};
use limpetmux::core::server_notices::{
    Incarnation, LimitChange, LimitedServer, PoolClosed, ServerNotice, ServerNotices,
};
use std::time::Duration;

/// The time in which a backend server that leaves may still get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn run(id: &str, started_ms: u64) -> Incarnation {
    Incarnation { id: arc(id), started_ms }
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::per_second(per_second)
}

/// An answer that states a limit, from when its request was sent until it arrived.
fn stated(rate: Option<RequestRate>, asked: u64, heard: u64) -> StatedLimit {
    StatedLimit { rate, asked_at: at(asked), heard_at: at(heard) }
}

fn record(notices: &mut ServerNotices, limit: StatedLimit) -> Option<LimitChange> {
    notices.record_limit(limit.heard_at, &run("a", 5), limit)
}

fn limited(per_second: f64) -> ServerNotices {
    let mut notices = ServerNotices::default();
    record(&mut notices, stated(rate(per_second), 0, 100));
    notices
}

fn pool() -> [Server; 2] {
    ["a", "b"].map(|id| Server { started_ms: 5, ..server(id, "mnl-a") })
}

fn ids(notices: &ServerNotices, now: u64, patience: u64) -> Result<Vec<String>, PoolClosed> {
    let pool = pool();
    let servers = pool.iter().collect();
    let available = notices.available(at(now), DRAIN_TIME, servers, ms(patience))?;
    Ok(available.iter().map(|s| s.id.to_string()).collect())
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_limit() {
    // Guards against an answer that was written before the limit was named and arrives after it.
    let mut notices = limited(1.0);

    let overtaken = record(&mut notices, stated(None, 50, 150));
    let later = record(&mut notices, stated(None, 100, 200));

    assert_eq!(overtaken, None);
    assert_eq!(later, Some(LimitChange { from: rate(1.0), to: None }));
    assert_eq!(notices.limit(&run("a", 5)), None);
}

#[test]
fn lower_of_two_limits_holds_until_one_is_certainly_newer() {
    // Guards against a limit that is lowered and raised again by answers that overtake each other.
    let mut notices = limited(2.0);

    record(&mut notices, stated(rate(20.0), 90, 110));
    let overlapping = notices.limit(&run("a", 5));
    record(&mut notices, stated(rate(20.0), 120, 130));
    let raised = notices.limit(&run("a", 5));
    record(&mut notices, stated(rate(2.0), 0, 115));
    let stale = notices.limit(&run("a", 5));

    assert_eq!([overlapping, raised, stale], [rate(2.0), rate(20.0), rate(20.0)]);
}

#[test]
fn new_incarnation_has_stated_no_limit() {
    let mut notices = limited(1.0);

    record(&mut notices, stated(rate(1.0), 200, 300));

    assert_eq!(notices.limit(&run("a", 6)), None);
    assert_eq!(notices.limit(&run("b", 5)), None);
}

/// Lets one node tell the other all limits that it knows.
fn tell(now: u64, from: &ServerNotices, to: &mut ServerNotices) {
    for limit in from.limits(at(now)) {
        // The transfer takes 40 ms, by which what is told seems younger.
        to.learn_limit(at(now + 40), &limit, true);
    }
}

#[test]
fn end_of_a_limit_reaches_nodes_that_tell_each_other_of_it() {
    // Guards against nodes that renew a limit by telling it to and fro, so that it never ends.
    let (mut one, mut other) = (limited(1.0), ServerNotices::default());
    for now in (200..20_000).step_by(100) {
        tell(now, &one, &mut other);
        tell(now, &other, &mut one);
    }
    assert_eq!(other.limit(&run("a", 5)), rate(1.0));

    record(&mut other, stated(None, 20_000, 20_020));
    tell(20_050, &one, &mut other);
    tell(20_050, &other, &mut one);

    assert_eq!([&one, &other].map(|n| n.limit(&run("a", 5))), [None; 2]);
}

#[test]
fn limit_of_a_server_that_is_not_listed_is_forgotten() {
    // Guards against nodes that tell each other for good of a server that has ended.
    let mut notices = limited(1.0);
    notices.remove_unlisted(at(100_000), |_| false);
    let old = LimitedServer {
        incarnation: run("a", 5),
        rate: rate(1.0),
        asked_age: ms(99_000),
        heard_age: ms(99_000),
    };

    let learnt = notices.learn_limit(at(100_000), &old, false);

    assert_eq!((learnt, notices.limits(at(100_000)).len()), (None, 0));
}

#[test]
fn server_whose_limit_is_used_up_gets_nothing_until_its_turn() {
    // Guards against requests that ask again and again for a server that was denied.
    let mut notices = limited(1.0);

    notices.deny(at(100), &run("a", 5), at(1_100));

    assert_eq!(ids(&notices, 1_000, 0), Ok(vec!["b".to_owned()]));
    assert_eq!(ids(&notices, 1_000, 500), Ok(vec!["b".to_owned()]));
    assert_eq!(ids(&notices, 1_100, 0).map(|ids| ids.len()), Ok(2));
}

#[test]
fn pool_whose_limits_are_used_up_waits_for_a_turn_that_is_soon() {
    // Guards against refusals of requests that can wait, and against waits of those that cannot.
    let mut notices = limited(1.0);
    notices.deny(at(100), &run("a", 5), at(1_100));
    notices.record_limit(at(100), &run("b", 5), stated(rate(1.0), 0, 100));
    notices.deny(at(100), &run("b", 5), at(1_600));

    let patient = ids(&notices, 1_000, 100);
    let hurried = ids(&notices, 1_000, 99);

    assert_eq!(patient, Ok(vec!["a".to_owned()]));
    assert_eq!(hurried, Err(PoolClosed { opens_in: Some(ms(100)), is_limited: true }));
}

#[test]
fn end_of_a_limit_opens_its_server_at_once() {
    // Guards against a server that stays closed although it accepts all requests again.
    let mut notices = limited(1.0);
    notices.deny(at(100), &run("a", 5), at(20_000));

    record(&mut notices, stated(None, 200, 210));

    assert_eq!(ids(&notices, 220, 0).map(|ids| ids.len()), Ok(2));
}

#[test]
fn leaving_server_with_a_limit_is_used_only_while_it_drains() {
    // Guards against a turn of a limit that opens a server which has left.
    let mut notices = limited(1.0);
    let leaving = ServerNotice { leaving: true, ..ServerNotice::default() };
    for id in ["a", "b"] {
        notices.record(at(100), &run(id, 5), leaving);
        notices.deny(at(100), &run(id, 5), at(5_000));
    }

    let draining = ids(&notices, 1_000, 4_000);
    let left = ids(&notices, 2_100, 4_000);

    assert_eq!(draining.map(|ids| ids.len()), Ok(2));
    assert_eq!(left, Err(PoolClosed { opens_in: None, is_limited: false }));
}
