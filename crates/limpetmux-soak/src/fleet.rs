//! The processes of a deployment, each the built program with a settings file of its own.

use crate::proxy::Proxy;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// The time between two looks at a process that ends.
const LOOK: Duration = Duration::from_millis(20);
/// The time after which a process that was asked to stop is killed, as the platform does.
const GRACE: Duration = Duration::from_secs(8);
/// The bound on revocation in the settings.
pub const REVOKE: Duration = Duration::from_secs(5);
/// The bound on a leaving backend server in the settings.
pub const DRAIN: Duration = Duration::from_secs(2);

/// What stays the same when a process starts anew.
pub struct NodeSpec {
    /// The position among all processes.
    pub index: usize,
    /// Whether callers reach it.
    pub entry: bool,
    /// Its address; every process has one of its own.
    pub ip: Ipv4Addr,
    /// The ports for callers, readiness and other nodes, the same on all.
    pub ports: [u16; 3],
    /// Its availability zone.
    pub zone: String,
    /// Addresses of other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Its way to the store.
    pub store: Proxy,
}

/// A process that is started again whenever it has ended.
pub struct NodeProcess {
    /// What it is.
    pub spec: NodeSpec,
    child: Option<Child>,
    dir: PathBuf,
    binary: PathBuf,
    starts: u32,
    reloads: u32,
}

impl NodeSpec {
    /// Returns where callers reach it.
    pub fn callers(&self) -> SocketAddr {
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
            "limits": {"memory-mb": 200 + reloads, "max-fds": 2_000},
            "bounds": {"drain-ms": DRAIN.as_millis() as u64, "grace-s": GRACE.as_secs(),
                "revoke-ms": REVOKE.as_millis() as u64, "retry-budget-ratio": 0.2,
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

    /// Changes the settings file, and says so by a signal if `signal` is set.
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

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
            eprintln!("node {} did not end: {error}", self.spec.index);
        }
    }

    /// Starts the process again unless it runs.
    ///
    /// # Errors
    /// Returns an error if the program does not start.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        if self.is_running() { Ok(()) } else { self.spawn() }
    }

    /// Asks the process to stop.
    pub fn ask_to_stop(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Stops or continues the process without ending it.
    pub fn set_paused(&mut self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
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
            eprintln!("node {} got no signal: {error}", self.spec.index);
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a process that was asked to stop has ended; one that takes too long is killed.
pub async fn ended(node: &std::sync::Mutex<NodeProcess>) {
    let until = tokio::time::Instant::now() + GRACE;
    loop {
        {
            let mut node = node.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if !node.is_running() {
                return;
            }
            if tokio::time::Instant::now() >= until {
                return node.kill();
            }
        }
        sleep(LOOK).await;
    }
}
