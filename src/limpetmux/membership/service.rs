//! The event loop that owns the membership, and the poller of the host list.

use super::Reporter;
use crate::adapters::hosts::HostsClient;
use crate::core::config::Name;
use crate::core::membership::{HostState, HostStates, ListedHost, Membership, Observation};
use crate::core::view::View;
use crate::event;
use crate::kernel::{Kernel, KernelError, Port, Published, Publisher, ServiceId};
use crate::util::clock;
use crate::util::event::EventCode;
use std::future::pending;
use std::time::Duration;
use tokio::sync::mpsc;

/// The capacity of the service's message queue; further reports are dropped and repeated later.
const QUEUE_MESSAGES: usize = 1_024;
/// The minimum time between two reads of the host list.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// The poll interval per row of the list, which keeps the reads of the list within 8 KiB/s.
const POLL_PER_ROW: Duration = Duration::from_millis(8);

/// A message to the membership service.
#[derive(Clone, Debug)]
pub enum MembershipMessage {
    /// The platform's host list was read.
    Listed(Vec<ListedHost>),
    /// The request path observed a host.
    Observed {
        /// The host's name.
        host: Name,
        /// The reply or the failure to connect.
        observation: Observation,
    },
}

/// The sources of the membership service.
#[derive(Clone)]
pub struct MembershipParts {
    /// The configuration in force.
    pub views: Published<View>,
    /// The platform's host list, if the node reads it.
    pub hosts: Option<HostsClient>,
}

/// Registers the service and spawns it and the poller; both end with the kernel.
///
/// # Errors
/// Returns [`KernelError::AlreadyRegistered`] if the process already has a membership service.
pub fn start(kernel: &Kernel, parts: MembershipParts) -> Result<Reporter, KernelError> {
    let queue = kernel.register(ServiceId::Membership, QUEUE_MESSAGES)?;
    let port: Port<MembershipMessage> = kernel.find(ServiceId::Membership)?;
    let publisher = Publisher::new(HostStates::default());
    let reporter = Reporter::new(port, publisher.reader());
    tokio::spawn(serve(queue, parts.views, publisher));
    if let Some(hosts) = parts.hosts {
        tokio::spawn(poll(hosts, kernel.find(ServiceId::Membership)?));
    }
    Ok(reporter)
}

/// Returns the time until the next read of the host list, which had `rows` rows.
pub fn poll_interval(rows: usize) -> Duration {
    let rows = u32::try_from(rows).unwrap_or(u32::MAX);
    MIN_POLL_INTERVAL.max(POLL_PER_ROW.saturating_mul(rows))
}

async fn poll(hosts: HostsClient, port: Port<MembershipMessage>) {
    let mut rows = 0;
    let mut is_readable = true;
    loop {
        match (hosts.list)().await {
            Ok(list) => {
                rows = list.len();
                if !is_readable {
                    event!(EventCode::HostListBack, hosts = rows);
                }
                is_readable = true;
                if port.send(MembershipMessage::Listed(list)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if is_readable {
                    event!(EventCode::HostListDown, error = error);
                }
                is_readable = false;
            }
        }
        tokio::time::sleep(poll_interval(rows)).await;
    }
}

struct Service {
    membership: Membership,
    publisher: Publisher<HostStates>,
}

async fn serve(
    mut queue: mpsc::Receiver<MembershipMessage>,
    mut views: Published<View>,
    publisher: Publisher<HostStates>,
) {
    let mut service = Service { membership: Membership::default(), publisher };
    let mut view = views.load();
    let mut views_open = true;
    service.membership.apply_view(clock::now(), &view);
    service.publish(&view);
    loop {
        let now = clock::now();
        let timer = service.membership.next_change(now).map(|at| now.until(at));
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => service.on_message(message),
                None => return,
            },
            changed = views.changed(), if views_open => {
                views_open = changed;
                view = views.load();
                service.membership.apply_view(clock::now(), &view);
            }
            () = sleep_or_never(timer) => service.membership.tick(clock::now()),
        }
        service.publish(&view);
    }
}

async fn sleep_or_never(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => pending().await,
    }
}

impl Service {
    fn on_message(&mut self, message: MembershipMessage) {
        let now = clock::now();
        match message {
            MembershipMessage::Listed(rows) => self.membership.apply_list(now, &rows),
            MembershipMessage::Observed { host, observation } => {
                self.membership.observe(now, &host, observation)
            }
        }
    }

    fn publish(&self, view: &View) {
        let states = self.membership.states(view);
        let old = self.publisher.load();
        if *old == states {
            return;
        }
        for (key, status) in states.iter() {
            let before = old.status(view, key);
            if before.state != status.state {
                let cause = status.cause.map_or("none", Into::into);
                log_state(&view.hosts[key].name, status.state, cause);
            }
        }
        self.publisher.publish(states);
    }
}

fn log_state(host: &Name, state: HostState, cause: &'static str) {
    event!(EventCode::HostStateChanged, host = host, state = state, cause = cause);
}
