//! `limpetmux local`

use argh::FromArgs;
use eventsource_stream::{Event, Eventsource};
use futures::StreamExt;
use limpetmux::core::read_limits::MAX_TOKENS_BYTES;
use limpetmux::node::deployment::{Deployment, SampleRequest};
use limpetmux::node::local::{Local, LocalOptions};
use miette::IntoDiagnostic;
use serde::Deserialize;
use std::io::Write;
use std::time::Duration;

/// The time for a whole answer, above the longest deadline of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(330);

/// Run a complete small deployment in this process, on the loopback interface.
///
/// Exit codes: 0 after a complete answer or a clean stop, 1 after a failure.
#[derive(FromArgs)]
#[argh(subcommand, name = "local")]
pub struct LocalArgs {
    /// send one request, print its answer, and exit
    #[argh(switch)]
    once: bool,
    /// the deployment to run: ph-luzon (default) or sierra-costa
    #[argh(option, default = "Deployment::PhLuzon")]
    deployment: Deployment,
    /// the entry's port; 0 (default) selects any free one
    #[argh(option, default = "0")]
    port: u16,
}

/// A request to the entry that did not get a complete answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum AnswerError {
    /// The entry refused the request, or the request failed.
    #[error("the request was refused or failed: {body}")]
    Refused { body: String },
    /// The connection failed, or the time was over.
    #[error("the answer did not arrive")]
    Lost(#[from] reqwest::Error),
    /// The answer exceeds the bound of a streamed answer.
    #[error("the answer exceeds {MAX_TOKENS_BYTES} bytes")]
    TooLarge,
    /// The stream ended before its last event.
    #[error("the answer ended early")]
    Truncated,
}

#[derive(Deserialize)]
struct Piece {
    text: String,
}

#[derive(Deserialize)]
struct Done {
    count: usize,
    checksum: String,
    trailer: Trailer,
}

#[derive(Deserialize)]
struct Trailer {
    request: String,
    elapsed_us: u64,
    cost_micros: u64,
    stages: Vec<Stage>,
}

#[derive(Deserialize)]
struct Stage {
    stage: String,
    host: String,
    zone: String,
    attempts: u32,
    queued_us: u64,
    busy_us: u64,
    elapsed_us: u64,
    cost_micros: u64,
}

/// Starts the deployment and either sends one request or waits for a signal.
pub fn exec(args: LocalArgs) -> miette::Result<()> {
    if !args.once {
        limpetmux::util::logging::init(&Default::default())?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(run(args))
}

async fn run(args: LocalArgs) -> miette::Result<()> {
    let options = LocalOptions { deployment: args.deployment, port: args.port };
    let local = Local::start(options).await?;
    let sample = args.deployment.sample_request();
    let url = format!(
        "{}/v1/workspaces/{}/pipelines/{}/runs",
        local.url(),
        sample.workspace,
        sample.pipeline
    );
    let result = if args.once {
        request(&url, sample).await
    } else {
        announce(&local, &url, sample);
        crate::signal::wait().await.into_diagnostic()
    };
    local.stop().await;
    result
}

fn announce(local: &Local, url: &str, sample: SampleRequest) {
    println!("limpetmux is running at {} with {} hosts", local.url(), local.hosts.len());
    println!("try:");
    println!("  curl -N {url} -d '{{\"input\": {}, \"stream\": true}}'", sample.input);
    println!("stop with ctrl-c");
}

async fn request(url: &str, sample: SampleRequest) -> miette::Result<()> {
    let client = reqwest::Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build();
    let client = client.into_diagnostic()?;
    let body = format!("{{\"input\": {}, \"stream\": true}}", sample.input);
    let answer = client.post(url).body(body).send().await.into_diagnostic()?;
    let is_success = answer.status().is_success();
    let mut size = 0;
    let mut parts = answer.bytes_stream().map(move |part| {
        let part = part?;
        size += part.len();
        if size > MAX_TOKENS_BYTES { Err(AnswerError::TooLarge) } else { Ok(part) }
    });
    if !is_success {
        let mut body = Vec::new();
        while let Some(part) = parts.next().await {
            body.extend_from_slice(&part?);
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(AnswerError::Refused { body }.into());
    }
    let mut events = parts.eventsource();
    while let Some(event) = events.next().await {
        if print_event(&event.into_diagnostic()?)? {
            return Ok(());
        }
    }
    Err(AnswerError::Truncated.into())
}

/// Prints one event; returns whether it was the last one.
fn print_event(event: &Event) -> miette::Result<bool> {
    match event.event.as_str() {
        "data" => {
            let piece: Piece = serde_json::from_str(&event.data).into_diagnostic()?;
            print!("{}", piece.text);
            std::io::stdout().flush().into_diagnostic()?;
            Ok(false)
        }
        "done" => {
            print_done(&serde_json::from_str(&event.data).into_diagnostic()?);
            Ok(true)
        }
        _ => {
            let body = event.data.clone();
            Err(AnswerError::Refused { body }.into())
        }
    }
}

fn print_done(done: &Done) {
    let trailer = &done.trailer;
    println!("\n\n{} pieces, checksum {}", done.count, done.checksum);
    println!("request {}", trailer.request);
    println!(
        "{:<10} {:<18} {:<12} {:>8} {:>10} {:>10} {:>10} {:>10}",
        "stage", "host", "zone", "attempts", "queued us", "busy us", "total us", "cost"
    );
    for s in &trailer.stages {
        println!(
            "{:<10} {:<18} {:<12} {:>8} {:>10} {:>10} {:>10} {:>10}",
            s.stage,
            s.host,
            s.zone,
            s.attempts,
            s.queued_us,
            s.busy_us,
            s.elapsed_us,
            s.cost_micros
        );
    }
    println!("{:<62} {:>21} {:>10}", "whole request", trailer.elapsed_us, trailer.cost_micros);
}
