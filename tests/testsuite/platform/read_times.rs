//! The times of reads and pulls that are worked out from the bounds.

use super::ms;
use crate::decoders::check;
use limpetmux::core::read_times::{ReadTimes, ViewBounds};
use std::time::Duration;

fn bounds(config: u64, revoke: u64, evacuate: u64, drain: u64) -> ViewBounds {
    let [config, revoke, evacuate, drain] = [config, revoke, evacuate, drain].map(ms);
    ViewBounds { config, revoke, evacuate, drain }
}

#[test]
fn times_keep_any_bounds_and_a_calm_view_is_never_stale() {
    check("read times", |u| {
        let mut draw = || u.int_in_range(200..=20_000);
        let bounds = bounds(draw()?, draw()?, draw()?, draw()?);

        let times = ReadTimes::new(bounds);

        // A read of its own that takes as long as a hold ends before each bound.
        let own_read = times.orders_stale + times.read_hold / 2;
        assert!(own_read < bounds.config, "{bounds:?} {times:?}");
        assert!(own_read < bounds.revoke.min(bounds.evacuate), "{bounds:?} {times:?}");
        assert!(times.listing_stale + times.listing_interval <= bounds.drain);
        // A reader that is frozen or cut off from its peers is given up before they are stale.
        assert!(times.pull_limit <= times.orders_stale && times.read_late < times.orders_stale);
        // A view is as old as two reads, and renewed at the end of each.
        assert!(times.read_hold * 2 < times.orders_stale, "{bounds:?} {times:?}");
        assert!(times.pull_hold > times.read_hold && times.pull_hold <= times.pull_limit);
        let held = times.read_hold + times.pull_hold;
        assert!(times.ends_pulls || held + ms(700) <= times.orders_stale, "{bounds:?} {times:?}");
        assert!(times.read_hold <= ms(600) && times.listing_interval <= ms(500));
        Ok(())
    });
}

#[test]
fn longer_bounds_than_the_holds_need_cost_no_more_reads() {
    let times = ReadTimes::new(bounds(16_000, 5_000, 5_000, 2_000));

    assert_eq!((times.read_hold, times.listing_interval), (ms(600), ms(500)));
    assert_eq!(times.orders_stale, Duration::from_millis(2_500));
}

#[test]
fn pulls_end_together_only_where_the_bounds_need_it() {
    // Load pattern: hundreds of nodes pull from the one that reads the store; replies to all of them in
    // one moment keep it busy for longer than a pull may take.
    let short = ReadTimes::new(bounds(2_000, 5_000, 5_000, 2_000));
    let long = ReadTimes::new(bounds(3_000, 5_000, 5_000, 3_000));

    assert!(short.ends_pulls && !long.ends_pulls);
}
