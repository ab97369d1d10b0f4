//! Stepping back of a node that reads the store for all and cannot.
//!
//! The result of each read of the store says whether this node can read it. Other nodes learn of a
//! change with the replies to their pulls, which end at once, and the next node in the order reads. See
//! `docs/design/platform.md`.

use super::Follower;
use crate::event;
use crate::platform::store::StoreError;
use crate::util::event::EventCode;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::timeout;

/// Whether the last read of each topic failed or is late.
#[derive(Debug, Default)]
pub(super) struct LostReads {
    pub(super) orders: AtomicBool,
    pub(super) listing: AtomicBool,
}

impl LostReads {
    fn any(&self) -> bool {
        self.orders.load(Ordering::Relaxed) || self.listing.load(Ordering::Relaxed)
    }
}

impl Follower {
    /// Reads a topic; lets another node read for all as soon as the read is late or fails.
    pub(super) async fn watch(
        &self,
        is_lost: &AtomicBool,
        read: impl Future<Output = Result<(), StoreError>>,
    ) -> Result<(), StoreError> {
        let mut read = pin!(read);
        let result = match timeout(self.times().read_late, &mut read).await {
            Ok(result) => result,
            Err(_) => {
                self.record_read(is_lost, true, "no answer in time");
                read.await
            }
        };
        let reason = result.as_ref().map_or_else(ToString::to_string, |()| String::new());
        self.record_read(is_lost, result.is_err(), &reason);
        result
    }

    /// Records whether a read failed, and tells the nodes whose pulls this one holds.
    fn record_read(&self, is_lost: &AtomicBool, lost: bool, reason: &str) {
        is_lost.store(lost, Ordering::Relaxed);
        let any = self.lost.any();
        if !self.shared.nodes().set_store_lost(any) {
            return;
        }
        match any {
            true => event!(EventCode::ReaderSteppedBack, reason = reason),
            false => event!(EventCode::ReaderBack),
        }
        self.update(|_| ());
    }
}
