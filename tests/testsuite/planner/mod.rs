//! The planner's lease, the fold of the duties stream and the plans.

mod agent;

use limpetmux::core::planner::{
    Demand, DemandTracker, DutyFold, DutyRecord, DutyVerdict, HostPower, LeaseClock, LeaseState,
    PlanDelta, PlanInput, Planner, PlannerLimits,
};
use limpetmux::prelude::*;
use std::time::Duration;

const TERM: Duration = Duration::from_secs(15);
const MARGIN: Duration = Duration::from_secs(1);
const SEEDS: std::ops::Range<u64> = 0..60;

fn grant(holder: &str, previous: Option<u64>) -> DutyRecord {
    DutyRecord::Grant { holder: holder.to_owned(), previous: previous.map(Offset) }
}

fn sleep_plan(fence: u64, host: &str) -> DutyRecord {
    let delta = PlanDelta { sleep: [host.to_owned()].into(), ..PlanDelta::default() };
    DutyRecord::Plan { fence: Offset(fence), delta }
}

fn fold_all(records: &[DutyRecord]) -> (DutyFold, Vec<DutyVerdict>) {
    let mut fold = DutyFold::new(Offset(0));
    let verdicts =
        records.iter().zip(0..).map(|(r, offset)| fold.fold(Offset(offset), r)).collect();
    (fold, verdicts)
}

fn pool(awake: usize, total: usize) -> Vec<HostPower> {
    (0..total)
        .map(|i| HostPower {
            host: HostKey(i as u32),
            zone: ZoneKey((i % 3) as u16),
            awake: i < awake,
            usable: true,
        })
        .collect()
}

fn input(hosts: &[HostPower], calls: f64) -> PlanInput<'_> {
    PlanInput {
        hosts,
        demand: Demand { level: calls, slope: 0.0 },
        concurrency: 10,
        warmup: Duration::from_secs(60),
        floor: 1,
    }
}

#[test]
fn second_of_two_racing_grants_loses() {
    let records = [grant("a", None), grant("b", None), grant("b", Some(0)), grant("a", Some(0))];

    let (fold, verdicts) = fold_all(&records);

    use DutyVerdict::{Accepted, LostRace};
    assert_eq!(verdicts, [Accepted, LostRace, Accepted, LostRace]);
    assert_eq!(fold.lease().unwrap().fence, Offset(2));
}

#[test]
fn plan_of_planner_paused_past_its_lease_is_rejected() {
    let records = [grant("a", None), grant("b", Some(0)), sleep_plan(0, "h1"), sleep_plan(1, "h2")];

    let (fold, verdicts) = fold_all(&records);

    assert_eq!(verdicts[2..], [DutyVerdict::StaleFence, DutyVerdict::Accepted]);
    assert!(!fold.asleep().contains("h1"));
    assert!(fold.asleep().contains("h2"));
}

#[test]
fn renewal_keeps_fencing_number() {
    let (fold, _) = fold_all(&[grant("a", None), grant("a", Some(0)), grant("a", Some(1))]);

    assert_eq!(fold.lease().unwrap().fence, Offset(0));
    assert_eq!(fold.lease().unwrap().last, Offset(2));
}

#[test]
fn late_joiner_waits_for_snapshot_and_then_agrees() {
    let (mut full, _) = fold_all(&[grant("a", None), sleep_plan(0, "h1")]);
    let snapshot = full.snapshot().unwrap();
    let mut late = DutyFold::new(Offset(1));

    let before = late.fold(Offset(1), &sleep_plan(0, "h1"));
    full.fold(Offset(2), &snapshot);
    let adopted = late.fold(Offset(2), &snapshot);

    assert_eq!(before, DutyVerdict::Gap);
    assert_eq!(adopted, DutyVerdict::Accepted);
    assert_eq!(late, full);
}

#[test]
fn snapshot_overtaken_by_another_record_is_not_adopted() {
    let (fold, _) = fold_all(&[grant("a", None), sleep_plan(0, "h1")]);
    let snapshot = fold.snapshot().unwrap();
    let mut late = DutyFold::new(Offset(1));

    late.fold(Offset(2), &sleep_plan(0, "h2"));
    let adopted = late.fold(Offset(3), &snapshot);

    assert_eq!(adopted, DutyVerdict::Known);
    assert!(!late.is_complete());
}

#[test]
fn duty_record_of_other_version_is_rejected() {
    let bytes = br#"{"v":2,"grant":{"holder":"a","previous":null}}"#;

    let error = DutyRecord::decode(bytes).unwrap_err();

    assert!(matches!(error, limpetmux::core::planner::DutyError::Version(2)));
}

/// A node of the lease test: its fold of the log, its lease clock and whether it is paused.
struct Node {
    name: &'static str,
    fold: DutyFold,
    clock: LeaseClock,
    paused: bool,
}

fn step_node(node: &mut Node, now: Moment, log: &mut Vec<DutyRecord>, sends: bool) {
    let state = node.clock.state(now, node.fold.lease(), node.name);
    if sends && (state == LeaseState::Expired || node.clock.is_renewal_due(now)) {
        node.clock.record_sent(now);
        log.push(grant(node.name, node.fold.lease().map(|l| l.last.0)));
    }
}

