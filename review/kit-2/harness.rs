//! Stand-ins and clients of the cases of the second review; the standard library is all they need.
//!
//! `harness CASE PROGRAM DIR` starts the stand-ins of the platform's store and of runners, starts
//! nodes of the program as separate processes, and plays one case. It writes `record.txt` into DIR.
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. The variable
//! `TROUBLE=0` leaves out the disruption.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

pub type Headers = Vec<(String, String)>;

/// A request as a stand-in has read it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks; `None` if it ends early.
pub fn read_body(reader: &mut impl BufRead, headers: &Headers) -> Option<Vec<u8>> {
    if let Some(length) = find(headers, "content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    if !find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Some(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Serves requests of one listener, each connection on a thread of its own, until the process ends.
/// The handler writes the answer and returns whether the connection is kept.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let work = move || {
                let _ = serve_connection(stream, &*handler);
            };
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(work);
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> bool,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let body = read_body(&mut reader, &headers)?;
        if !handler(&Request { method, target, headers, body }, &mut writer) {
            return None;
        }
    }
}

/// Writes an answer with a length; returns whether it was written.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// An answer as a client has read it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Reads a whole answer; `None` if it ends early.
pub fn read_reply(reader: &mut impl BufRead) -> Option<Reply> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(reader, &headers)?;
    Some(Reply { status, headers, body })
}

/// Sends a request on a new connection and reads the answer within `time`.
pub fn exchange(addr: SocketAddr, request: &[u8], time: Duration) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&addr, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    stream.write_all(request).ok()?;
    read_reply(&mut BufReader::new(stream))
}

/// The stand-in of the platform's store: keyed topics with one partition each.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        self.changed.notify_all();
    }

    pub fn start(self: &Arc<Self>, addr: SocketAddr) -> std::io::Result<()> {
        let store = Arc::clone(self);
        serve(TcpListener::bind(addr)?, move |request, stream| store.handle(request, stream));
        Ok(())
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/log-append" => {
                let (offset, end) = self.append(&topic, &request.body);
                let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                answer(stream, "200 OK", &json, text.as_bytes())
            }
            "/log-read" => {
                let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
                let (from, wait) = (number("from").unwrap_or(0), number("wait-ms").unwrap_or(0));
                answer(stream, "200 OK", &[], &self.read(&topic, from as usize, wait))
            }
            "/log-newest" => answer(stream, "200 OK", &json, self.newest(&topic).as_bytes()),
            _ => answer(stream, "404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = usize::from(record[0]);
            let name = String::from_utf8_lossy(&record[1..=key]).into_owned();
            records.push((name, record[1 + key..].to_vec()));
            body = &body[4 + length..];
        }
        self.changed.notify_all();
        (offset, records.len())
    }

    fn read(&self, topic: &str, from: usize, wait: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                return bytes;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = (newest.iter().filter(|(_, (_, value))| !value.is_empty()))
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}")
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (word >> (18 - 6 * digit)) & 63;
            let is_there = digit <= chunk.len();
            text.push(if is_there { char::from(DIGITS[value as usize]) } else { '=' });
        }
    }
    text
}

/// What the settings of a node say.
#[derive(Clone)]
pub struct NodeSpec {
    pub name: String,
    pub is_entry: bool,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub memory_mb: u64,
    pub max_fds: u32,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Makes a process end when this one does, however that ends.
pub fn end_with_parent(command: &mut Command) {
    // SAFETY: the call is async-signal-safe and touches no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    };
}

/// A node that runs as a process of its own; dropping it kills it.
pub struct Node {
    pub spec: NodeSpec,
    child: Child,
}

impl Node {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.spec.ip, FRONT_PORT))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the readiness address says that the node is ready.
    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::from((self.spec.ip, READY_PORT));
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        exchange(addr, request, Duration::from_secs(1)).is_some_and(|r| r.status == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, number: i32) {
        // SAFETY: the call touches no memory; the process was started by this play.
        unsafe { kill(self.id() as i32, number) };
    }

    /// Returns whether the process exceeds the memory of its settings, for which the platform kills it.
    pub fn is_over(&self) -> bool {
        self.memory() > self.spec.memory_mb * 1_000_000
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
        kb.unwrap_or(0) * 1_024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The longest time of a play.
const MAX_TIME: Duration = Duration::from_secs(115);

pub const FRONT_PORT: u16 = 8625;
pub const READY_PORT: u16 = 8621;
pub const CONTROL_PORT: u16 = 8628;
pub const STORE_PORT: u16 = 8624;
pub const RUNNER_PORT: u16 = 8080;

/// The record of a play: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<fs::File>,
    lines: AtomicUsize,
}

impl Record {
    /// Writes a line.
    pub fn log(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        if self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES {
            let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        }
    }
}

/// The most lines of a record.
const MAX_LINES: usize = 20_000;

/// One play of a case.
pub struct Play {
    pub program: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub began: Instant,
    pub store: Arc<Store>,
    net: [u8; 2],
    pub record: Arc<Record>,
}

