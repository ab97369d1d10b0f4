//! Splits the price of a backend server's time among the calls that it runs.

use crate::core::time::Moment;

const MICROS_PER_SECOND: u128 = 1_000_000;
/// Sums are kept in this many parts of a millionth, so that rounding errors do not accumulate.
const FRACTION: u128 = 1 << 20;

/// The state of a meter when a call started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u128);

/// Integrates the price of one backend server divided by the number of running calls.
///
/// The cost of a call is the growth of this integral while the call runs, so the costs of all calls
/// add up to the price of the time in which the backend server was busy. Time without calls is
/// counted separately.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Millionths of the accounting unit per second.
    price: u64,
    running: u32,
    /// The time up to which the sums are counted.
    counted_to: Moment,
    per_call: u128,
    idle: u128,
}

impl Meter {
    /// Creates the meter of a backend server; the price is in millionths per second.
    pub fn new(now: Moment, price: u64) -> Self {
        Self { price, running: 0, counted_to: now, per_call: 0, idle: 0 }
    }

    /// Changes the price from now on.
    pub fn set_price(&mut self, now: Moment, price: u64) {
        self.advance(now);
        self.price = price;
    }

    /// Records the start of a call.
    pub fn start_call(&mut self, now: Moment) -> Mark {
        self.advance(now);
        self.running += 1;
        Mark(self.per_call)
    }

    /// Records the end of a call and returns its cost in millionths of the accounting unit.
    pub fn end_call(&mut self, now: Moment, mark: Mark) -> u64 {
        self.advance(now);
        self.running = self.running.saturating_sub(1);
        let cost = self.per_call.saturating_sub(mark.0) / FRACTION;
        u64::try_from(cost).unwrap_or(u64::MAX)
    }

    /// Returns the cost of the time without calls so far, in millionths of the accounting unit.
    pub fn idle(&mut self, now: Moment) -> u64 {
        self.advance(now);
        u64::try_from(self.idle / FRACTION).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Moment) {
        let us = now.since(self.counted_to).as_micros();
        let cost = us * u128::from(self.price) * FRACTION / MICROS_PER_SECOND;
        match self.running {
            0 => self.idle += cost,
            n => self.per_call += cost / u128::from(n),
        }
        self.counted_to = self.counted_to.max(now);
    }
}
