//! Measures what endless answers of one backend server cost its entry, a sidecar and a sound pool.

use crate::callers::{DEADLINE, Kind, request};
use crate::usage::{Peaks, Usage, record};
use crate::world::{Layout, PERMANENT_KEY, World, lock};
use limpetmux_standins::users::{BadBytes, UsersFault};
use reqwest::Client;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// One entry, one sidecar, and a sound pool of two; a sidecar has one call for pieces at a time at each
/// backend server of a stage, so the first stage has many.
const LAYOUT: Layout = Layout {
    entries: 1,
    sidecars: 1,
    services: &[("plain", 1), ("first", 400), ("second", 1), ("engine", 1), ("blue", 2)],
    connections: 400,
    calls: 200,
    batch: 1,
};
/// The time from the start of the processes to the first request.
const START_TIME: Duration = Duration::from_secs(4);
/// The time during which requests are sent.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// The number of callers of the sound pool.
const SOUND_CALLERS: usize = 4;
/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// What was measured.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// What the entry used.
    pub entry: Usage,
    /// What the sidecar used.
    pub sidecar: Usage,
    /// The endless answers that went on at once.
    pub endless: usize,
    /// The latencies of the requests that the sound pool served, in order.
    pub latencies: Vec<Duration>,
    /// The number of requests that the sound pool did not serve.
    pub failed: usize,
}

impl Measurement {
    /// Returns the latency that a share of the served requests of the sound pool did not exceed.
    pub fn latency(&self, share: f64) -> Duration {
        let index = (self.latencies.len() as f64 * share) as usize;
        self.latencies
            .get(index.min(self.latencies.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

/// Runs requests to a sound pool beside a number of requests of a kind, which a backend server
/// answers without end; for streams, that of their first stage.
///
/// # Errors
/// Returns an error if the deployment cannot be started.
pub async fn measure(
    binary: &Path,
    dir: &Path,
    net: [u8; 2],
    (kind, endless): (Kind, usize),
) -> std::io::Result<Measurement> {
    std::fs::create_dir_all(dir)?;
    let world = World::start(binary, dir, net, LAYOUT).await?;
    let peaks = Arc::new(Mutex::new(Peaks::default()));
    let recording = tokio::spawn(record(Arc::clone(&world), Arc::clone(&peaks)));
    sleep(START_TIME).await;
    let service = if kind == Kind::Stream { "first" } else { "plain" };
    let faulty = world.backends.iter().filter(|b| b.service == service);
    faulty.for_each(|b| b.server.set_fault(UsersFault::Bytes(BadBytes::EndlessChunks)));
    let until = Instant::now() + MEASURE_TIME;
    let start = |kind: Kind, count: usize| {
        let call = |number| tokio::spawn(call(Arc::clone(&world), kind, number, until));
        futures::future::join_all((0..count).map(call).collect::<Vec<_>>())
    };
    let (_, sound) = tokio::join!(start(kind, endless), start(Kind::Moved, SOUND_CALLERS));
    recording.abort();
    let sound = sound.into_iter().collect::<Result<Vec<_>, _>>().map_err(std::io::Error::other)?;
    let (served, failed): (Vec<_>, Vec<_>) = sound.concat().into_iter().partition(Option::is_some);
    let mut latencies: Vec<Duration> = served.into_iter().flatten().collect();
    latencies.sort_unstable();
    let peaks = lock(&peaks).clone();
    let [entry, sidecar] = [peaks.nodes[0], peaks.nodes[1]];
    Ok(Measurement { entry, sidecar, endless: peaks.endless, latencies, failed: failed.len() })
}

/// Sends requests one after another; returns the latency of each that was served.
async fn call(
    world: Arc<World>,
    kind: Kind,
    number: usize,
    until: Instant,
) -> Vec<Option<Duration>> {
    let client = Client::new();
    let mut latencies = Vec::new();
    while Instant::now() < until {
        let id = format!("{}-{number}-{}", <&str>::from(kind), latencies.len());
        let request = request(&world, 0, &client, kind, &id, PERMANENT_KEY);
        let began = Instant::now();
        let served = timeout(DEADLINE, read(request)).await.unwrap_or(false);
        latencies.push(served.then(|| began.elapsed()));
        sleep(CALLER_PAUSE).await;
    }
    latencies
}

/// Reads an answer without keeping it; returns whether it is whole and a success.
async fn read(request: reqwest::RequestBuilder) -> bool {
    let Ok(mut answer) = request.send().await else { return false };
    loop {
        match answer.chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return answer.status().is_success(),
            Err(_) => return false,
        }
    }
}
