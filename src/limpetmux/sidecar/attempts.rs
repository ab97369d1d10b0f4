//! Tracks running attempts, and those that were cancelled before they arrived.

use crate::core::frames::AttemptKey;
use crate::core::refusal::Execution;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// The maximum number of ended or cancelled attempts to remember.
const MAX_FINISHED: usize = 16_384;

/// The attempt was cancelled before its call was sent to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the attempt was cancelled before it ran")]
pub struct Cancelled;

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BeginError {
    /// The attempt was cancelled before it ran, so it never runs.
    #[error(transparent)]
    Cancelled(#[from] Cancelled),
    /// The attempt arrived before, so it may have run.
    #[error("the attempt arrived before")]
    Repeated,
}

impl BeginError {
    /// Returns how much of the attempt may have run.
    pub fn execution(self) -> Execution {
        match self {
            Self::Cancelled(_) => Execution::NotRun,
            Self::Repeated => Execution::Unknown,
        }
    }
}

#[derive(Debug)]
enum State {
    Waiting(oneshot::Sender<()>),
    Dispatched(oneshot::Sender<()>),
    Ended,
    Tombstone,
}

#[derive(Debug, Default)]
struct Table {
    states: BTreeMap<AttemptKey, State>,
    finished: VecDeque<AttemptKey>,
}

/// The attempts of one sidecar.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    table: Arc<Mutex<Table>>,
}

/// Keeps an attempt registered until it is dropped.
#[derive(Debug)]
pub struct Registration {
    key: AttemptKey,
    table: Arc<Mutex<Table>>,
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Attempts {
    /// Registers an attempt and returns the channel that signals its cancellation.
    ///
    /// # Errors
    /// Returns [`BeginError`] if the attempt was cancelled before or is already known.
    pub fn begin(
        &self,
        key: AttemptKey,
    ) -> Result<(Registration, oneshot::Receiver<()>), BeginError> {
        let mut table = lock(&self.table);
        match table.states.get(&key) {
            None => {}
            Some(State::Tombstone) => return Err(Cancelled.into()),
            Some(_) => return Err(BeginError::Repeated),
        }
        let (sender, receiver) = oneshot::channel();
        table.states.insert(key, State::Waiting(sender));
        Ok((Registration { key, table: Arc::clone(&self.table) }, receiver))
    }

    /// Cancels an attempt, or stores a tombstone that keeps it from starting.
    ///
    /// Returns [`Execution::NotRun`] only if the call was not and will not be sent to the backend
    /// server.
    pub fn cancel(&self, key: AttemptKey) -> Execution {
        let mut table = lock(&self.table);
        match table.states.remove(&key) {
            None | Some(State::Tombstone) => {
                table.insert_finished(key, State::Tombstone);
                Execution::NotRun
            }
            Some(State::Waiting(signal)) => {
                // Sending fails only if the attempt has just ended.
                let _ = signal.send(());
                table.states.insert(key, State::Tombstone);
                Execution::NotRun
            }
            Some(State::Dispatched(signal)) => {
                let _ = signal.send(());
                table.states.insert(key, State::Ended);
                Execution::Unknown
            }
            Some(State::Ended) => {
                table.states.insert(key, State::Ended);
                Execution::Unknown
            }
        }
    }
}

impl Registration {
    /// Marks the attempt as sent to the backend server; call this before sending.
    ///
    /// # Errors
    /// Returns [`Cancelled`] if the attempt was cancelled; the call must not be sent then.
    pub fn dispatch(&self) -> Result<(), Cancelled> {
        let mut table = lock(&self.table);
        match table.states.remove(&self.key) {
            Some(State::Waiting(signal)) => {
                table.states.insert(self.key, State::Dispatched(signal));
                Ok(())
            }
            other => {
                table.states.extend(other.map(|state| (self.key, state)));
                Err(Cancelled)
            }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut table = lock(&self.table);
        let state = match table.states.remove(&self.key) {
            Some(State::Tombstone) => State::Tombstone,
            _ => State::Ended,
        };
        table.insert_finished(self.key, state);
    }
}

impl Table {
    fn insert_finished(&mut self, key: AttemptKey, state: State) {
        self.states.insert(key, state);
        self.finished.push_back(key);
        while self.finished.len() > MAX_FINISHED {
            let Some(oldest) = self.finished.pop_front() else { break };
            let ended = |s: &State| matches!(s, State::Ended | State::Tombstone);
            if self.states.get(&oldest).is_some_and(ended) {
                self.states.remove(&oldest);
            }
        }
    }
}
