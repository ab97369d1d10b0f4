//! Orders the backend server beside a sidecar to load the model of its service.
//!
//! The order has the fencing number of the planner's lease, like the accepted plan. Every sidecar
//! sends orders only to its own backend server and only from the folded plan, so a planner that
//! lost its lease sends none. A delayed order of an earlier process of the sidecar is refused by a
//! backend server that checks fencing numbers. To one that ignores them, the newest order is sent
//! periodically, so that it overrides a delayed one.

use super::PowerView;
use crate::adapters::orders::{ModelOrder, OrderError, OrdersClient};
use crate::core::config::{Fencing, Name};
use crate::core::view::View;
use crate::event;
use crate::kernel::Published;
use crate::util::event::EventCode;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

/// The wait after a failed order, and the interval for checking the backend server's incarnation.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// The time between two orders to a backend server that ignores fencing numbers.
const REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// The inputs for the orders to one host's backend server.
#[derive(Clone)]
pub struct ModelParts {
    /// The host.
    pub host: Name,
    /// The configuration in force.
    pub views: Published<View>,
    /// The accepted plan.
    pub power: Published<PowerView>,
    /// The client that sends orders to the backend server.
    pub orders: OrdersClient,
    /// Returns the incarnation of the backend server, which unloads its models when it restarts.
    pub incarnation: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// Orders the backend server to load the planned model, after every change of the plan or restart
/// of the server, until the future is dropped.
pub async fn follow_model(mut parts: ModelParts) {
    let mut applied: Option<(ModelOrder, u64)> = None;
    loop {
        let wanted = parts.wanted();
        let repeat = if wanted.as_ref().is_some_and(|w| w.fencing == Fencing::Ignored) {
            REPEAT_INTERVAL
        } else {
            Duration::MAX
        };
        let target = wanted.map(|w| (w.order, (parts.incarnation)()));
        if let Some((order, incarnation)) = target.filter(|target| applied.as_ref() != Some(target))
        {
            if !send(&parts.orders, &order).await {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            applied = Some((order, incarnation));
        }
        tokio::select! {
            () = parts.changed(applied.as_ref().map(|(_, incarnation)| *incarnation)) => {}
            () = sleep_or_never(repeat) => applied = None,
        }
    }
}

/// The order that the plan requires and how the backend server treats fencing numbers.
struct Wanted {
    order: ModelOrder,
    fencing: Fencing,
}

impl ModelParts {
    fn wanted(&self) -> Option<Wanted> {
        let view = self.views.load();
        let host = view.host(self.host.as_str())?;
        let spec = &view.services[view.hosts[host].service].spec;
        let (model, fence) = (spec.model.clone()?, self.power.load().fence?);
        Some(Wanted { order: ModelOrder { model, fence }, fencing: spec.fencing })
    }

    /// Waits until the order may have changed or the backend server may have restarted.
    async fn changed(&mut self, incarnation: Option<u64>) {
        let restarted = async {
            let Some(known) = incarnation else { return pending().await };
            while (self.incarnation)() == known {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            open = self.views.changed() => if !open { pending().await },
            open = self.power.changed() => if !open { pending().await },
            () = restarted => {}
        }
    }
}

async fn sleep_or_never(time: Duration) {
    match time {
        Duration::MAX => pending().await,
        time => tokio::time::sleep(time).await,
    }
}

/// Sends one order; returns `false` if it has to be sent again.
async fn send(orders: &OrdersClient, order: &ModelOrder) -> bool {
    match (orders.send)(order.clone()).await {
        Ok(()) => {
            event!(EventCode::ModelOrdered, model = order.model, fence = order.fence);
            true
        }
        Err(OrderError::Fenced) => {
            event!(EventCode::ModelOrderFenced, model = order.model, fence = order.fence);
            true
        }
        Err(error) => {
            event!(EventCode::DutyStepFailed, error = error);
            false
        }
    }
}
