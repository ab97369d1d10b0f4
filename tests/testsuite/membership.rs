//! The state of a host is derived from observations, in whatever order they arrive.

use futures::FutureExt;
use limpetmux::adapters::hosts::{HostsClient, HostsError};
use limpetmux::core::config::Config;
use limpetmux::core::membership::{
    Cause, HostState, ListedHost, Membership, Observation, ProcessId,
};
use limpetmux::core::revision::Revision;
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use limpetmux::kernel::{Kernel, Publisher};
use limpetmux::membership::{self, MembershipParts};
use limpetmux::util::clock;
use limpetmux_test_support::{check_cases, config::name, small_config};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HOST: &str = "generate-0";

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn view(revision: u64, config: &Config) -> View {
    View::compile(Revision(revision), config)
}

fn started() -> Membership {
    let mut membership = Membership::default();
    membership.apply_view(at(0), &view(1, &small_config()));
    membership
}

fn row(state: HostState, incarnation: u64) -> ListedHost {
    ListedHost { host: name(HOST), state, incarnation }
}

fn reply(process: u64, draining: bool, sent_ms: u64) -> Observation {
    Observation::Reply { process: ProcessId(process), draining, sent: at(sent_ms) }
}

fn state(membership: &Membership) -> (HostState, Option<Cause>) {
    let status = membership.status(&name(HOST)).unwrap();
    (status.state, status.cause)
}

#[test]
fn stale_list_does_not_make_drained_host_live() {
    let mut membership = started();
    membership.apply_list(at(1), &[row(HostState::Live, 3)]);
    membership.observe(at(2), &name(HOST), reply(10, true, 1));

    membership.apply_list(at(3), &[row(HostState::Live, 2)]);
    membership.apply_list(at(4), &[row(HostState::Live, 3)]);
    let stale = state(&membership);
    membership.apply_list(at(5), &[row(HostState::Live, 4)]);

    assert_eq!(stale, (HostState::Leaving, Some(Cause::Drained)));
    assert_eq!(state(&membership), (HostState::Live, None));
}

#[test]
fn late_reply_of_earlier_process_does_not_end_drain() {
    let mut membership = started();
    membership.observe(at(100), &name(HOST), reply(2, true, 90));

    membership.observe(at(110), &name(HOST), reply(1, false, 50));
    let late = state(&membership);
    membership.observe(at(300), &name(HOST), reply(3, false, 290));

    assert_eq!(late, (HostState::Leaving, Some(Cause::Drained)));
    assert_eq!(state(&membership), (HostState::Live, None));
}

#[test]
fn flapping_host_is_excluded_for_longer_each_time() {
    let mut membership = started();
    let mut now = 0;
    let mut pauses = Vec::new();

    for _ in 0..4 {
        while state(&membership).0 == HostState::Live {
            now += 600;
            membership.observe(at(now), &name(HOST), Observation::Unreachable);
        }
        let wake = membership.next_change(at(now)).unwrap();
        pauses.push(wake.since(at(now)));
        membership.tick(wake);
        now = wake.as_millis();
    }

    let expected = [2, 4, 8, 16].map(Duration::from_secs);
    assert_eq!(pauses, expected);
}

#[test]
fn single_failures_between_replies_do_not_make_host_unreachable() {
    let mut membership = started();

    for i in 0..100 {
        let now = i * 1_000;
        membership.observe(at(now), &name(HOST), Observation::Unreachable);
        membership.observe(at(now + 500), &name(HOST), reply(1, false, now + 400));
    }

    assert_eq!(state(&membership), (HostState::Live, None));
}

#[test]
fn reader_with_newer_view_applies_zone_change_at_once() {
    let mut config = small_config();
    let (before, mut membership) = (view(1, &config), Membership::default());
    membership.apply_view(at(0), &before);
    config.zones.get_mut("mnl-a").unwrap().serving = false;
    let out = view(2, &config);
    let host = before.host(HOST).unwrap();
    let states = membership.states(&before);

    let usable = (states.is_usable(&before, host), states.is_usable(&out, host));
    membership.apply_view(at(1), &out);
    let states = membership.states(&out);
    config.zones.get_mut("mnl-a").unwrap().serving = true;
    let back = view(3, &config);

    assert_eq!(usable, (true, false));
    assert!(!states.is_usable(&out, host));
    assert!(!states.is_usable(&before, host));
    assert!(states.is_usable(&back, host));
}

/// A report that was true of the host when it was made.
#[derive(Clone, Copy, Debug)]
enum Report {
    List { state: HostState, incarnation: u64 },
    Reply { process: u64, draining: bool, sent: u64 },
}

