//! The registry of services and the ports through which they receive messages.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use strum::{Display, IntoStaticStr};
use tokio::sync::{mpsc, oneshot};

/// The name of a service of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceId {
    /// Folds the configuration log and publishes views.
    Control,
    /// Exchanges configuration records with peers.
    #[strum(serialize = "spread")]
    Gossip,
    /// Tracks the state of hosts.
    Membership,
    /// Batches claims of idempotency keys into log appends.
    Claims,
    /// Plans which hosts run and which sleep.
    Planner,
    /// Sums up cost and attainment.
    Accounting,
    /// Coordinates a graceful shutdown.
    Shutdown,
    /// Collects observations about backend servers.
    Observations,
}

/// An error of the registry or of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KernelError {
    /// No service is registered under the name.
    #[error("no service is registered as `{0}`")]
    NotRegistered(ServiceId),
    /// The name is already registered.
    #[error("a service is already registered as `{0}`")]
    AlreadyRegistered(ServiceId),
    /// The service receives messages of another type.
    #[error("service `{0}` receives another type of message")]
    Mismatch(ServiceId),
    /// The service has ended.
    #[error("service `{0}` has ended")]
    Ended(ServiceId),
    /// The service's queue is full.
    #[error("the queue of service `{0}` is full")]
    Full(ServiceId),
}

/// Sends messages to one service.
#[derive(Debug)]
pub struct Port<M> {
    id: ServiceId,
    sender: mpsc::Sender<M>,
}

impl<M> Clone for Port<M> {
    fn clone(&self) -> Self {
        Self { id: self.id, sender: self.sender.clone() }
    }
}

impl<M: Send + 'static> Port<M> {
    /// Sends a message, waiting while the queue is full.
    ///
    /// # Errors
    /// Returns [`KernelError::Ended`] if the service no longer receives.
    pub async fn send(&self, message: M) -> Result<(), KernelError> {
        self.sender.send(message).await.map_err(|_| KernelError::Ended(self.id))
    }

    /// Sends a message without waiting, for observations that may be dropped.
    ///
    /// # Errors
    /// Returns [`KernelError::Full`] if the queue is full, or [`KernelError::Ended`].
    pub fn try_send(&self, message: M) -> Result<(), KernelError> {
        self.sender.try_send(message).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => KernelError::Full(self.id),
            mpsc::error::TrySendError::Closed(_) => KernelError::Ended(self.id),
        })
    }

    /// Sends a message that carries a reply channel and waits for the reply.
    ///
    /// # Errors
    /// Returns [`KernelError::Ended`] if the service ends before it replies.
    pub async fn ask<R>(
        &self,
        message: impl FnOnce(oneshot::Sender<R>) -> M,
    ) -> Result<R, KernelError> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply)).await?;
        answer.await.map_err(|_| KernelError::Ended(self.id))
    }
}

/// Connects the services of one process.
#[derive(Debug, Default)]
pub struct Kernel {
    ports: Mutex<BTreeMap<ServiceId, Box<dyn Any + Send>>>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service and returns the queue from which it receives.
    ///
    /// # Errors
    /// Returns [`KernelError::AlreadyRegistered`] if the name is in use.
    pub fn register<M: Send + 'static>(
        &self,
        id: ServiceId,
        capacity: usize,
    ) -> Result<mpsc::Receiver<M>, KernelError> {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        if ports.contains_key(&id) {
            return Err(KernelError::AlreadyRegistered(id));
        }
        let (sender, receiver) = mpsc::channel(capacity);
        ports.insert(id, Box::new(Port { id, sender }));
        Ok(receiver)
    }

    /// Finds the port of a service.
    ///
    /// # Errors
    /// Returns [`KernelError::NotRegistered`] or [`KernelError::Mismatch`].
    pub fn find<M: Send + 'static>(&self, id: ServiceId) -> Result<Port<M>, KernelError> {
        let ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        let port = ports.get(&id).ok_or(KernelError::NotRegistered(id))?;
        port.downcast_ref::<Port<M>>().cloned().ok_or(KernelError::Mismatch(id))
    }
}
