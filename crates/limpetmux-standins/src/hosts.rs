//! The platform's list of hosts, which reports changes after a delay.

use crate::server::{Faults, Server, StartError};
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::Display;
use tokio::time::Instant;

/// The state that the platform reports of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to be removed.
    Leaving,
    /// The host has been removed.
    Gone,
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    host: String,
    state: HostState,
    incarnation: u64,
}

#[derive(Debug, Default)]
struct State {
    changes: Vec<(Instant, Row)>,
    lag: Duration,
    frozen: Option<Instant>,
}

impl State {
    fn rows(&self) -> Vec<Row> {
        let now = self.frozen.unwrap_or_else(Instant::now);
        let visible = self.changes.iter().filter(|(at, _)| *at + self.lag <= now);
        let rows: BTreeMap<&str, &Row> = visible.map(|(_, r)| (r.host.as_str(), r)).collect();
        rows.into_values().cloned().collect()
    }
}

/// A running host list.
#[derive(Debug)]
pub struct Hosts {
    /// The server.
    pub server: Server,
    /// The fault switches.
    pub faults: Arc<Faults>,
    state: Arc<Mutex<State>>,
}

handle!(Hosts);

impl Hosts {
    /// Starts an empty list that reports changes after `lag`.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(port: u16, lag: Duration) -> Result<Self, StartError> {
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let faults = Arc::new(Faults::default());
        let route = Route::new().at("/v1/hosts", get(list)).data(Arc::clone(&state));
        let server = Server::start(port, route, Arc::clone(&faults)).await?;
        Ok(Self { server, faults, state })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the actual state of a host; the list reports it after the lag.
    pub fn set(&self, host: &str, state: HostState, incarnation: u64) {
        let row = Row { host: host.to_owned(), state, incarnation };
        self.state().changes.push((Instant::now(), row));
    }

    /// Freezes the reported list at its current state while on, as a stale replica does.
    pub fn set_frozen(&self, on: bool) {
        self.state().frozen = on.then(Instant::now);
    }
}

#[handler]
async fn list(state: Data<&Arc<Mutex<State>>>) -> Json<Vec<Row>> {
    Json(state.lock().unwrap_or_else(PoisonError::into_inner).rows())
}
