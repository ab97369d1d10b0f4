//! A client of the entry's HTTP API.

use eventsource_stream::{Event, Eventsource};
use futures::{FutureExt, StreamExt, stream};
use reqwest::{Client, Response};
use serde_json::Value;

/// A caller with its own connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    base: String,
}

/// A response that was read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: String,
    /// The `Retry-After` in seconds, if present.
    pub retry_after: Option<u64>,
    /// The body, or null if it is not JSON.
    pub body: Value,
}

impl Caller {
    /// Creates a caller of the entry at a base URL.
    ///
    /// # Panics
    /// Panics if the HTTP client cannot be set up.
    pub fn new(base: &str) -> Self {
        match Client::builder().no_proxy().build() {
            Ok(client) => Self { client, base: base.to_owned() },
            Err(e) => panic!("{e}"),
        }
    }

    /// Returns the URL that runs a pipeline.
    pub fn run_url(&self, workspace: &str, pipeline: &str) -> String {
        format!("{}/v1/workspaces/{workspace}/pipelines/{pipeline}/runs", self.base)
    }

    /// Runs a pipeline and reads the whole response.
    pub async fn run(&self, workspace: &str, pipeline: &str, body: &Value) -> Answer {
        self.post(workspace, pipeline, None, body.to_string()).await
    }

    /// Runs a pipeline with an idempotency key and reads the whole response.
    pub async fn run_once(
        &self,
        workspace: &str,
        pipeline: &str,
        key: &str,
        body: &Value,
    ) -> Answer {
        self.post(workspace, pipeline, Some(key), body.to_string()).await
    }

    /// Looks up the outcome of an idempotency key.
    ///
    /// # Panics
    /// Panics if the entry cannot be reached.
    pub async fn outcome(&self, workspace: &str, pipeline: &str, key: &str) -> Answer {
        let base = &self.base;
        let url = format!("{base}/v1/workspaces/{workspace}/pipelines/{pipeline}/outcomes/{key}");
        self.fetch(url).await
    }

    /// Sends a run request with an arbitrary body and reads the whole response.
    ///
    /// # Panics
    /// Panics if the entry cannot be reached.
    pub async fn post(
        &self,
        workspace: &str,
        pipeline: &str,
        key: Option<&str>,
        body: impl Into<reqwest::Body>,
    ) -> Answer {
        match self.try_post(workspace, pipeline, key, body).await {
            Ok(answer) => answer,
            Err(e) => panic!("{e}"),
        }
    }

    /// Sends a run request with an arbitrary body and reads the whole response.
    ///
    /// # Errors
    /// Returns an error if the entry cannot be reached or the connection breaks.
    pub async fn try_post(
        &self,
        workspace: &str,
        pipeline: &str,
        key: Option<&str>,
        body: impl Into<reqwest::Body>,
    ) -> reqwest::Result<Answer> {
        let mut request = self.client.post(self.run_url(workspace, pipeline)).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        read(request.send().await?).await
    }

    /// Fetches a path below the base URL.
    ///
    /// # Panics
    /// Panics if the entry cannot be reached.
    pub async fn get(&self, path: &str) -> Answer {
        self.fetch(format!("{}{path}", self.base)).await
    }

    async fn fetch(&self, url: String) -> Answer {
        let response = async { read(self.client.get(url).send().await?).await };
        match response.await {
            Ok(answer) => answer,
            Err(e) => panic!("{e}"),
        }
    }

    /// Starts a streamed run and returns the response without reading its body.
    ///
    /// # Panics
    /// Panics if the entry cannot be reached.
    pub async fn open_stream(&self, workspace: &str, pipeline: &str, body: &Value) -> Response {
        let mut body = body.clone();
        body["stream"] = Value::Bool(true);
        let request = self.client.post(self.run_url(workspace, pipeline));
        match request.body(body.to_string()).send().await {
            Ok(answer) => answer,
            Err(e) => panic!("{e}"),
        }
    }

    /// Runs a pipeline as a stream and returns its events.
    ///
    /// # Panics
    /// Panics if the entry cannot be reached or the stream breaks.
    pub async fn stream(&self, workspace: &str, pipeline: &str, body: &Value) -> Vec<Event> {
        match self.try_stream(workspace, pipeline, body).await {
            Ok(events) => events,
            Err(e) => panic!("{e}"),
        }
    }

    /// Runs a pipeline as a stream and returns its events.
    ///
    /// # Errors
    /// Returns an error if the stream breaks.
    pub async fn try_stream(
        &self,
        workspace: &str,
        pipeline: &str,
        body: &Value,
    ) -> reqwest::Result<Vec<Event>> {
        let answer = self.open_stream(workspace, pipeline, body).await;
        Ok(read_events(&answer.bytes().await?))
    }
}

async fn read(response: Response) -> reqwest::Result<Answer> {
    let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    let status = response.status().as_u16();
    let content_type = header("content-type").unwrap_or_default().to_owned();
    let retry_after = header("retry-after").and_then(|v| v.parse().ok());
    let body = response.bytes().await?;
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok(Answer { status, content_type, retry_after, body })
}

/// Parses the events of a complete body up to the first malformed one.
pub fn read_events(body: &[u8]) -> Vec<Event> {
    let chunks = stream::iter([Ok::<_, std::convert::Infallible>(body.to_vec())]);
    let events = chunks.eventsource().take_while(|e| std::future::ready(e.is_ok()));
    events.filter_map(|e| std::future::ready(e.ok())).collect().now_or_never().unwrap_or_default()
}

/// Splits the events of a stream into the texts of its `data` events and the data of the `done`
/// event.
///
/// # Panics
/// Panics unless all events but the last are `data` events and the last is a `done` event.
pub fn split_events(events: &[Event]) -> (Vec<String>, Value) {
    let (last, pieces) = match events.split_last() {
        Some(split) => split,
        None => panic!("the stream has no events"),
    };
    assert_eq!(last.event, "done", "{events:?}");
    assert!(pieces.iter().all(|e| e.event == "data"), "{events:?}");
    let data = |e: &Event| serde_json::from_str::<Value>(&e.data).unwrap_or_default();
    let text = |e: &Event| data(e)["text"].as_str().unwrap_or_default().to_owned();
    (pieces.iter().map(text).collect(), data(last))
}
