//! Orders the backend server beside a sidecar to load the model of its service.
//!
//! The order carries the fencing number of the planner's tenure, as the accepted plan does. Every
//! sidecar orders its own backend server only, from the folded plan, so no order of a planner that
//! lost its lease exists. A late order of an earlier process of the sidecar is refused by a backend
//! server that checks fencing numbers; one that ignores them is told the newest order again and
//! again, so a late one does not last.

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

/// The wait after an order that failed, and between two looks at the backend server's incarnation.
const LOOK: Duration = Duration::from_secs(5);
/// The time between two orders to a backend server that ignores fencing numbers.
const REPEAT: Duration = Duration::from_secs(60);

/// What the orders of one host follow from.
#[derive(Clone)]
pub struct ModelParts {
    /// The host.
    pub host: Name,
    /// The configuration in force.
    pub views: Published<View>,
    /// The accepted plan.
    pub power: Published<PowerView>,
    /// The orders of the backend server.
    pub orders: OrdersClient,
    /// Returns the incarnation of the backend server, which loses its models when it restarts.
    pub incarnation: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// Keeps the backend server's model in step until the future is dropped.
pub async fn follow_model(mut parts: ModelParts) {
    let mut applied: Option<(ModelOrder, u64)> = None;
    loop {
        let wanted = parts.wanted();
        let repeat = if wanted.as_ref().is_some_and(|w| w.fencing == Fencing::Ignored) {
            REPEAT
        } else {
            Duration::MAX
        };
        let next = wanted.map(|w| (w.order, (parts.incarnation)()));
        if let Some((order, incarnation)) = next.filter(|next| applied.as_ref() != Some(next)) {
            if !send(&parts.orders, &order).await {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            applied = Some((order, incarnation));
        }
        tokio::select! {
            () = parts.changed(applied.as_ref().map(|(_, incarnation)| *incarnation)) => {}
            () = sleep(repeat) => applied = None,
        }
    }
}

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

    /// Waits until the order or the backend server may have become another one.
    async fn changed(&mut self, incarnation: Option<u64>) {
        let restarted = async {
            let Some(known) = incarnation else { return pending().await };
            while (self.incarnation)() == known {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::select! {
            open = self.views.changed() => if !open { pending().await },
            open = self.power.changed() => if !open { pending().await },
            () = restarted => {}
        }
    }
}

async fn sleep(time: Duration) {
    match time {
        Duration::MAX => pending().await,
        time => tokio::time::sleep(time).await,
    }
}

/// Sends one order; returns whether there is nothing more to be done about it.
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