impl Play {
    /// Returns an address of this play; no other play uses it.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn runner_addr(&self, host: u8) -> SocketAddr {
        SocketAddr::from((self.ip(host), RUNNER_PORT))
    }

    /// Writes a line into the record.
    pub fn log(&self, text: &str) {
        self.record.log(text);
    }

    /// Logs a line and prints it.
    pub fn say(&self, text: &str) {
        self.log(text);
        println!("{text}");
    }

    pub fn start_node(&self, spec: NodeSpec) -> Node {
        let path = self.temp.join(format!("{}.json", spec.name));
        fs::write(&path, self.settings(&spec)).unwrap();
        let log = fs::File::create(self.temp.join(format!("{}.log", spec.name))).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new(&self.program);
        command.arg("node").env("LIMPETMUX_BOOT", &path).stdin(Stdio::null());
        end_with_parent(&mut command);
        let child = command.stdout(log).stderr(errors).spawn();
        let child = child.unwrap_or_else(|error| fail(&format!("a node does not start: {error}")));
        self.log(&format!("node {} started, process {}", spec.name, child.id()));
        Node { spec, child }
    }

    fn settings(&self, spec: &NodeSpec) -> String {
        let ip = spec.ip;
        let (serves, listen, class) = match spec.is_entry {
            true => (
                r#"["edge","control_plane"]"#,
                format!(
                    r#"{{"front":"{ip}:{FRONT_PORT}","readiness":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}}"#
                ),
                "edge",
            ),
            false => (r#"["side"]"#, "{}".to_owned(), "side"),
        };
        let seed = self.ip(41);
        format!(
            r#"{{"node-id":"{name}","role":"{class}","machine-class":"{class}","serves":{serves},
"ip":"{ip}","zone":"{zone}","region":"ph-luzon","zones":{{"mnl-a":"ph-luzon","mnl-b":"ph-luzon"}},
"listen":{listen},"internal-ports":[7740,7755],"seeds":["{seed}:{CONTROL_PORT}"],"bootstrap":true,
"loss-counts":false,"limits":{{"cpu-share":0.2,"cores":1,"memory-mb":{memory},"max-fds":{fds},"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
"fault-tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"outer-ms":5000,"strict-revoke":true,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":56,"cold-over":1.5,"cold-slack":5,"evacuate-ms":5000,"recovery-s":12,"pass-ms":120,"reuse-window-s":10}},
"platform":{{"address":"{store}:{STORE_PORT}","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,"part-mb-per-s":20.0,"read-mb-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"part-mb":200,"ttl-min-ms":1000}}}}"#,
            name = spec.name,
            zone = spec.zone,
            memory = spec.memory_mb,
            fds = spec.max_fds,
            store = self.ip(7),
        )
    }

    /// Registers a runner, as it does itself with each heartbeat.
    pub fn register(&self, id: &str, service: &str, addr: SocketAddr, slots: u32, born: u64) {
        let value = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"mnl-a","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
        );
        self.store.put("keyed.servers", id, value.as_bytes());
    }

    /// Waits until an entry is ready for callers.
    pub fn wait_ready(&self, node: &Node) {
        let until = Instant::now() + Duration::from_secs(20);
        while !node.is_ready() {
            if Instant::now() > until {
                fail("the entry does not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Nodes that start together know each other by then.
        thread::sleep(Duration::from_millis(1_500));
        self.log(&format!("node {} is ready", node.spec.name));
    }

    /// Ends the case with its result.
    pub fn end(&self, is_broken: bool, text: &str) -> i32 {
        self.say(&format!("{}: {text}", if is_broken { "BROKEN" } else { "held" }));
        i32::from(is_broken)
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn fail(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    exit(2);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|a| a == "runner") {
        cases::runner_process(&args[2..]);
    }
    let [_, case, program, dir] = args.as_slice() else { fail("usage: harness CASE PROGRAM DIR") };
    let dir = Path::new(dir).to_owned();
    let program = fs::canonicalize(program).unwrap_or_else(|_| fail("the program is not built"));
    let id = std::process::id();
    let temp = std::env::temp_dir().join(format!("review-2-{id}"));
    fs::create_dir_all(&temp).unwrap_or_else(|_| fail("no temporary folder"));
    let record = fs::File::create(dir.join("record.txt")).unwrap_or_else(|_| fail("no record"));
    let began = Instant::now();
    let play = Play {
        program,
        temp: temp.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
        began,
        store: Arc::default(),
        net: [100 + (id >> 8) as u8 % 100, (id & 0xff) as u8],
        record: Arc::new(Record { began, file: Mutex::new(record), lines: AtomicUsize::new(0) }),
    };
    let store = SocketAddr::from((play.ip(7), STORE_PORT));
    play.store.start(store).unwrap_or_else(|_| fail("the store's address is in use"));
    play.log(&format!("case {case}, disruption {}", if play.trouble { "on" } else { "off" }));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        fail("it took too long");
    });
    let code = cases::play(case, &play);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temp);
    }
    exit(code);
}
