//! The open-loop load generator.

use std::time::Duration;
use tokio::time::Instant;

/// The requests to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// The entry's URL.
    pub url: String,
    /// The workspace of the requests.
    pub workspace: String,
    /// The pipeline to run.
    pub pipeline: String,
    /// Requests per second.
    pub rate: f64,
    /// The time for which requests are sent.
    pub duration: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
    /// Whether each request carries an idempotency key.
    pub keyed: bool,
}

/// A failure to run a load or to report it.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoadError {
    /// The rate or the duration is out of range.
    #[error("the rate must lie between 0.1 and 20000 a second and the duration be above zero")]
    Range,
    /// Both or neither of a URL and a zone are given.
    #[error("give either a URL or a zone to take out")]
    Target,
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client")]
    Client(#[from] reqwest::Error),
    /// A file cannot be written.
    #[error("cannot write the report")]
    Io(#[from] std::io::Error),
    /// The report cannot be serialised as JSON.
    #[error("cannot write the report as JSON")]
    Json(#[from] serde_json::Error),
    /// The latencies do not fit the histogram.
    #[error("cannot record a latency")]
    Record(#[from] hdrhistogram::RecordError),
    /// The histogram cannot be created.
    #[error("cannot create a histogram")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The plot cannot be drawn.
    #[error("cannot draw the plot")]
    Plot(#[from] plotters::drawing::DrawingAreaErrorKind<std::io::Error>),
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer within the deadline.
    Answered,
    /// A complete answer after the deadline.
    Late,
    /// A refusal that reports that nothing ran.
    NotRun,
    /// Any other refusal.
    Refused,
    /// A broken connection or an unreadable answer.
    Broken,
}

/// The measurement of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The due time of the request, from the start of the run.
    pub due: Duration,
    /// The time from the due time to the end of the answer.
    pub latency: Duration,
    /// The outcome.
    pub outcome: Outcome,
    /// The part of the latency spent on backend servers, as measured by the sidecars.
    pub busy: Duration,
}

impl Load {
    /// Checks that the rate and the duration are in range.
    ///
    /// # Errors
    /// Returns [`LoadError::Range`] if the rate or the duration is out of range.
    pub fn check(&self) -> Result<(), LoadError> {
        let rate = (0.1..=20_000.0).contains(&self.rate);
        if rate && !self.duration.is_zero() { Ok(()) } else { Err(LoadError::Range) }
    }

    /// Returns the number of requests that the load sends.
    pub fn count(&self) -> u64 {
        (self.rate * self.duration.as_secs_f64()).ceil() as u64
    }

    fn run_url(&self) -> String {
        let base = self.url.trim_end_matches('/');
        format!("{base}/v1/workspaces/{}/pipelines/{}/runs", self.workspace, self.pipeline)
    }
}

/// Sends the requests and waits for every answer.
///
/// # Errors
/// Returns [`LoadError`] if the client cannot be built; failed requests are samples, not errors.
pub async fn run(load: &Load) -> Result<Vec<Sample>, LoadError> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..load.count() {
        let due = Duration::from_secs_f64(n as f64 / load.rate);
        tokio::time::sleep_until(start + due).await;
        let request = request(&client, load, n);
        let deadline = load.deadline;
        tasks.push(tokio::spawn(async move {
            let (outcome, busy) = send(request).await;
            let latency = start.elapsed().saturating_sub(due);
            let late = outcome == Outcome::Answered && latency > deadline;
            let outcome = if late { Outcome::Late } else { outcome };
            Sample { due, latency, outcome, busy }
        }));
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        samples.extend(task.await.ok());
    }
    Ok(samples)
}

fn request(client: &reqwest::Client, load: &Load, n: u64) -> reqwest::RequestBuilder {
    let deadline_ms = u64::try_from(load.deadline.as_millis()).unwrap_or(u64::MAX);
    let body = serde_json::json!({ "input": format!("question {n}"), "deadline_ms": deadline_ms });
    let request = client.post(load.run_url()).json(&body).timeout(load.deadline * 4);
    if load.keyed {
        request.header("idempotency-key", uuid::Uuid::now_v7().to_string())
    } else {
        request
    }
}

async fn send(request: reqwest::RequestBuilder) -> (Outcome, Duration) {
    let broken = (Outcome::Broken, Duration::ZERO);
    let Ok(answer) = request.send().await else { return broken };
    let status = answer.status();
    let Ok(body) = answer.json::<serde_json::Value>().await else { return broken };
    if status.is_success() {
        return (Outcome::Answered, busy_time(&body));
    }
    match body.get("execution").and_then(|e| e.as_str()) {
        Some("not_run") => (Outcome::NotRun, Duration::ZERO),
        _ => (Outcome::Refused, Duration::ZERO),
    }
}

/// Sums the time on backend servers from an answer's trailer.
fn busy_time(body: &serde_json::Value) -> Duration {
    let stages = body["trailer"]["stages"].as_array();
    let each = stages.into_iter().flatten().filter_map(|s| s["busy_us"].as_u64());
    Duration::from_micros(each.sum())
}
