//! The costs of calls add up to the price of the busy time.

use limpetmux::core::cost::{Ledger, Meter};
use limpetmux_test_support::policy::{at, ms};
use limpetmux_test_support::{check_cases, config::name};

#[test]
fn concurrent_calls_share_the_price() {
    let mut meter = Meter::new(at(0), 1_000_000);

    let first = meter.start_call(at(1_000));
    let second = meter.start_call(at(2_000));
    let costs = [meter.end_call(at(3_000), first), meter.end_call(at(4_000), second)];

    assert_eq!(costs, [1_500_000, 1_500_000]);
    assert_eq!(meter.idle(at(5_000)), 2_000_000);
}

#[test]
fn no_cost_is_lost_or_counted_twice() {
    check_cases(50, |u| {
        let price = 3_000_000;
        let mut meter = Meter::new(at(0), price);
        let (mut now, mut marks, mut sum, mut calls) = (at(0), Vec::new(), 0, 0);
        while !u.is_empty() {
            now = now + ms(u.int_in_range(0..=50)?);
            if marks.is_empty() || u.arbitrary()? {
                marks.push(meter.start_call(now));
                calls += 1;
            } else {
                let mark = marks.swap_remove(u.choose_index(marks.len())?);
                sum += meter.end_call(now, mark);
            }
        }
        sum += marks.into_iter().map(|m| meter.end_call(now, m)).sum::<u64>();
        let total = sum + meter.idle(now);
        let exact = now.as_micros() * price / 1_000_000;
        assert!(total <= exact && total + calls + 1 >= exact, "{total} of {exact}");
        Ok(())
    });
}

#[test]
fn ledger_adds_up_by_workspace_and_stage() {
    let mut ledger = Ledger::new();
    let (north, south) = (name("north"), name("south"));
    let (summary, encode) = (name("summary"), name("encode"));

    ledger.add([&south, &summary, &encode], ms(5), 50);
    ledger.add([&north, &summary, &encode], ms(7), 70);
    ledger.add([&south, &summary, &encode], ms(1), 10);

    let rows: Vec<(&str, u64, u64)> =
        ledger.rows().iter().map(|r| (r.workspace.as_str(), r.attempts, r.cost)).collect();
    assert_eq!(rows, [("north", 1, 70), ("south", 2, 60)]);
    assert_eq!(ledger.total(), 130);
}
