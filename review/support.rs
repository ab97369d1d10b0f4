//! Stand-ins of the platform's store and of the backend servers, and the processes of a small
//! deployment, for the scripts of the review. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

/// Reads a head, without the body.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(message)
}

/// Reads a message whose body has a stated length.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes lines of the record with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record can be written");
        print!("{line}");
    }
}

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct Log {
    topics: Mutex<BTreeMap<String, Records>>,
    appended: Condvar,
}

/// How one door of the store treats its callers.
pub const OPEN: u8 = 0;
/// Every call gets 503, which says that nothing was done.
pub const REFUSES: u8 = 1;

/// The platform's store, with a door (an address of its own) for each process.
#[derive(Clone, Default)]
pub struct Store {
    log: Arc<Log>,
}

/// The address at which one process reaches the store.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// When the door last answered a read of the list of backend servers.
    read_at: Arc<Mutex<Option<Instant>>>,
    /// When it last refused one.
    refused_at: Arc<Mutex<Option<Instant>>>,
}

impl Door {
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    pub fn last_read(&self) -> Option<Instant> {
        *self.read_at.lock().unwrap()
    }

    pub fn last_refused(&self) -> Option<Instant> {
        *self.refused_at.lock().unwrap()
    }
}

impl Store {
    /// Appends a record, as the operator or a backend server does; the return is its acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key.to_owned(), value.as_bytes().to_vec());
    }

    fn append(&self, topic: &str, key: String, value: Vec<u8>) -> usize {
        let mut topics = self.log.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key, value));
        self.log.appended.notify_all();
        records.len()
    }

    /// Opens a door at a loopback address.
    pub fn door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().unwrap();
        let door = Door {
            addr,
            mode: Arc::default(),
            read_at: Arc::default(),
            refused_at: Arc::default(),
        };
        let (store, at) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, at) = (store.clone(), at.clone());
                thread::spawn(move || drop(store.serve(stream, &at)));
            }
        });
        door
    }

    fn serve(&self, mut stream: TcpStream, door: &Door) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let call = read_message(&mut reader)?;
            let (mut status, mut body) = (503, Vec::new());
            if door.mode.load(Ordering::SeqCst) == OPEN {
                (status, body) = self.answer(&call);
                // A call that was held while the door closed is refused, too: nothing was done.
                if door.mode.load(Ordering::SeqCst) != OPEN {
                    (status, body) = (503, Vec::new());
                } else if call.target().contains("topic=keyed.servers") {
                    *door.read_at.lock().unwrap() = Some(Instant::now());
                }
            }
            if status == 503 && call.target().contains("topic=keyed.servers") {
                *door.refused_at.lock().unwrap() = Some(Instant::now());
            }
            let head = format!("HTTP/1.1 {status} S\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), &body].concat())?;
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        match path {
            "/log-newest" => (200, self.newest(topic)),
            "/log-read" => {
                let number = |name| query.get(name).and_then(|n| n.parse().ok()).unwrap_or(0);
                (200, self.read(topic, number("from"), number("wait-ms") as u64))
            }
            "/log-append" => (200, self.append_all(topic, &call.body)),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.log.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |r| r);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let items = items.join(",");
        format!(r#"{{"items":[{items}],"has-more":false,"end":{}}}"#, records.len()).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.log.topics.lock().unwrap();
        while topics.get(topic).map_or(0, Vec::len) <= from && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            topics = self.log.appended.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], |r| r);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        body
    }

    fn append_all(&self, topic: &str, mut body: &[u8]) -> Vec<u8> {
        let mut end = 0;
        while body.len() > 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let (record, rest) = body[4..].split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            end = self.append(topic, String::from_utf8_lossy(key).into_owned(), value.to_vec());
            body = rest;
        }
        format!(r#"{{"offset":{},"end":{end}}}"#, end.saturating_sub(1)).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const CODE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let index = (word >> (18 - 6 * place)) & 63;
            text.push(if place <= chunk.len() { char::from(CODE[index as usize]) } else { '=' });
        }
    }
    text
}

/// Answers one request on a connection; returns whether the connection is kept.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

/// Starts a backend server at a loopback address.
pub fn backend(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || -> std::io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                loop {
                    let request = read_message(&mut reader)?;
                    if !handler(&request, &mut stream)? {
                        return Ok(());
                    }
                }
            });
        }
    });
    addr
}

/// One process of the deployment.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub door: Door,
    pub entry: bool,
    child: Option<Child>,
    dir: PathBuf,
}

/// A deployment of entries and sidecars on loopback addresses.
pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Node>,
    dir: PathBuf,
}

const ZONES: [&str; 4] = ["mnl-a", "mnl-b", "clark-a", "batangas-a"];

