//! The processes of a deployment; each runs the built program with its own settings file.

use crate::proxy::Proxy;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// The interval at which a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which a stopping process is killed, as the platform does.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The most memory of a process in its first settings, in MB.
pub const MEMORY_MB: u64 = 200;
/// The most descriptors of a process in the settings.
pub const MAX_FDS: usize = 2_000;
/// The bound on revocation in the settings.
pub const REVOKE_BOUND: Duration = Duration::from_secs(5);
/// The drain time of backend servers in the settings.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// The properties of a process that persist across restarts.
pub struct NodeSpec {
    /// The position among all processes.
    pub index: usize,
    /// Whether it is an entry, which callers reach.
    pub entry: bool,
    /// Its address, which no other process uses.
    pub ip: Ipv4Addr,
    /// The ports for callers, readiness and other nodes, the same on all.
    pub ports: [u16; 3],
    /// Its availability zone.
    pub zone: String,
    /// Addresses of other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The proxy through which it reaches the store.
    pub store: Proxy,
}

/// A process that can be stopped and started again.
pub struct NodeProcess {
    /// The persistent properties.
    pub spec: NodeSpec,
    child: Option<Child>,
    dir: PathBuf,
    binary: PathBuf,
    starts: u32,
    reloads: u32,
}

impl NodeSpec {
    /// Returns the address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports[0]))
    }

    fn settings(&self, reloads: u32) -> String {
        let [front, readiness, internal] = self.ports;
        let serves = if self.entry { json!(["edge", "control_plane"]) } else { json!(["side"]) };
        json!({
            "node-id": format!("node-{}", self.index), "serves": serves, "ip": self.ip,
            "zone": self.zone,
            "listen": {"front": format!("{}:{front}", self.ip),
                "readiness": format!("{}:{readiness}", self.ip)},
            "internal-ports": [internal, internal + 1], "seeds": self.seeds,
            "limits": {"memory-mb": MEMORY_MB + u64::from(reloads), "max-fds": MAX_FDS},
            "bounds": {"drain-ms": DRAIN_TIME.as_millis() as u64, "grace-s": GRACE_PERIOD.as_secs(),
                "revoke-ms": REVOKE_BOUND.as_millis() as u64, "retry-budget-ratio": 0.2,
                "budget-window-s": 10, "retry-budget-slack": 56},
            "platform": {"address": self.store.addr}
        })
        .to_string()
    }
}

impl NodeProcess {
    /// Starts a process that writes its log into `dir`.
    ///
    /// # Errors
    /// Returns an error if the files cannot be written or the program does not start.
    pub fn start(binary: &Path, dir: &Path, spec: NodeSpec) -> std::io::Result<Self> {
        let (binary, dir) = (binary.to_owned(), dir.to_owned());
        let mut node = Self { spec, child: None, dir, binary, starts: 0, reloads: 0 };
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> std::io::Result<()> {
        self.write_settings()?;
        let name = format!("node-{}-{}.log", self.spec.index, self.starts);
        let log = std::fs::File::create(self.dir.join(name))?;
        self.starts += 1;
        let errors = log.try_clone()?;
        let mut command = Command::new(&self.binary);
        command.arg("node").arg(self.settings_path()).stdin(Stdio::null());
        self.child = Some(command.stdout(log).stderr(errors).spawn()?);
        Ok(())
    }

    /// Changes the settings file and sends the process a `SIGHUP` if `signal` is set.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn reload(&mut self, signal: bool) -> std::io::Result<()> {
        self.reloads += 1;
        self.write_settings()?;
        if signal {
            self.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
            eprintln!("cannot kill node {}: {error}", self.spec.index);
        }
    }

    /// Starts the process unless it runs.
    ///
    /// # Errors
    /// Returns an error if the program does not start.
    pub fn ensure_running(&mut self) -> std::io::Result<()> {
        if self.is_running() { Ok(()) } else { self.spawn() }
    }

    /// Asks the process to stop by a `SIGTERM`; returns its id, if it runs.
    pub fn terminate(&mut self) -> Option<u32> {
        self.signal(Signal::TERM);
        self.running_id()
    }

    /// Suspends or resumes the process.
    pub fn set_paused(&mut self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.running_id().is_some()
    }

    /// Returns the id of the process, if it runs.
    pub fn running_id(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        matches!(child.try_wait(), Ok(None)).then(|| child.id())
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("node-{}.json", self.spec.index))
    }

    fn write_settings(&self) -> std::io::Result<()> {
        std::fs::write(self.settings_path(), self.spec.settings(self.reloads))
    }

    fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.as_ref().and_then(|c| Pid::from_raw(i32::try_from(c.id()).ok()?));
        if let Some(Err(error)) = id.map(|id| kill_process(id, signal)) {
            eprintln!("cannot signal node {}: {error}", self.spec.index);
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until the process with an id exits; kills it after the grace period.
///
/// Another stop that overlaps may have started the next process of the node meanwhile, which is
/// left alone.
pub async fn wait_for_exit(node: &std::sync::Mutex<NodeProcess>, id: u32) {
    let deadline = tokio::time::Instant::now() + GRACE_PERIOD;
    loop {
        {
            let mut node = node.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if node.running_id() != Some(id) {
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                return node.kill();
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}
