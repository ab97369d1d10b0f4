//! The project's nodes as processes, the traffic of clients, and the record of a case.

use crate::http;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The program that the deploy file names for both roles.
const PROGRAM: [&str; 2] = ["target/release/limpetmux", "node"];
const FRONT_PORT: u16 = 8625;
const READY_PORT: u16 = 8621;
const STORE_PORT: u16 = 8624;
const NODE_PORT: u16 = 7740;

const CONTINUE: i32 = 18;
const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Has the system end a process once this one has ended, whatever ended it.
pub fn die_with_parent(command: &mut Command) -> &mut Command {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    // SAFETY: the call only sets a property of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, KILL as u64);
            Ok(())
        })
    }
}

/// What happened, with the milliseconds since the begin.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(Path::new(folder).join("record.txt"))?);
        Ok(Arc::new(Self { began: Instant::now(), file }))
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{at} {text}"));
    }

    /// Writes a line that is printed too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The addresses of one run, which no other program uses.
pub struct Addresses {
    a: u8,
    b: u8,
}

impl Addresses {
    pub fn choose() -> std::io::Result<Self> {
        let seed = std::process::id();
        for step in 0..200_u32 {
            let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(step * 7_919);
            let chosen = Self { a: 10 + (mixed >> 8 & 127) as u8, b: (mixed >> 16 & 255) as u8 };
            let ports = [FRONT_PORT, READY_PORT, STORE_PORT, NODE_PORT, 9464, 8080];
            let is_free = |p: &u16| TcpListener::bind((chosen.ip(1), *p)).is_ok();
            if ports.iter().all(is_free) {
                return Ok(chosen);
            }
        }
        Err(std::io::Error::other("no free addresses"))
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host))
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddr::new(self.ip(1), STORE_PORT)
    }

    pub fn server(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + number), 8080)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), FRONT_PORT)
    }
}

/// The bounds that differ between deployments, in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain: u64,
    pub config: u64,
    pub contact: u64,
}

/// One process of the project.
struct Node {
    child: Child,
}

impl Node {
    fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

/// The processes of one run; all of them end with it.
pub struct Fleet {
    folder: PathBuf,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts entries at the hosts from 11 on and sidecars at those from 21 on.
    pub fn start(
        addresses: &Addresses,
        bounds: Bounds,
        (entries, sidecars): (u8, u8),
    ) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("limpetmux-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self { folder, nodes: Vec::new() };
        for host in (11..11 + entries).chain(21..21 + sidecars) {
            fleet.start_node(addresses, bounds, host)?;
        }
        Ok(fleet)
    }

