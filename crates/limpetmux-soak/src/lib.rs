//! Runs a small deployment as separate processes under random faults, drawn from a seed.
//!
//! [`world`] holds the environment of the processes, [`fleet`] the processes, and [`proxy`] the
//! connections between them. [`faults`] draws the faults and [`inject`] puts them into effect,
//! [`callers`] send requests and [`usage`] measures the processes meanwhile, and [`checks`] compares
//! what was observed with the guarantees of the product. The same seed draws the same faults; their
//! effects still depend on the machine. [`measure`] measures what endless answers cost other requests.
//! See `docs/design/soak.md`.

pub mod callers;
pub mod checks;
pub mod facts;
pub mod faults;
pub mod fleet;
mod inject;
mod limits;
pub mod measure;
mod notices;
pub mod proxy;
pub mod usage;
pub mod world;

use checks::Violation;
use facts::Facts;
use faults::Sizes;
use proxy::Link;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use usage::Peaks;
use world::{Layout, World, ZONES, lock};

/// The time from the start of the processes to the first fault.
const START_TIME: Duration = Duration::from_secs(3);
/// The time after the last fault within which all requests are served again.
const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// The time during which the recovery is checked.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(4);

/// The interval at which the soak measures whether it stands still.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest stall that is recorded.
const MIN_STALL: Duration = Duration::from_millis(100);

/// The options of one run of the soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that the processes run.
    pub binary: PathBuf,
    /// The directory for settings and logs.
    pub dir: PathBuf,
    /// The seed of the faults.
    pub seed: u64,
    /// The time during which faults are injected.
    pub length: Duration,
    /// The loopback network of the run, which concurrent runs must not share.
    pub net: [u8; 2],
}

/// Returns a loopback network for one of the concurrent runs of this process, which other processes
/// on the same machine are unlikely to use.
pub fn network(first: u8, slot: usize) -> [u8; 2] {
    let number = (std::process::id() as usize + slot) % 250;
    [first, u8::try_from(number).unwrap_or_default()]
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The number of injected faults.
    pub faults: usize,
    /// The number of requests that callers sent, and of those that were served.
    pub requests: (usize, usize),
    /// The violated guarantees.
    pub violations: Vec<Violation>,
    /// The most that was measured.
    pub peaks: Peaks,
    /// The longest time for which the soak itself, and so the store and all callers, stood still.
    pub longest_stall: Duration,
}

/// Runs one seed.
///
/// # Errors
/// Returns an error if the deployment cannot be started.
pub async fn run(options: &Options) -> std::io::Result<Report> {
    std::fs::create_dir_all(&options.dir)?;
    let world = World::start(&options.binary, &options.dir, options.net, Layout::SOAK).await?;
    let peaks = Arc::new(Mutex::new(Peaks::default()));
    let recording = tokio::spawn(usage::record(Arc::clone(&world), Arc::clone(&peaks)));
    let stalls = Arc::new(Mutex::new(Vec::new()));
    let measuring = tokio::spawn(record_stalls(Arc::clone(&stalls)));
    sleep(START_TIME).await;
    let (stop, stopped) = watch::channel(false);
    let log = callers::start(&world, options.seed, &stopped);
    let sizes = Sizes {
        nodes: world.nodes.len(),
        entries: world::ENTRIES,
        servers: world.backends.len(),
        zones: ZONES.len(),
    };
    let faults = faults::draw(&mut Pcg64::seed_from_u64(options.seed), sizes, options.length);
    let plan = faults.iter().map(|(at, fault)| format!("{:>6} ms {fault:?}", at.as_millis()));
    write_lines(&options.dir.join("faults.txt"), plan)?;
    let began = Instant::now();
    let mut injections = Vec::new();
    for (at, fault) in &faults {
        sleep_until(began + *at).await;
        injections.push(tokio::spawn(inject::inject(Arc::clone(&world), Arc::clone(&log), *fault)));
    }
    futures::future::join_all(injections).await;
    clear_faults(&world);
    sleep(RECOVERY_TIME).await;
    let recovered = Instant::now();
    sleep(RECOVERY_CHECK_TIME).await;
    stop.send_replace(true);
    sleep(callers::DEADLINE).await;
    let sent = lock(&log).clone();
    let is_served = |s: &&callers::SentRequest| {
        matches!(s.outcome, callers::Outcome::Answered { status: 200, .. })
    };
    let served = sent.iter().filter(is_served).count();
    let requests = (sent.len(), served);
    recording.abort();
    let peaks = lock(&peaks).clone();
    let facts = Facts::collect(&world, sent, peaks.nodes.clone(), recovered);
    let violations = checks::check(&facts);
    write_lines(&options.dir.join("violations.txt"), violations.iter().map(Violation::to_string))?;
    measuring.abort();
    let stalls = lock(&stalls).clone();
    let line = |(time, stall): &(SystemTime, Duration)| {
        let time = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        format!("{} ms until {} s", stall.as_millis(), time.as_secs_f64())
    };
    write_lines(&options.dir.join("stalls.txt"), stalls.iter().map(line))?;
    let longest_stall = stalls.iter().map(|(_, stall)| *stall).max().unwrap_or_default();
    Ok(Report { faults: faults.len(), requests, violations, peaks, longest_stall })
}

/// Records by how much timers of the soak fire late, each time with the time of day.
async fn record_stalls(stalls: Arc<Mutex<Vec<(SystemTime, Duration)>>>) {
    loop {
        let due = Instant::now() + STALL_CHECK_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed();
        if late >= MIN_STALL {
            lock(&stalls).push((SystemTime::now(), late));
        }
    }
}

/// Writes lines to a file beside the logs.
fn write_lines(path: &Path, lines: impl Iterator<Item = String>) -> std::io::Result<()> {
    std::fs::write(path, lines.map(|line| line + "\n").collect::<String>())
}

/// Ends the faults that overlapping ones may have left in effect.
fn clear_faults(world: &World) {
    for node in &world.nodes {
        let mut node = lock(node);
        node.set_paused(false);
        node.spec.store.set(Link::Whole);
        if let Err(error) = node.ensure_running() {
            eprintln!("cannot start node {}: {error}", node.spec.index);
        }
    }
    world.backends.iter().for_each(|b| b.proxy.set(Link::Whole));
    world.store.set_down(false);
    world.store.set_bytes(None);
}