impl Fleet {
    /// Starts `entries` entries and `sidecars` sidecars; their logs are kept in a temporary folder.
    pub fn start(store: &Store, entries: usize, sidecars: usize) -> Self {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{id}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder can be written");
        let net = format!("127.{}.{}", 100 + id / 250 % 100, 1 + id % 250);
        let ips: Vec<String> =
            (0..entries + sidecars).map(|i| format!("{net}.{}", 10 + i)).collect();
        let ports = free_ports(&ips);
        let mut fleet = Self { store: store.clone(), nodes: Vec::new(), dir };
        for (index, ip) in ips.iter().enumerate() {
            let entry = index < entries;
            let kind = if entry { "edge" } else { "side" };
            let node = Node {
                name: format!("{kind}-{index}"),
                ip: ip.clone(),
                front: format!("{ip}:{}", ports[0]).parse().unwrap(),
                ready: format!("{ip}:{}", ports[1]).parse().unwrap(),
                door: store.door(),
                entry,
                child: None,
                dir: fleet.dir.clone(),
            };
            let serves = if entry { r#"["edge","control_plane"]"# } else { r#"["side"]"# };
            let listen = match entry {
                true => format!(r#"{{"front":"{}","readiness":"{}"}}"#, node.front, node.ready),
                false => "{}".to_owned(),
            };
            let seeds: Vec<String> =
                ips.iter().take(3).map(|ip| format!(r#""{ip}:{}""#, ports[2])).collect();
            let (memory, descriptors) = if entry { (260, 4100) } else { (192, 4096) };
            let zone = ZONES[index % ZONES.len()];
            let settings = format!(
                r#"{{"node-id":"{}","role":"{}","machine-class":"{kind}","serves":{serves},
                "ip":"{ip}","zone":"{zone}","region":"ph-luzon","listen":{listen},
                "internal-ports":[{},{}],"seeds":[{}],"bootstrap":true,
                "limits":{{"memory-mb":{memory},"max-fds":{descriptors}}},"heartbeat-ms":1200,
                "bounds":{{"contact-ms":3000,"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,
                "config-apply-ms":2000,"revoke-ms":5000,"strict-revoke":true,
                "retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":56}},
                "platform":{{"address":"{}","form":"log"}}}}"#,
                node.name,
                if entry { "entry" } else { "sidecar" },
                ports[2],
                ports[2] + 15,
                seeds.join(","),
                node.door.addr,
            );
            std::fs::write(node.settings(), settings).expect("settings can be written");
            fleet.nodes.push(node);
        }
        fleet.nodes.iter_mut().for_each(Node::start);
        fleet
    }

    pub fn entries(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.entry)
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = |n: &Node| {
                call(n.ready, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
                    .is_ok_and(|a| a.status() == 200)
            };
            if self.entries().all(ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.dir));
        }
    }
}

impl Node {
    fn settings(&self) -> PathBuf {
        self.dir.join(format!("{}.json", self.name))
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = std::fs::File::create(self.dir.join(format!("{}.log", self.name))).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/limpetmux");
        command.arg("node").env("LIMPETMUX_BOOT", self.settings()).stdin(Stdio::null());
        let child = command.stdout(log).stderr(errors).spawn();
        let child = child.expect("the program was built by the command of the deploy file");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().map_or(0, Child::id);
        assert!(id > 0, "the process runs");
        let done = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
        assert!(done.is_ok_and(|status| status.success()), "the signal was sent");
    }

    /// Changes the settings file in its layout alone, and sends SIGHUP.
    pub fn reload(&self) {
        let text = std::fs::read_to_string(self.settings()).expect("settings can be read");
        std::fs::write(self.settings(), text + "\n").expect("settings can be written");
        self.signal("HUP");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

/// Finds ports that are free at all addresses: for callers, for readiness and between nodes.
fn free_ports(ips: &[String]) -> [u16; 3] {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok());
    let mut ports = [0; 3];
    let mut next = 20_000 + (std::process::id() % 500) as u16 * 20;
    for (index, port) in ports.iter_mut().enumerate() {
        while !is_free(next) || next == 9464 {
            next += 1;
        }
        *port = next;
        next += if index == 2 { 0 } else { 1 };
    }
    ports
}

/// Sends a request on a new connection and reads its whole answer.
pub fn call(addr: SocketAddr, request: &[u8]) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

/// The ids of the processes that were started and not yet reaped.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script and all processes that it started after the given time, as a case that could not
/// run.
pub fn watchdog(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        eprintln!("the script took too long");
        for id in STARTED.lock().unwrap().iter() {
            drop(Command::new("kill").arg("-KILL").arg(id.to_string()).status());
        }
        std::process::exit(2);
    });
}
