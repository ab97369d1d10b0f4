//! Decides whether an attempt may reach the backend server.

use super::admit::{Admitter, Permit};
use crate::adapters::backend::LoadReport;
use crate::core::admission::{FlowId, Load, Offer, ServerReport};
use crate::core::config::{Name, ServiceSpec};
use crate::core::keys::{HostKey, ServiceKey};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::revision::Revision;
use crate::core::view::View;
use crate::kernel::Published;
use crate::util::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The delay after which a refused entry may retry on this host.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Checks and admits attempts for one backend server.
pub struct Gate {
    host: Name,
    view: Published<View>,
    draining: Arc<AtomicBool>,
    admitter: Admitter,
}

/// The parameters of an attempt that the gate checks.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// The workspace of the request.
    pub workspace: &'a str,
    /// The pipeline.
    pub pipeline: &'a str,
    /// The stage's position in the pipeline.
    pub stage: u32,
    /// The priority; higher runs first.
    pub priority: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// An attempt that passed the checks, with the data that admission needs.
#[derive(Clone, Debug)]
pub struct CheckedAttempt {
    /// The configuration that the attempt was checked against.
    pub view: Arc<View>,
    /// The service that the host runs.
    pub service: ServiceKey,
    flow: FlowId,
    weight: u32,
    priority: u8,
    size: u32,
}

impl CheckedAttempt {
    /// Returns the declaration of the service.
    pub fn spec(&self) -> &ServiceSpec {
        &self.view.services[self.service].spec
    }
}

impl Gate {
    /// Creates the gate of a host.
    pub fn new(host: Name, view: Published<View>) -> Self {
        let draining = Arc::default();
        let gate = Self { host, view, draining, admitter: Admitter::new() };
        gate.apply_view();
        gate
    }

    /// Stops or resumes accepting attempts; stopping also refuses all queued ones.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
        self.apply_view();
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the shared flag that [`Gate::set_draining`] sets.
    pub fn draining_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.draining)
    }

    /// Returns the number of calls running on the backend server.
    pub fn inflight(&self) -> u32 {
        self.admitter.load().inflight
    }

    /// Returns whether no call is running or queued.
    pub fn is_idle(&self) -> bool {
        self.admitter.is_idle()
    }

    /// Returns a reader of the configuration in force.
    pub(super) fn views(&self) -> Published<View> {
        self.view.clone()
    }

    /// Applies the limits, the price and the serving state of the configuration in force.
    pub(super) fn apply_view(&self) {
        let view = self.view.load();
        let draining = self.draining.load(Ordering::Acquire);
        let Some(host) = view.host(self.host.as_str()) else {
            self.admitter.set_open(true, draining);
            return;
        };
        let row = &view.hosts[host];
        self.admitter.configure(&view.services[row.service].spec);
        self.admitter.set_open(view.zones[row.zone].serving, draining || !row.running);
    }

    /// Checks an attempt against the configuration in force on this host.
    ///
    /// # Errors
    /// Returns a refusal that proves that nothing ran.
    pub fn check(&self, info: AttemptInfo<'_>) -> Result<CheckedAttempt, Refusal> {
        let view = self.view.load();
        let host = self.check_host(&view)?;
        let service = view.hosts[host].service;
        let position = usize::try_from(info.stage).unwrap_or(usize::MAX);
        let stage = view
            .pipeline(info.pipeline)
            .and_then(|p| view.pipelines[p].stages.get(position))
            .filter(|s| s.service == service);
        let workspace = view.workspace(info.workspace);
        let (Some(_), Some(workspace)) = (stage, workspace) else {
            return Err(refuse(RefusalCode::Stale));
        };
        let row = &view.workspaces[workspace];
        Ok(CheckedAttempt {
            flow: FlowId::of(row.name.as_str()),
            weight: row.weight,
            priority: u8::try_from(info.priority).unwrap_or(u8::MAX),
            size: info.max_tokens,
            service,
            view,
        })
    }

    fn check_host(&self, view: &View) -> Result<HostKey, Refusal> {
        if self.draining.load(Ordering::Acquire) {
            return Err(refuse(RefusalCode::Draining));
        }
        if view.revision == Revision::EMPTY {
            return Err(refuse(RefusalCode::Unconfigured));
        }
        let host = view.host(self.host.as_str()).ok_or(refuse(RefusalCode::Stale))?;
        let row = &view.hosts[host];
        if !view.zones[row.zone].serving {
            return Err(refuse(RefusalCode::ZoneOut));
        }
        if !row.running {
            return Err(refuse(RefusalCode::Draining));
        }
        Ok(host)
    }

    /// Waits until the backend server has room for the call.
    ///
    /// # Errors
    /// Returns a refusal that proves that nothing ran.
    pub async fn admit(
        &self,
        checked: &CheckedAttempt,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let offer = Offer {
            flow: checked.flow,
            weight: checked.weight,
            priority: checked.priority,
            work: checked.size,
            deadline: clock::now() + remaining,
        };
        self.admitter.admit(offer).await
    }

    /// Applies a load report of the backend server.
    pub fn observe(&self, report: LoadReport) {
        self.admitter.observe(ServerReport {
            incarnation: report.incarnation,
            cold: report.cold,
            age: Duration::from_millis(report.age_ms),
        });
    }

    /// Returns the load as reported to entries.
    pub fn load(&self) -> Load {
        self.admitter.load()
    }
}

fn refuse(code: RefusalCode) -> Refusal {
    Refusal::not_run(code).retry_in(RETRY_AFTER)
}
