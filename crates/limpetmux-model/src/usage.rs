//! Use of the capacity of backend servers.

use std::ops::AddAssign;

/// Call-seconds at full speed; `idle`, `slowed` and `done` add up to `capacity`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Work that could have been done.
    pub capacity: f64,
    /// Unused because fewer calls ran than the capacity allows.
    pub idle: f64,
    /// Lost because too many calls ran at once, or the backend server was cold or slow.
    pub slowed: f64,
    /// Work done.
    pub done: f64,
    /// The part of `done` that was spent on requests that did not complete in time.
    pub wasted: f64,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.capacity += other.capacity;
        self.idle += other.idle;
        self.slowed += other.slowed;
        self.done += other.done;
        self.wasted += other.wasted;
    }
}
