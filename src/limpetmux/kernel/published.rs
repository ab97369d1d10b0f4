//! Values that one owner replaces and many threads read without blocking.

use arc_swap::ArcSwap;
use std::sync::Arc;

/// The owner's handle, which replaces the value.
#[derive(Debug)]
pub struct Publisher<T> {
    cell: Arc<ArcSwap<T>>,
    version: tokio::sync::watch::Sender<u64>,
}

/// A reader's handle, which loads the latest value with one atomic read.
#[derive(Debug)]
pub struct Published<T> {
    cell: Arc<ArcSwap<T>>,
    version: tokio::sync::watch::Receiver<u64>,
}

impl<T> Clone for Published<T> {
    fn clone(&self) -> Self {
        Self { cell: Arc::clone(&self.cell), version: self.version.clone() }
    }
}

impl<T> Publisher<T> {
    /// Creates a publisher with an initial value.
    pub fn new(value: T) -> Self {
        Self {
            cell: Arc::new(ArcSwap::from_pointee(value)),
            version: tokio::sync::watch::Sender::new(0),
        }
    }

    /// Replaces the value for all readers and wakes those that wait for a change.
    pub fn publish(&self, value: T) {
        self.cell.store(Arc::new(value));
        self.version.send_modify(|v| *v += 1);
    }

    /// Returns the latest value.
    pub fn load(&self) -> Arc<T> {
        self.cell.load_full()
    }

    /// Returns a reader.
    pub fn reader(&self) -> Published<T> {
        Published { cell: Arc::clone(&self.cell), version: self.version.subscribe() }
    }
}

impl<T> Published<T> {
    /// Returns the latest value.
    pub fn load(&self) -> Arc<T> {
        self.cell.load_full()
    }

    /// Waits for the next replacement; returns `false` once the publisher is dropped.
    pub async fn changed(&mut self) -> bool {
        self.version.changed().await.is_ok()
    }
}
