//! Admission enforces limits, loses no call and shares capacity fairly.

use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::admission::{
    Actions, Admission, AdmissionDecision, Cancelled, Offer, Outcome, ServerReport, Ticket,
};
use limpetmux::core::refusal::{Execution, Refusal, RefusalCode};
use limpetmux::core::time::Moment;
use limpetmux_test_support::check_cases;
use limpetmux_test_support::policy::{at, limits, ms, offer};
use std::collections::{BTreeMap, BTreeSet};

const WARM: ServerReport =
    ServerReport { incarnation: 1, cold: false, age: std::time::Duration::ZERO };

/// The declared concurrency in the property test.
const CONCURRENCY: u32 = 6;

/// Returns an admission whose limit has grown to its full concurrency at time zero.
fn warm(concurrency: u32, cold: u32) -> Admission {
    let mut admission = Admission::new(at(0), limits(concurrency, cold));
    admission.observe(at(0), WARM);
    for _ in 0..concurrency * 4 {
        let AdmissionDecision::Start(ticket) = admission.offer(at(0), offer(1, at(60_000))) else {
            break;
        };
        admission.finish(at(0) + ms(10), ticket, Outcome::Done);
    }
    admission
}

/// Offers calls until `count` are on the backend server and returns their tickets.
fn fill(admission: &mut Admission, now: Moment, count: u32) -> Vec<Ticket> {
    let start = |_| match admission.offer(now, offer(1, now + ms(60_000))) {
        AdmissionDecision::Start(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    (0..count).map(start).collect()
}

/// The state of each call of a run, checked after every step.
#[derive(Default)]
struct CallTracker {
    queued: BTreeSet<Ticket>,
    running: BTreeMap<Ticket, Moment>,
    ended: BTreeSet<Ticket>,
}

impl CallTracker {
    fn begin(&mut self, now: Moment, ticket: Ticket, limit: u32) {
        assert!(!self.ended.contains(&ticket), "started after its end");
        assert!(self.running.insert(ticket, now).is_none(), "started twice");
        assert!(self.running.len() <= limit as usize, "started beyond the limit");
        assert!(self.running.len() <= CONCURRENCY as usize, "started beyond the declaration");
    }

    fn end(&mut self, ticket: Ticket) {
        assert!(self.ended.insert(ticket), "ended twice");
    }

    fn apply(&mut self, now: Moment, admission: &Admission, actions: Actions) {
        for (ticket, refusal) in actions.refused {
            assert!(self.queued.remove(&ticket), "refused a call that was not queued");
            assert_eq!(refusal.execution, Execution::NotRun);
            self.end(ticket);
        }
        for ticket in actions.start {
            assert!(self.queued.remove(&ticket), "started a call that was not queued");
            self.begin(now, ticket, admission.limit());
        }
        assert_eq!(admission.load().inflight as usize, self.running.len());
        assert_eq!(admission.load().queued as usize, self.queued.len());
    }

    fn any_running(&self, u: &mut Unstructured<'_>) -> Result<Option<Ticket>> {
        let tickets: Vec<Ticket> = self.running.keys().copied().collect();
        if tickets.is_empty() { Ok(None) } else { u.choose(&tickets).copied().map(Some) }
    }
}

fn arbitrary_offer(u: &mut Unstructured<'_>, now: Moment) -> Result<Offer> {
    Ok(Offer {
        weight: u.int_in_range(1..=4)?,
        priority: u.int_in_range(0..=2)?,
        work: u.int_in_range(1..=8)?,
        ..offer(u.int_in_range(0..=5)?, now + ms(u.int_in_range(0..=400)?))
    })
}

fn apply_random_action(
    u: &mut Unstructured<'_>,
    now: Moment,
    a: &mut Admission,
    tracker: &mut CallTracker,
) -> Result<()> {
    match u.int_in_range(0..=11)? {
        0..=5 => match a.offer(now, arbitrary_offer(u, now)?) {
            AdmissionDecision::Start(ticket) => tracker.begin(now, ticket, a.limit()),
            AdmissionDecision::Queued(ticket) => assert!(tracker.queued.insert(ticket)),
            AdmissionDecision::Refused(refusal) => assert_eq!(refusal.execution, Execution::NotRun),
        },
        6..=8 => {
            let outcomes = [Outcome::Done, Outcome::Failed, Outcome::Saturated, Outcome::Cancelled];
            if let Some(ticket) = tracker.any_running(u)? {
                a.finish(now, ticket, *u.choose(&outcomes)?);
                tracker.running.remove(&ticket);
                tracker.end(ticket);
            }
        }
        9 => {
            if let Some(ticket) = tracker.queued.first().copied() {
                assert_eq!(a.cancel(ticket), Cancelled::NeverStarts);
                tracker.queued.remove(&ticket);
                tracker.end(ticket);
            }
        }
        10 => a.observe(now, ServerReport { incarnation: u.int_in_range(1..=2)?, ..WARM }),
        _ => {
            a.set_draining(u.ratio(1, 4)?);
            a.set_zone(u.ratio(3, 4)?);
        }
    }
    Ok(())
}

#[test]
fn every_call_starts_or_ends_once_within_the_limit() {
    check_cases(200, |u| {
        let mut admission = Admission::new(at(0), limits(CONCURRENCY, 2));
        let mut tracker = CallTracker::default();
        let mut now = at(0);
        while !u.is_empty() {
            now = now + ms(u.int_in_range(0..=30)?);
            apply_random_action(u, now, &mut admission, &mut tracker)?;
            let actions = admission.poll(now);
            tracker.apply(now, &admission, actions);
        }
        now = now + ms(1_000);
        let actions = admission.poll(now);
        tracker.apply(now, &admission, actions);
        assert!(tracker.queued.is_empty(), "queued calls outlive their deadlines");
        Ok(())
    });
}

#[test]
fn unknown_backend_server_counts_as_cold() {
    let mut admission = Admission::new(at(0), limits(8, 2));

    fill(&mut admission, at(0), 2);

    let third = admission.offer(at(0), offer(1, at(1_000)));
    assert!(matches!(third, AdmissionDecision::Queued(_)), "{third:?}");
}

#[test]
fn new_incarnation_is_cold_until_reported_warm() {
    let mut admission = warm(8, 2);
    let restarted = ServerReport { incarnation: 2, cold: true, ..WARM };

    admission.observe(at(100), restarted);
    assert_eq!(admission.limit(), 2);
    // A report made before the restart was observed is ignored.
    admission.observe(at(200), ServerReport { cold: false, age: ms(150), ..restarted });
    for ticket in fill(&mut admission, at(200), 2) {
        admission.finish(at(210), ticket, Outcome::Done);
    }
    assert_eq!(admission.limit(), 2);
    admission.observe(at(300), ServerReport { cold: false, ..restarted });
    for ticket in fill(&mut admission, at(300), 2) {
        admission.finish(at(310), ticket, Outcome::Done);
    }

    assert_eq!(admission.limit(), 4);
}

#[test]
fn late_first_outputs_mean_a_cold_start() {
    let mut admission = warm(8, 2);
    let tickets = fill(&mut admission, at(100), 6);

    for ticket in &tickets[..3] {
        admission.first_output(at(400), *ticket);
    }

    assert_eq!(admission.limit(), 2);
}

#[test]
fn missing_first_outputs_mean_a_cold_start() {
    let mut admission = warm(8, 2);
    fill(&mut admission, at(100), 6);

    let wake = admission.poll(at(100)).wake.expect("a time at which overdue calls are checked");
    admission.poll(wake + ms(1));

    assert_eq!(admission.limit(), 2);
}

#[test]
fn failures_in_a_row_mean_a_cold_start() {
    let mut admission = warm(8, 2);

    for ticket in fill(&mut admission, at(100), 5) {
        admission.finish(at(110), ticket, Outcome::Failed);
    }
    let trial = fill(&mut admission, at(300), 1);
    admission.finish(at(310), trial[0], Outcome::Done);

    assert_eq!(admission.limit(), 2);
}

/// Keeps as many calls running as the limit allows, until `count` have ended. Calls beyond
/// `capacity` slow each other down.
fn saturate(admission: &mut Admission, now: &mut Moment, count: u32, capacity: u32, work_ms: u64) {
    let mut running: BTreeSet<(Moment, Ticket)> = BTreeSet::new();
    for _ in 0..count {
        while (running.len() as u32) < admission.limit() {
            let ticket = fill(admission, *now, 1)[0];
            admission.first_output(*now, ticket);
            let load = (running.len() as u32 + 1).max(capacity);
            running.insert((*now + ms(work_ms) * load / capacity, ticket));
        }
        let (end, ticket) = running.pop_first().unwrap();
        *now = end;
        admission.finish(end, ticket, Outcome::Done);
    }
    for (end, ticket) in running {
        admission.finish(end.max(*now), ticket, Outcome::Cancelled);
    }
}

#[test]
fn broken_backend_server_is_tried_with_one_call_at_a_time() {
    let mut admission = warm(8, 2);
    for ticket in fill(&mut admission, at(100), 5) {
        admission.finish(at(110), ticket, Outcome::Failed);
    }

    let paused = admission.offer(at(120), offer(1, at(5_000)));
    let trial = fill(&mut admission, at(210), 1);
    let second = admission.offer(at(210), offer(1, at(5_000)));
    admission.finish(at(220), trial[0], Outcome::Failed);
    let longer = admission.offer(at(330), offer(1, at(5_000)));

    let AdmissionDecision::Refused(refusal) = paused else { panic!("{paused:?}") };
    assert_eq!(refusal, Refusal::not_run(RefusalCode::Unavailable).retry_in(ms(90)));
    assert!(matches!(second, AdmissionDecision::Queued(_)), "{second:?}");
    assert!(matches!(longer, AdmissionDecision::Refused(_)), "{longer:?}");
    assert_eq!(admission.poll(at(330)).refused.len(), 1);
}

#[test]
fn limit_converges_to_the_capacity_of_the_backend_server() {
    let mut admission = warm(32, 32);
    let mut now = at(1_000);

    saturate(&mut admission, &mut now, 6_000, 8, 100);
    let narrow = admission.limit();
    saturate(&mut admission, &mut now, 20_000, 32, 100);
    let wide = admission.limit();

    assert!((7..=9).contains(&narrow), "{narrow}");
    assert!(wide >= 28, "{wide}");
}

#[test]
fn larger_calls_do_not_lower_the_limit() {
    let mut admission = warm(32, 32);
    let mut now = at(1_000);

    saturate(&mut admission, &mut now, 6_000, 16, 100);
    saturate(&mut admission, &mut now, 6_000, 16, 350);

    assert!((14..=18).contains(&admission.limit()), "{}", admission.limit());
}

#[test]
fn slow_calls_of_a_cold_start_do_not_block_later_calls() {
    let mut admission = warm(8, 2);
    admission.observe(at(1_000), ServerReport { incarnation: 2, cold: true, ..WARM });
    let mut now = at(1_000);
    for _ in 0..20 {
        for ticket in fill(&mut admission, now, 2) {
            admission.finish(now + ms(400), ticket, Outcome::Done);
        }
        now = now + ms(400);
    }

    let idle = admission.offer(now, offer(1, now + ms(100)));

    assert!(matches!(idle, AdmissionDecision::Start(_)), "{idle:?}");
}

#[test]
fn draining_refuses_queued_calls_and_keeps_running_ones() {
    let mut admission = warm(2, 2);
    let running = fill(&mut admission, at(100), 2);
    let AdmissionDecision::Queued(waiting) = admission.offer(at(100), offer(1, at(5_000))) else {
        panic!()
    };

    admission.set_draining(true);
    let actions = admission.poll(at(100));

    assert_eq!(actions.refused.len(), 1);
    assert_eq!(actions.refused[0].0, waiting);
    assert_eq!(actions.refused[0].1.code, RefusalCode::Draining);
    assert!(!admission.is_idle());
    for ticket in running {
        admission.finish(at(200), ticket, Outcome::Done);
    }
    assert!(admission.is_idle());
}

#[test]
fn call_that_cannot_start_in_time_is_refused_at_once() {
    let mut admission = warm(2, 2);
    fill(&mut admission, at(100), 2);

    let decision = admission.offer(at(100), offer(1, at(112)));

    let AdmissionDecision::Refused(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn higher_priority_displaces_the_least_valuable_call_of_a_full_queue() {
    let mut admission = warm(1, 1);
    fill(&mut admission, at(100), 1);
    let queued: Vec<AdmissionDecision> =
        (0..64).map(|_| admission.offer(at(100), offer(1, at(60_000)))).collect();
    let urgent = Offer { priority: 1, ..offer(1, at(60_000)) };

    let admitted = admission.offer(at(100), urgent);
    let actions = admission.poll(at(100));

    assert!(matches!(admitted, AdmissionDecision::Queued(_)));
    let shed: Vec<AdmissionDecision> =
        actions.refused.iter().map(|(t, _)| AdmissionDecision::Queued(*t)).collect();
    assert_eq!(shed, queued[63..]);
}

#[test]
fn workspaces_share_by_weight_whatever_their_offered_load() {
    let mut admission = warm(4, 4);
    let mut started = BTreeMap::from([(1, 0_u32), (2, 0)]);
    let mut flows = BTreeMap::new();
    let mut running = Vec::new();
    for round in 0..400 {
        let now = at(1_000 + round * 10);
        // Flow 1 has weight 3 and offers slightly more than its share, flow 2 ten times as much.
        let offers = [(1, 3, 4), (2, 1, 40)];
        for (flow, weight, count) in offers {
            for _ in 0..count {
                let call = Offer { weight, ..offer(flow, now + ms(100)) };
                match admission.offer(now, call) {
                    AdmissionDecision::Start(t) => running.push((t, flow)),
                    AdmissionDecision::Queued(t) => drop(flows.insert(t, flow)),
                    AdmissionDecision::Refused(_) => {}
                }
            }
        }
        let end = now + ms(10);
        for (ticket, flow) in std::mem::take(&mut running) {
            *started.get_mut(&flow).unwrap() += 1;
            admission.finish(end, ticket, Outcome::Done);
        }
        running.extend(admission.poll(end).start.into_iter().map(|t| (t, flows[&t])));
    }

    let (first, second) = (started[&1], started[&2]);
    assert!(first * 10 >= second * 27 && first * 10 <= second * 33, "{first} to {second}");
}
