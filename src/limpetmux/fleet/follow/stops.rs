//! Records that reading from the store or from another node stopped at a bound.

use super::Follower;
use crate::core::read_limits::{Exceeded, Peer};
use crate::platform::store::StoreError;
use crate::util::read_stop;
use std::net::SocketAddr;
use std::time::Duration;

impl Follower {
    /// Records a call to the store whose answer exceeded a bound.
    pub(super) fn record_stop<T>(&self, topic: &str, result: &Result<T, StoreError>) {
        if let Err(StoreError::Exceeded(exceeded)) = result {
            read_stop::record(&self.shared.metrics, *exceeded, topic);
        }
    }

    /// Records a pull from another node that took too long.
    pub(super) fn record_late_pull(&self, addr: SocketAddr, time: Duration) {
        let late = Exceeded::time(Peer::Node, time);
        read_stop::record(&self.shared.metrics, late, addr);
    }
}
