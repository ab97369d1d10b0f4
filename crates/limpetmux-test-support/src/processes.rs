//! A deployment of separate operating-system processes over loopback, for tests that kill or signal
//! them.
//!
//! The platform and the backend servers are stand-ins in the test's own process; every sidecar and
//! entry is a child process that runs the built program with a settings file.

use crate::changes::{change_record, first_change};
use crate::tls::Authority;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{Config, Name};
use limpetmux::entry::base_url;
use limpetmux::node::local::StandIn;
use limpetmux_standins::{Hosts, Log, LogOptions, Power};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, which is killed when dropped.
pub struct NodeProcess {
    child: Child,
    /// Base URL for callers; empty unless the process is an entry.
    pub url: String,
}

impl NodeProcess {
    /// Kills the process without notice, as a power failure would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends or resumes the process with SIGSTOP or SIGCONT.
    pub fn set_suspended(&self, is_suspended: bool) {
        self.signal(if is_suspended { "-STOP" } else { "-CONT" });
    }

    /// Sends SIGTERM and waits until the process exits.
    pub async fn terminate(&mut self) -> ExitStatus {
        self.signal("-TERM");
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the directory of the process in `/proc`.
    pub fn proc(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.child.id()))
    }

    /// Returns the CPU time and the resident memory of the process; zero if `/proc` lacks them.
    pub fn usage(&self) -> Usage {
        let proc = self.proc();
        let stat = std::fs::read_to_string(proc.join("stat")).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        Usage { cpu_ticks: field(11) + field(12), resident_bytes: field(21) * 4_096 }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([signal, &id]).status().unwrap();
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in clock ticks.
    pub cpu_ticks: u64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running deployment of one configuration.
pub struct Processes {
    /// The configuration that was declared.
    pub config: Config,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    /// The platform's power switch.
    pub power: Power,
    /// The backend server of each host.
    pub standins: BTreeMap<Name, StandIn>,
    /// The sidecar of each host.
    pub sidecars: BTreeMap<Name, NodeProcess>,
    /// The entries.
    pub entries: Vec<NodeProcess>,
    binary: PathBuf,
    dir: PathBuf,
    peers: Vec<SocketAddr>,
    authority: Option<Authority>,
}

impl Processes {
    /// Starts the stand-ins, a sidecar per host and the entries, and waits until all are ready.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start(binary: &Path, dir: &Path, config: Config, entries: usize) -> Self {
        Self::start_with(binary, dir, config, entries, None).await
    }

    /// Starts a deployment with certificates signed by `authority`, or in plain text without one.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start_with(
        binary: &Path,
        dir: &Path,
        mut config: Config,
        entries: usize,
        authority: Option<Authority>,
    ) -> Self {
        for host in config.hosts.values_mut() {
            host.sidecar = free_address();
        }
        let mut standins = BTreeMap::new();
        for (name, host) in &config.hosts {
            let kind = config.services[&host.service].kind;
            standins.insert(name.clone(), StandIn::start(kind).await.unwrap());
        }
        let mut processes = Self {
            log: Log::start(LogOptions::default()).await.unwrap(),
            hosts: Hosts::start(0, Duration::ZERO).await.unwrap(),
            power: Power::start(0).await.unwrap(),
            standins,
            sidecars: BTreeMap::new(),
            entries: Vec::new(),
            binary: binary.to_owned(),
            dir: dir.to_owned(),
            peers: config.hosts.values().map(|h| h.sidecar).take(3).collect(),
            config,
            authority,
        };
        std::fs::create_dir_all(dir).unwrap();
        let log = LogClient::http(OneCallClient::new().unwrap(), &processes.log.url());
        let first = change_record(first_change(&processes.config));
        (log.append)(Stream::Config, first).await.unwrap();
        let names: Vec<Name> = processes.config.hosts.keys().cloned().collect();
        for name in names {
            processes.start_sidecar(&name);
        }
        for index in 0..entries {
            let entry = processes.start_entry(index);
            processes.entries.push(entry);
        }
        for host in processes.config.hosts.values() {
            wait_until_listening(host.sidecar).await;
        }
        for entry in &processes.entries {
            wait_until_ready(&entry.url).await;
        }
        processes
    }

    /// Starts the sidecar of a host and replaces its previous process.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    pub fn start_sidecar(&mut self, name: &Name) {
        let host = &self.config.hosts[name];
        let settings = json!({
            "name": name, "region": self.config.zones[&host.zone].region, "zone": host.zone,
            "listen": host.sidecar,
            "platform": self.platform(), "peers": self.peers_of(host.sidecar),
            "sidecar": { "backend": self.standins[name].url() },
        });
        let process = self.spawn("sidecar", name.as_str(), &settings, String::new());
        self.sidecars.insert(name.clone(), process);
    }

    /// Starts an entry; `index` determines its name, zone and ordinal.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    pub fn start_entry(&self, index: usize) -> NodeProcess {
        let zones: Vec<&Name> = self.config.zones.keys().collect();
        let (http, name) = (free_address(), format!("entry-{index}"));
        let zone = zones[index % zones.len()];
        let settings = json!({
            "name": name, "region": self.config.zones[zone].region, "zone": zone,
            "listen": free_address(), "platform": self.platform(), "peers": self.peers,
            "entry": { "http": http, "ordinal": index / zones.len() },
        });
        self.spawn("entry", &name, &settings, base_url(http))
    }

    fn peers_of(&self, addr: SocketAddr) -> Vec<SocketAddr> {
        self.peers.iter().copied().filter(|p| *p != addr).collect()
    }

    fn platform(&self) -> serde_json::Value {
        json!({ "log": self.log.url(), "hosts": self.hosts.url(), "power": self.power.url() })
    }

    fn spawn(
        &self,
        role: &str,
        name: &str,
        settings: &serde_json::Value,
        url: String,
    ) -> NodeProcess {
        let mut settings = settings.clone();
        if let Some(authority) = &self.authority {
            settings["tls"] = authority.write_files(&self.dir, name);
        }
        let file = self.dir.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let child = Command::new(&self.binary)
            .arg(role)
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        NodeProcess { child, url }
    }
}

/// Waits until a process accepts connections.
async fn wait_until_listening(addr: SocketAddr) {
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an entry is ready.
pub async fn wait_until_ready(url: &str) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let is_ready = async || {
        let answer = client.get(format!("{url}/readyz")).send().await;
        answer.is_ok_and(|a| a.status().is_success())
    };
    while !is_ready().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Below the ephemeral ports, so that no client connection takes a port before its server binds it.
const LISTEN_PORTS: std::ops::Range<u32> = 11_000..31_000;

/// Returns a loopback address that was free when checked and is returned only once.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = LISTEN_PORTS.len() as u32;
    loop {
        let index =
            std::process::id().wrapping_mul(97) % count + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (LISTEN_PORTS.start + index % count) as u16;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr().unwrap();
        }
    }
}