/// Draws the reports of a random history of the host: its processes, drains and list entries.
fn draw_reports(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<Report>> {
    let mut reports = Vec::new();
    let (mut process, mut draining, mut incarnation) = (1, false, 1);
    let mut listed = HostState::Live;
    for step in 0..u.int_in_range(5..=30)? {
        let sent = step * 10;
        match u.int_in_range(0..=5)? {
            0 => draining = true,
            1 => (process, draining) = (process + 1, false),
            2 => listed = listed.max(HostState::Leaving),
            3 => {
                (process, draining) = (process + 1, false);
                (incarnation, listed) = (incarnation + 1, HostState::Live);
            }
            4 => reports.push(Report::List { state: listed, incarnation }),
            _ => reports.push(Report::Reply { process, draining, sent }),
        }
    }
    Ok(reports)
}

/// Delivers reports late, twice and in any order, never before they were made.
fn deliveries(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    reports: &[Report],
) -> arbtest::arbitrary::Result<Vec<(u64, Report)>> {
    let mut all = Vec::new();
    for (i, report) in reports.iter().enumerate() {
        for _ in 0..u.int_in_range(1..=2)? {
            let made_at = match report {
                Report::Reply { sent, .. } => *sent,
                Report::List { .. } => i as u64 * 10,
            };
            all.push((made_at + 1 + u.int_in_range(0..=200)?, *report));
        }
    }
    all.sort_by_key(|(at, _)| *at);
    Ok(all)
}

#[test]
fn host_is_live_only_after_reports_of_a_later_process() {
    const CASES: u64 = 2_000;

    check_cases(CASES, |u| {
        let reports = draw_reports(u)?;
        let mut membership = started();
        let (mut drained, mut leaving) = (0, 0);
        let (mut newest, mut listed) = (0, 0);
        for (now, report) in deliveries(u, &reports)? {
            match report {
                Report::List { state, incarnation } => {
                    membership.apply_list(at(now), &[row(state, incarnation)]);
                    listed = listed.max(incarnation);
                    if state != HostState::Live {
                        leaving = leaving.max(incarnation);
                    }
                }
                Report::Reply { process, draining, sent } => {
                    membership.observe(at(now), &name(HOST), reply(process, draining, sent));
                    newest = newest.max(process);
                    if draining {
                        drained = drained.max(process);
                    }
                }
            }
            if state(&membership).0 == HostState::Live {
                assert!(listed > leaving || leaving == 0, "live at {now} though listed as leaving");
                let outlived = newest > drained || listed > 1;
                assert!(drained == 0 || outlived, "live at {now} though process {drained} drains");
            }
        }
        Ok(())
    });
}

#[test]
fn host_is_finally_live_if_its_last_process_is() {
    const CASES: u64 = 2_000;

    check_cases(CASES, |u| {
        let reports = draw_reports(u)?;
        let mut membership = started();
        for (now, report) in deliveries(u, &reports)? {
            match report {
                Report::List { state, incarnation } => {
                    membership.apply_list(at(now), &[row(state, incarnation)]);
                }
                Report::Reply { process, draining, sent } => {
                    membership.observe(at(now), &name(HOST), reply(process, draining, sent));
                }
            }
        }

        membership.apply_list(at(10_000), &[row(HostState::Live, 1_000)]);
        membership.observe(at(10_000), &name(HOST), reply(1_000, false, 9_999));

        assert_eq!(state(&membership), (HostState::Live, None));
        Ok(())
    });
}

/// Returns a client of a host list that the test rewrites; reads fail while the list is `None`.
fn fake_list(rows: &Arc<Mutex<Option<Vec<ListedHost>>>>) -> HostsClient {
    let rows = Arc::clone(rows);
    let list = move || {
        let rows = rows.lock().unwrap().clone();
        async move { rows.ok_or(HostsError::Refused(503)) }.boxed()
    };
    HostsClient { list: Arc::new(list) }
}

#[tokio::test(start_paused = true)]
async fn service_keeps_known_states_while_the_list_is_down() {
    let rows = Arc::new(Mutex::new(Some(vec![row(HostState::Leaving, 1)])));
    let (kernel, config) = (Kernel::new(), small_config());
    let views = Publisher::new(view(1, &config));
    let hosts = Some(fake_list(&rows));
    let parts = MembershipParts { views: views.reader(), hosts };
    let reporter = membership::start(&kernel, parts).unwrap();
    let view = views.load();
    let host = view.host(HOST).unwrap();
    let other = view.host("generate-1").unwrap();

    tokio::time::sleep(Duration::from_secs(5)).await;
    *rows.lock().unwrap() = None;
    reporter.report_reply(&view, other, clock::now(), ProcessId(1), true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let down = reporter.states();
    *rows.lock().unwrap() = Some(vec![row(HostState::Live, 2)]);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let up = reporter.states();

    assert!(!down.is_usable(&view, host) && !down.is_usable(&view, other));
    assert!(up.is_usable(&view, host) && !up.is_usable(&view, other));
}

#[test]
fn list_costs_at_most_8_kib_a_second() {
    const ROW_BYTES: usize = 64;

    for rows in [10, 100, 950, 10_000] {
        let seconds = membership::poll_interval(rows).as_secs_f64();
        assert!((rows * ROW_BYTES) as f64 / seconds <= 8_192.0, "{rows} rows in {seconds} s");
    }
}
