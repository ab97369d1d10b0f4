//! Requests that the waits along their chain would make late are refused before their first stage.

use super::{arc, at, ms};
use limpetmux::core::pressure::{Pressure, refuse};

#[test]
fn reported_wait_drains_and_is_forgotten() {
    let mut pressure = Pressure::default();
    pressure.note(at(0), &arc("a"), ms(900));

    assert_eq!(pressure.wait(at(0), "a"), ms(900));
    assert_eq!(pressure.wait(at(400), "a"), ms(500));
    assert_eq!(pressure.wait(at(2_100), "a"), ms(0));
    assert_eq!(pressure.wait(at(0), "b"), ms(0));
}

#[test]
fn only_a_long_wait_that_makes_late_refuses() {
    // Pattern: a burst fills the chain; whoever would be late anyway must not take its stages.
    assert_eq!(refuse(ms(1_000), ms(1_500), ms(800)), None, "still on time");
    assert_eq!(refuse(ms(1_800), ms(1_500), ms(200)), None, "slow by itself, nobody waits");
    assert_eq!(refuse(ms(2_500), ms(1_500), ms(1_200)), Some(ms(1_000)));
}
