//! Pools of encoders, retrievers and rerankers.

use crate::backend::{Backend, BackendOptions, load, refuse};
use crate::engine::text_hash;
use crate::server::{Server, StartError};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use strum::Display;

const DOCUMENTS: u64 = 4;
const DIMENSIONS: u64 = 8;

/// The task of a pool's backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PoolKind {
    /// Turns the input into an embedding.
    Encode,
    /// Retrieves documents.
    Retrieve,
    /// Ranks documents.
    Rerank,
}

impl PoolKind {
    fn path(self) -> &'static str {
        match self {
            Self::Encode => "/v1/embeddings",
            Self::Retrieve => "/v1/search",
            Self::Rerank => "/v1/rerank",
        }
    }
}

/// A running backend server of a pool.
#[derive(Debug)]
pub struct Pool {
    /// The server.
    pub server: Server,
    /// The state, counters and fault switches.
    pub backend: Arc<Backend>,
}

handle!(Pool);

impl Pool {
    /// Starts one backend server.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(kind: PoolKind, options: BackendOptions) -> Result<Self, StartError> {
        let port = options.port;
        let backend = Backend::new(options);
        let route = Route::new()
            .at(kind.path(), post(run).data(kind))
            .at("/v1/load", get(load))
            .data(Arc::clone(&backend));
        let server = Server::start(port, route, Arc::clone(&backend.faults)).await?;
        Ok(Self { server, backend })
    }
}

/// Returns the output of a pool for an input; tests compare answers with it.
pub fn output(kind: PoolKind, input: &Value) -> Value {
    let hash = text_hash(&input.to_string());
    let document = |i: u64| (format!("doc-{:04x}-{i}", hash & 0xffff), format!("passage {i}"));
    match kind {
        PoolKind::Encode => {
            let number = |i| f64::from(((hash >> (i * 8)) & 0xff) as u32) / 256.0;
            let embedding: Vec<f64> = (0..DIMENSIONS).map(number).collect();
            json!({ "data": [{ "embedding": embedding }] })
        }
        PoolKind::Retrieve => {
            let row = |i| {
                let (id, text) = document(i);
                json!({ "id": id, "text": text })
            };
            json!({ "documents": (0..DOCUMENTS).map(row).collect::<Vec<_>>() })
        }
        PoolKind::Rerank => {
            let row = |i: u64| {
                let (id, text) = document(i);
                json!({ "id": id, "text": text, "score": 1.0 / (i as f64 + 1.0) })
            };
            json!({ "results": (0..DOCUMENTS).map(row).collect::<Vec<_>>() })
        }
    }
}

#[derive(Deserialize)]
struct RunBody {
    input: Value,
}

#[handler]
async fn run(
    backend: Data<&Arc<Backend>>,
    kind: Data<&PoolKind>,
    Json(body): Json<RunBody>,
) -> Response {
    let mut slot = match backend.acquire(0).await {
        Ok(slot) => slot,
        Err(full) => return refuse(full),
    };
    backend.work(1).await;
    slot.completed = true;
    if slot.is_aborted() {
        return StatusCode::INTERNAL_SERVER_ERROR.into();
    }
    Json(output(*kind.0, &body.input)).into_response()
}