fn read_log(node: &mut Node, now: Moment, log: &[DutyRecord], count: usize) {
    let from = node.fold.next().0 as usize;
    for (record, offset) in log.iter().zip(0..).skip(from).take(count) {
        node.fold.fold(Offset(offset), record);
        node.clock.record_lease(now, node.fold.lease(), node.name);
    }
}

#[test]
fn two_nodes_never_hold_the_lease_at_once() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let clock = || LeaseClock::new(TERM, MARGIN);
            let node =
                |name| Node { name, fold: DutyFold::new(Offset(0)), clock: clock(), paused: false };
            let mut nodes = [node("a"), node("b")];
            let mut log = Vec::new();
            let mut now = Moment::ZERO;
            while !u.is_empty() {
                now = now + Duration::from_millis(u.int_in_range(0..=6_000)?);
                let node = &mut nodes[usize::from(u.arbitrary::<bool>()?)];
                match u.int_in_range(0..=3)? {
                    0 => node.paused = !node.paused,
                    1 if !node.paused => step_node(node, now, &mut log, true),
                    _ if !node.paused => read_log(node, now, &log, u.int_in_range(1..=3)?),
                    _ => {}
                }
                let held = |n: &Node| {
                    matches!(n.clock.state(now, n.fold.lease(), n.name), LeaseState::Held(_))
                };
                assert!(!(held(&nodes[0]) && held(&nodes[1])), "both hold the lease at {now:?}");
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400);
    }
}

#[test]
fn nodes_that_fold_the_same_records_agree() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut log: Vec<DutyRecord> = Vec::new();
            let mut first = DutyFold::new(Offset(0));
            while !u.is_empty() && log.len() < 64 {
                let previous = u.arbitrary::<Option<u8>>()?.map(u64::from);
                let record = match u.int_in_range(0..=3)? {
                    0 => grant("a", previous),
                    1 => grant("b", first.lease().map(|l| l.last.0)),
                    2 => sleep_plan(u.int_in_range(0..=8)?, "h1"),
                    _ => first.snapshot().unwrap(),
                };
                first.fold(Offset(log.len() as u64), &record);
                log.push(record);
            }
            let mut second = DutyFold::new(Offset(0));
            let mut at = 0;
            while at < log.len() {
                second.fold(Offset(at as u64), &log[at]);
                let repeat = at.saturating_sub(usize::from(u.arbitrary::<u8>().unwrap_or(0) % 4));
                assert_eq!(second.fold(Offset(repeat as u64), &log[repeat]), DutyVerdict::Known);
                at += 1;
            }
            assert_eq!(first, second);
            Ok(())
        })
        .seed(seed << 32 | 0x200);
    }
}

#[test]
fn wakes_at_once_and_evenly_over_zones() {
    let hosts = pool(3, 12);
    let mut planner = Planner::new(PlannerLimits::default());

    let plan = planner.plan(Moment::ZERO, &input(&hosts, 35.0));

    assert_eq!(plan.wake, [HostKey(3), HostKey(4), HostKey(5)]);
    assert!(plan.sleep.is_empty());
}

#[test]
fn wakes_no_more_at_once_than_the_weight_store_serves() {
    let hosts = pool(1, 12);
    let limits = PlannerLimits { max_waking: 2, ..PlannerLimits::default() };
    let mut planner = Planner::new(limits);

    let first = planner.plan(Moment::ZERO, &input(&hosts, 100.0));
    let second = planner.plan(Moment::from_millis(1_000), &input(&hosts, 100.0));
    let third = planner.plan(Moment::from_millis(61_000), &input(&hosts, 100.0));

    assert_eq!([first.wake.len(), second.wake.len(), third.wake.len()], [2, 0, 2]);
}

#[test]
fn sleeps_only_after_the_surplus_has_lasted() {
    let hosts = pool(10, 10);
    let limits = PlannerLimits::default();
    let mut planner = Planner::new(limits);

    let early = planner.plan(Moment::ZERO, &input(&hosts, 5.0));
    let spike = planner.plan(Moment::from_millis(200_000), &input(&hosts, 65.0));
    let reset = planner.plan(Moment::from_millis(301_000), &input(&hosts, 5.0));
    let late = planner.plan(Moment::from_millis(601_000), &input(&hosts, 5.0));

    assert!(early.sleep.is_empty() && spike.sleep.is_empty() && reset.sleep.is_empty());
    assert_eq!(late.sleep.len(), 2);
}

#[test]
fn never_sleeps_below_floor_and_spare() {
    let mut hosts = pool(6, 6);
    let mut planner = Planner::new(PlannerLimits::default());
    let mut now = Moment::ZERO;

    for _ in 0..20 {
        now = now + Duration::from_secs(301);
        let plan = planner.plan(now, &PlanInput { floor: 3, ..input(&hosts, 0.0) });
        for host in plan.sleep {
            hosts[host.0 as usize].awake = false;
        }
    }

    assert_eq!(hosts.iter().filter(|h| h.awake).count(), 3);
}

#[test]
fn rising_demand_is_forecast_over_the_warmup() {
    let mut tracker = DemandTracker::new(Duration::from_secs(30));

    for second in 0..120 {
        tracker.observe(Moment::from_millis(second * 1_000), second as f64);
    }

    let forecast = tracker.demand().forecast(Duration::from_secs(60));
    assert!((170.0..=190.0).contains(&forecast), "expected about 179, got {forecast}");
}
