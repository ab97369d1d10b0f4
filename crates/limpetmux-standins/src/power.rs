//! The platform's switch for hardware.

use crate::backend::Backend;
use crate::server::{Faults, Server, StartError};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Route, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One order that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PowerOrder {
    /// The host.
    pub host: String,
    /// Whether it was to be switched on.
    pub on: bool,
    /// The sender's fencing number, which the switch does not check.
    pub fence: u64,
}

#[derive(Debug, Default)]
struct State {
    backends: BTreeMap<String, Arc<Backend>>,
    orders: Vec<PowerOrder>,
}

/// A running power switch.
#[derive(Debug)]
pub struct Power {
    /// The server.
    pub server: Server,
    /// The fault switches.
    pub faults: Arc<Faults>,
    state: Arc<Mutex<State>>,
}

handle!(Power);

impl Power {
    /// Starts a switch without hosts.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(port: u16) -> Result<Self, StartError> {
        let state = Arc::new(Mutex::new(State::default()));
        let faults = Arc::new(Faults::default());
        let route = Route::new().at("/v1/hosts/:host/power", post(order)).data(Arc::clone(&state));
        let server = Server::start(port, route, Arc::clone(&faults)).await?;
        Ok(Self { server, faults, state })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects a backend server, which then follows the orders for its host.
    pub fn attach(&self, host: &str, backend: Arc<Backend>) {
        self.state().backends.insert(host.to_owned(), backend);
    }

    /// Returns all orders in the order of their arrival.
    pub fn orders(&self) -> Vec<PowerOrder> {
        self.state().orders.clone()
    }
}

#[derive(Deserialize)]
struct OrderBody {
    on: bool,
    fence: u64,
}

#[derive(Serialize)]
struct Switched {
    on: bool,
}

#[handler]
async fn order(
    state: Data<&Arc<Mutex<State>>>,
    Path(host): Path<String>,
    Json(body): Json<OrderBody>,
) -> Json<Switched> {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(backend) = state.backends.get(&host) {
        backend.set_power(body.on);
    }
    state.orders.push(PowerOrder { host, on: body.on, fence: body.fence });
    Json(Switched { on: body.on })
}