    fn start_node(&mut self, addresses: &Addresses, bounds: Bounds, host: u8) -> std::io::Result<()> {
        let is_entry = host < 21;
        let name = format!("{}-{host}", if is_entry { "edge" } else { "side" });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings(addresses, bounds, host, &name))?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM[0]);
        command
            .arg(PROGRAM[1])
            .env_clear()
            .env("LIMPETMUX_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let child = die_with_parent(&mut command).spawn()?;
        self.nodes.push(Node { child });
        Ok(())
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, addresses: &Addresses, host: u8) -> std::io::Result<()> {
        let addr = SocketAddr::new(addresses.ip(host), READY_PORT);
        for _ in 0..100 {
            let request = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
            let answer = http::ask(addr, request.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|a| a.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(std::io::Error::other("an entry does not become ready"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.signal(CONTINUE);
            drop(node.child.kill());
            drop(node.child.wait());
        }
        if std::env::var("KEEP_LOGS").is_err() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

fn settings(addresses: &Addresses, bounds: Bounds, host: u8, name: &str) -> String {
    let is_entry = host < 21;
    let ip = addresses.ip(host);
    let (class, serves, listen, memory) = if is_entry {
        let listen = format!(
            "{{\"front\":\"{ip}:{FRONT_PORT}\",\"readiness\":\"{ip}:{READY_PORT}\",\
             \"control\":\"{ip}:8628\"}}"
        );
        ("edge", "\"edge\",\"control_plane\"", listen, 260)
    } else {
        ("side", "\"side\"", "{}".to_owned(), 192)
    };
    let Bounds { drain, config, contact } = bounds;
    let (seed, store) = (addresses.ip(11), addresses.store());
    format!(
        "{{\"node-id\":\"{name}\",\"role\":\"{class}\",\"machine-class\":\"{class}\",\
         \"serves\":[{serves}],\"ip\":\"{ip}\",\"zone\":\"mnl-a\",\"region\":\"ph-luzon\",\
         \"zones\":{{\"mnl-a\":\"ph-luzon\"}},\"listen\":{listen},\
         \"internal-ports\":[{NODE_PORT},7755],\"seeds\":[\"{seed}:8628\"],\"bootstrap\":true,\
         \"limits\":{{\"cpu-share\":0.2,\"cores\":1,\"memory-mb\":{memory},\"max-fds\":4096,\
         \"link-mbps\":1000.0,\"disk-mb\":0}},\"heartbeat-ms\":1200,\
         \"bounds\":{{\"seed-lag-s\":3,\"reuse-after-s\":2,\"contact-ms\":{contact},\"ack-ms\":4000,\
         \"catch-up-s\":4,\"drain-ms\":{drain},\"grace-s\":8,\"loss-slack-ms\":200,\
         \"config-apply-ms\":{config},\"rollback-slack-ms\":250,\"outer-ms\":5000,\
         \"strict-revoke\":true,\"revoke-ms\":5000,\"retry-budget-ratio\":0.2,\
         \"budget-window-s\":10,\"retry-budget-slack\":56,\"cold-over\":1.5,\"cold-slack\":5,\
         \"evacuate-ms\":5000,\"recovery-s\":12,\"pass-ms\":120,\"reuse-window-s\":10}},\
         \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writes-per-s\":400,\
         \"reads-per-s\":2000,\"keep_s\":300}}}}"
    )
}

/// Which requests a route takes.
#[derive(Clone, Copy)]
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    /// Whether callers need no key.
    pub public: bool,
}

/// A route of requests that may run at most once.
pub const ONCE: Route =
    Route { host: "jepu9.example", prefix: "/bobo563/", kind: "non_idempotent", public: false };
/// A route of streamed answers.
pub const STREAM: Route =
    Route { host: "pule25.example", prefix: "/puxa400/", kind: "streaming", public: false };

/// A configuration with one service.
pub fn config(version: u64, routes: &[Route], tenants: &str) -> String {
    let route = |(number, route): (usize, &Route)| {
        let Route { host, prefix, kind, public } = route;
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"{host}\",\"path-prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout-ms\":6000,\"target-latency-ms\":1500,\"priority\":0,\
             \"service\":\"wuno96b\",\"max-attempts\":1,\"stages\":[],\"public\":{public},\
             \"sticky\":false,\"resumable\":false,\"gap-aim-ms\":1000}}"
        )
    };
    let routes: Vec<String> = routes.iter().enumerate().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health-check\":\"/health\",\
         \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\
         \"cold-per-s\":0.0}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// One request of a client.
pub struct Sent {
    /// The status of the answer; 0 without one.
    pub status: u16,
}

/// Clients that send requests at a steady rate, each on a connection of its own.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub fn start(
        record: &Arc<Record>,
        fronts: &[SocketAddr],
        key: &str,
        clients: u64,
        gap: Duration,
    ) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let next = Arc::new(AtomicU64::new(0));
        let client = |number: u64| {
            let (stop, next) = (Arc::clone(&stop), Arc::clone(&next));
            let (sent, record): (Arc<Mutex<Vec<Sent>>>, _) = (Arc::clone(&sent), Arc::clone(record));
            let key = key.to_owned();
            let front = fronts[number as usize % fronts.len()];
            thread::spawn(move || {
                thread::sleep(gap * number as u32 / clients as u32);
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst) + 1);
                    let at = Instant::now();
                    record.line(&format!("send {id}"));
                    let status = send(front, &id, &key);
                    record.line(&format!("answer {id} {status}"));
                    sent.lock().unwrap().push(Sent { status });
                    thread::sleep(gap.saturating_sub(at.elapsed()));
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, sent, clients }
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            drop(client.join());
        }
    }
}

/// Sends one request and returns the status of its answer.
pub fn send(front: SocketAddr, id: &str, key: &str) -> u16 {
    let request = format!(
        "POST /bobo563/lo7/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Limpetmux-Request-Id: {id}\r\n\
         X-Limpetmux-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nContent-Length: 4\r\n\
         Connection: close\r\n\r\nbody"
    );
    http::ask(front, request.as_bytes(), Duration::from_millis(1_500)).map_or(0, |a| a.status())
}
