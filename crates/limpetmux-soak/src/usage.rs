//! Measures from outside what the processes use, and how many endless answers go on meanwhile.

use crate::fleet::{MAX_FDS, MEMORY_MB};
use crate::world::{World, lock};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which processes are measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(50);
/// The descriptors that are reserved for files.
const FILE_FDS: usize = 200;
/// The most memory of a process, in kB.
pub const MAX_MEMORY_KB: u64 = MEMORY_MB * 1024;
/// The most sockets of a process.
pub const MAX_SOCKETS: usize = MAX_FDS - FILE_FDS;

/// The most that a process used, also before it was restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// How often it was measured.
    pub measured: usize,
    /// Its resident memory in kB.
    pub memory_kb: u64,
    /// Its sockets.
    pub sockets: usize,
}

/// The most that was measured during a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peaks {
    /// What each process used.
    pub nodes: Vec<Usage>,
    /// The endless answers that went on at once.
    pub endless: usize,
}

impl Peaks {
    /// Returns the most memory in kB and the most sockets of any process.
    pub fn most(&self) -> (u64, usize) {
        let memory = self.nodes.iter().map(|usage| usage.memory_kb).max();
        let sockets = self.nodes.iter().map(|usage| usage.sockets).max();
        (memory.unwrap_or_default(), sockets.unwrap_or_default())
    }
}

/// Measures until the task is aborted.
pub async fn record(world: Arc<World>, peaks: Arc<Mutex<Peaks>>) {
    lock(&peaks).nodes = vec![Usage::default(); world.nodes.len()];
    loop {
        for (index, node) in world.nodes.iter().enumerate() {
            let id = lock(node).running_id();
            // A process that ended meanwhile has nothing to measure.
            let Some(now) = id.and_then(measure) else { continue };
            let peak = &mut lock(&peaks).nodes[index];
            peak.measured += 1;
            peak.memory_kb = peak.memory_kb.max(now.memory_kb);
            peak.sockets = peak.sockets.max(now.sockets);
        }
        let active = world.played().iter().map(|(_, played)| played.active).sum();
        let most = lock(&peaks).endless.max(active);
        lock(&peaks).endless = most;
        sleep(MEASURE_INTERVAL).await;
    }
}

/// Measures the process with an id, if it exists.
pub fn measure(id: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let kb = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    let memory_kb = kb("VmRSS:")?.max(kb("VmHWM:")?);
    let files = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?;
    let is_socket = |path| {
        std::fs::read_link(path).is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    };
    let sockets = files.flatten().filter(|file| is_socket(file.path())).count();
    Some(Usage { measured: 1, memory_kb, sockets })
}
