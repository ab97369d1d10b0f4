//! The platform's service that switches hosts on and off.

use crate::backend::Backend;
use crate::server::{Faults, Server, StartError};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Route, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A power order that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PowerOrder {
    /// The host.
    pub host: String,
    /// Whether to switch the host on.
    pub on: bool,
    /// The sender's fencing number, which the service does not check.
    pub fence: u64,
}

#[derive(Debug, Default)]
struct State {
    backends: BTreeMap<String, Arc<Backend>>,
    orders: Vec<PowerOrder>,
}

/// A running power service.
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
    /// Starts the service without hosts.
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

    /// Registers the backend server that orders for `host` switch on and off.
    pub fn attach(&self, host: &str, backend: Arc<Backend>) {
        self.state().backends.insert(host.to_owned(), backend);
    }

    /// Returns all orders in order of arrival.
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
struct PowerReply {
    on: bool,
}

#[handler]
async fn order(
    state: Data<&Arc<Mutex<State>>>,
    Path(host): Path<String>,
    Json(body): Json<OrderBody>,
) -> Json<PowerReply> {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(backend) = state.backends.get(&host) {
        backend.set_power(body.on);
    }
    state.orders.push(PowerOrder { host, on: body.on, fence: body.fence });
    Json(PowerReply { on: body.on })
}
