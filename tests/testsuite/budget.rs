//! Time budgets refuse requests early, and retries stay within their share of requests.

use limpetmux::core::admission::FlowId;
use limpetmux::core::budget::{Retry, RetryBudget, StageId, StageTimes};
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux_test_support::policy::{at, ms};
use limpetmux_test_support::{check_cases, config::name};

const FIRST: StageId = StageId(1);
const SECOND: StageId = StageId(2);

/// Returns recorded durations of 10 to 29 ms for the first stage and ten times that for the second.
fn recorded_times() -> StageTimes {
    let mut times = StageTimes::new().unwrap_or_else(|e| panic!("{e}"));
    for i in 0..200 {
        times.add(at(1_000), FIRST, ms(10 + i % 20));
        times.add(at(1_000), SECOND, ms(100 + i % 20 * 10));
    }
    times
}

#[test]
fn request_that_cannot_finish_is_refused_before_its_first_stage() {
    let mut times = recorded_times();

    let fits = times.check(at(1_000), at(1_400), &[FIRST, SECOND]);
    let not = times.check(at(1_000), at(1_200), &[FIRST, SECOND]);

    assert_eq!(fits, Ok(()));
    assert_eq!(not, Err(Refusal::not_run(RefusalCode::Deadline)));
}

#[test]
fn nothing_is_refused_for_times_that_are_unknown_or_old() {
    let mut unknown = StageTimes::new().unwrap();
    let mut old = recorded_times();

    let early = unknown.check(at(0), at(1), &[FIRST]);
    let late = old.check(at(100_000), at(100_001), &[FIRST]);

    assert_eq!((early, late), (Ok(()), Ok(())));
}

#[test]
fn few_requests_run_against_the_estimate_to_correct_it() {
    let mut times = recorded_times();

    let ran = (0..320).filter(|_| times.check(at(1_000), at(1_100), &[SECOND]).is_ok()).count();

    assert_eq!(ran, 10);
}

#[test]
fn stage_deadline_leaves_time_for_later_stages() {
    let mut times = recorded_times();

    let deadline = times.stage_deadline(at(1_000), at(2_000), &[SECOND]);

    let remaining = at(2_000).since(deadline);
    assert!(remaining > ms(240) && remaining < ms(300), "{remaining:?}");
}

#[test]
fn only_short_known_stages_are_hedged() {
    let mut times = recorded_times();
    for _ in 0..50 {
        times.add(at(1_000), StageId(3), ms(900));
    }

    assert!(times.hedge_after(at(1_000), FIRST).is_some_and(|d| d >= ms(27) && d <= ms(30)));
    assert_eq!(times.hedge_after(at(1_000), StageId(3)), None);
    assert_eq!(times.hedge_after(at(1_000), StageId(4)), None);
}

#[test]
fn retries_stay_within_their_share_of_fresh_requests() {
    check_cases(50, |u| {
        let mut budget = RetryBudget::new();
        let pools = [name("writer"), name("ranker")];
        let (mut fresh, mut retries) = ([0_u32; 2], [0_u32; 2]);
        while !u.is_empty() {
            let pool = u.int_in_range(0..=1)?;
            let flow = FlowId(u.int_in_range(0..=2)?);
            if u.arbitrary()? {
                budget.count_first(flow, &pools[pool]);
                fresh[pool] += 1;
            } else if budget.spend(flow, &pools[pool]) == Retry::Allowed {
                retries[pool] += 1;
            }
            // At most a tenth of the first attempts, plus the two retries of an unused budget.
            assert!(retries[pool] <= fresh[pool] / 10 + 2, "{retries:?} of {fresh:?}");
        }
        Ok(())
    });
}

#[test]
fn one_workspace_cannot_spend_the_retries_of_another() {
    let mut budget = RetryBudget::new();
    let pool = name("writer");
    for _ in 0..200 {
        budget.count_first(FlowId(1), &pool);
        budget.count_first(FlowId(2), &pool);
    }

    let greedy = (0..100).filter(|_| budget.spend(FlowId(1), &pool) == Retry::Allowed).count();

    assert!(greedy <= 18, "{greedy}");
    assert_eq!(budget.spend(FlowId(2), &pool), Retry::Allowed);
}
