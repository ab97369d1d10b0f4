//! Decides whether an attempt may reach the backend server.

use crate::adapters::backend::LoadReport;
use crate::core::config::{Name, ServiceSpec};
use crate::core::revision::Revision;
use crate::core::verdict::{Refusal, RefusalCode};
use crate::core::view::View;
use crate::kernel::Published;
use crate::wire::stage;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// How long a refused entry should wait before it asks this host again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// The most calls that a backend server may be declared to run at once.
const CONCURRENCY_CEILING: usize = 65_536;

/// The gate of one backend server.
pub struct Gate {
    host: Name,
    view: Published<View>,
    draining: Arc<AtomicBool>,
    report: Mutex<Option<LoadReport>>,
    slots: Arc<Semaphore>,
    limit: AtomicU32,
    inflight: Arc<AtomicU32>,
    queued: AtomicU32,
}

/// What the gate found out about an attempt that it lets pass.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The declaration of the service.
    pub service: ServiceSpec,
    /// The revision that the verdict is based on.
    pub revision: Revision,
}

/// The right to one call on the backend server, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    _slot: OwnedSemaphorePermit,
    inflight: Arc<AtomicU32>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Gate {
    /// Creates the gate of a host.
    pub fn new(host: Name, view: Published<View>) -> Self {
        Self {
            host,
            view,
            draining: Arc::default(),
            report: Mutex::new(None),
            slots: Arc::new(Semaphore::new(0)),
            limit: AtomicU32::new(0),
            inflight: Arc::default(),
            queued: AtomicU32::new(0),
        }
    }

    /// Stops or resumes the acceptance of new attempts.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    /// Returns the switch of [`Gate::set_draining`], for those that follow it.
    pub fn draining(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.draining)
    }

    /// Returns the number of calls that run on the backend server.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Checks an attempt against the configuration in force on this host.
    ///
    /// # Errors
    /// Returns a refusal that is proven to have run nothing.
    pub fn check(&self, pipeline: &str, stage: u32) -> Result<Admitted, Refusal> {
        let refuse = |code| Err(Refusal::not_run(code).retry_in(RETRY_AFTER));
        if self.draining.load(Ordering::Acquire) {
            return refuse(RefusalCode::Draining);
        }
        let view = self.view.load();
        if view.revision == Revision::EMPTY {
            return refuse(RefusalCode::Unconfigured);
        }
        let Some(host) = view.host(self.host.as_str()) else {
            return refuse(RefusalCode::Stale);
        };
        let row = &view.hosts[host];
        if !view.zones[row.zone].serving {
            return refuse(RefusalCode::ZoneOut);
        }
        if !row.running {
            return refuse(RefusalCode::Draining);
        }
        let declared = view.pipeline(pipeline).and_then(|p| {
            view.pipelines[p].stages.get(usize::try_from(stage).unwrap_or(usize::MAX))
        });
        match declared {
            Some(declared) if declared.service == row.service => {
                let service = view.services[row.service].spec.clone();
                Ok(Admitted { service, revision: view.revision })
            }
            _ => refuse(RefusalCode::Stale),
        }
    }

    /// Waits for room on the backend server.
    ///
    /// # Errors
    /// Returns a refusal that is proven to have run nothing once the deadline has passed.
    pub async fn admit(&self, admitted: &Admitted, deadline: Instant) -> Result<Permit, Refusal> {
        self.follow(admitted.service.concurrency);
        self.queued.fetch_add(1, Ordering::Relaxed);
        let slot = tokio::time::timeout_at(deadline, Arc::clone(&self.slots).acquire_owned()).await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        let Ok(Ok(slot)) = slot else {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_in(RETRY_AFTER));
        };
        self.inflight.fetch_add(1, Ordering::Relaxed);
        Ok(Permit { _slot: slot, inflight: Arc::clone(&self.inflight) })
    }

    /// Stores a new report of the backend server.
    pub fn observe(&self, report: Option<LoadReport>) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = report;
    }

    /// Returns the load as entries are told it.
    pub fn load(&self) -> stage::Load {
        let report = *self.report.lock().unwrap_or_else(PoisonError::into_inner);
        stage::Load {
            inflight: self.inflight(),
            queued: self.queued.load(Ordering::Relaxed),
            limit: self.limit.load(Ordering::Relaxed),
            cold: report.is_some_and(|r| r.cold),
            draining: self.draining.load(Ordering::Acquire),
            incarnation: report.map_or(0, |r| r.incarnation),
            first_us: 0,
            process: 0,
        }
    }

    fn follow(&self, concurrency: u32) {
        let old = self.limit.swap(concurrency, Ordering::Relaxed);
        let (old, new) = (clamp(old), clamp(concurrency));
        if new > old {
            self.slots.add_permits(new - old);
        } else if old > new {
            self.slots.forget_permits(old - new);
        }
    }
}

fn clamp(concurrency: u32) -> usize {
    usize::try_from(concurrency).unwrap_or(CONCURRENCY_CEILING).min(CONCURRENCY_CEILING)
}
