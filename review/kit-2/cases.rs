//! The cases.

use super::*;
use std::collections::BTreeSet;
use std::io::Read;
use std::ops::Range;
use std::os::fd::AsRawFd;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc;

pub fn play(case: &str, play: &Play) -> i32 {
    match case {
        "quarantine-memory" => quarantine_memory(play),
        "quarantine-hang" => quarantine_hang(play),
        "stop-cuts-answer" => stop_cuts_answer(play),
        "stalled-uploads" => stalled_uploads(play),
        "cached-parts" => cached_parts(play),
        "unread-answers" => unread_answers(play),
        _ => fail("unknown case"),
    }
}

const KEY: &str = "9dnn2ctnfzs989anu6ws";
const HOST: &str = "pule25.example";
const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
/// The memory of the machines that run a sidecar, in MB, on all sheets.
const SIDE_MB: u64 = 192;
/// The tokens in the memory of a model runner.
const KV_TOKENS: u64 = 532_110;

/// The configuration: prompts, lookups and bookings. The limits are those of all deployments.
fn config(book_timeout_ms: u32) -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"ask","host":"{HOST}","path-prefix":"/ask/","kind":"streaming","timeout-ms":6000,"target-latency-ms":1500,"priority":1,"service":"llm","max-attempts":1,"stages":[],"public":false,"sticky":true,"resumable":false,"gap-aim-ms":1000}},
{{"name":"book","host":"{HOST}","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":{book_timeout_ms},"target-latency-ms":150,"priority":2,"service":"core","max-attempts":1,"public":false}}],
"services":[
{{"name":"llm","health-check":"/health","max-connections":370,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":6.3,"engine":{{"slots":64,"kv-capacity":{KV_TOKENS},"kv-token-bytes":18432,"link-mbps":370000.0,"models":[{{"name":"m"}}]}}}},
{{"name":"core","health-check":"/health","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What the runner of bookings has seen.
#[derive(Default)]
struct Bookings {
    /// The bookings that it began to work on.
    began: Mutex<BTreeSet<String>>,
    /// When it wrote the last byte of its latest answer, in seconds of the play.
    written: Mutex<f64>,
}

/// Answers as a runner does: to another instance's requests with 421, to all others by `run`.
fn runner_answer(
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
    run: impl FnOnce(&str) -> (&'static str, Vec<u8>),
) -> bool {
    if request.path() == "/health" {
        return answer(stream, "200 OK", &[("X-Limpetmux-Instance-Id", id)], b"");
    }
    let Some(request_id) = request.header("X-Limpetmux-Request-Id") else {
        return answer(stream, "400 Bad Request", &[("X-Limpetmux-Not-Executed", "1")], b"");
    };
    let mut headers = vec![("X-Limpetmux-Request-Id", request_id)];
    if request.header("X-Limpetmux-Expected-Instance").is_some_and(|expected| expected != id) {
        headers.push(("X-Limpetmux-Instance-Id", id));
        return answer(stream, "421 Misdirected Request", &headers, b"");
    }
    let (kind, body) = run(request_id);
    headers.extend([("X-Limpetmux-Response-Signature", SIGNATURE), ("Content-Type", kind)]);
    answer(stream, "200 OK", &headers, &body)
}

/// Starts the runner of bookings. Each takes `work`; its answer has `size` bytes.
fn start_core(play: &Play, work: Duration, size: usize) -> Arc<Bookings> {
    let (addr, bookings) = (play.runner_addr(63), Arc::new(Bookings::default()));
    let listener = TcpListener::bind(addr).unwrap_or_else(|_| fail("a runner's address is in use"));
    let (seen, start, record) = (Arc::clone(&bookings), play.began, Arc::clone(&play.record));
    serve(listener, move |request, stream| {
        let kept = runner_answer("i-core-1", request, stream, |id| {
            record.log(&format!("booking {id} runs"));
            seen.began.lock().unwrap().insert(id.to_owned());
            thread::sleep(work);
            ("text/plain", (0..size).map(|n| b'a' + (n % 26) as u8).collect())
        });
        *seen.written.lock().unwrap() = start.elapsed().as_secs_f64();
        kept
    });
    play.register("i-core-1", "core", addr, 6, unix_millis());
    bookings
}

/// The process of a model runner: it reads each prompt for `wait` and then streams two events.
pub fn runner_process(args: &[String]) -> ! {
    let [addr, id, wait] = args else { fail("usage: runner ADDR ID WAIT_MS") };
    let addr: SocketAddr = addr.parse().unwrap_or_else(|_| fail("no address"));
    let wait = Duration::from_millis(wait.parse().unwrap_or_else(|_| fail("no time")));
    let listener = TcpListener::bind(addr).unwrap_or_else(|_| fail("a runner's address is in use"));
    println!("ready");
    let id = id.clone();
    serve(listener, move |request, stream| {
        runner_answer(&id, request, stream, |request_id| {
            println!("reads {request_id}");
            thread::sleep(wait);
            ("text/event-stream", b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_vec())
        })
    });
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

/// A model runner that runs as a process of its own; dropping it kills it.
struct ModelRunner {
    child: Child,
    lines: mpsc::Receiver<String>,
    id: String,
    host: u8,
}

impl ModelRunner {
    fn start(play: &Play, host: u8, number: u32, wait_ms: u32) -> Self {
        let (id, addr) = (format!("i-llm-{host}-{number}"), play.runner_addr(host));
        let program = std::env::current_exe().unwrap_or_else(|_| fail("no program"));
        let mut command = Command::new(program);
        command.args(["runner", &addr.to_string(), &id, &wait_ms.to_string()]);
        end_with_parent(&mut command);
        let child = command.stdout(Stdio::piped()).spawn();
        let mut child = child.unwrap_or_else(|_| fail("a runner does not start"));
        let output = child.stdout.take().unwrap_or_else(|| fail("no output"));
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        if lines.recv_timeout(Duration::from_secs(5)).is_err() {
            fail("a runner does not start");
        }
        play.register(&id, "llm", addr, 64, unix_millis());
        Self { child, lines, id, host }
    }

    fn reads(&self) -> bool {
        self.lines.try_iter().any(|line| line.starts_with("reads"))
    }

    fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ModelRunner {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Three sidecars and one entry, the entry last.
fn start_nodes(play: &Play, edge_mb: u64) -> Vec<Node> {
    let spec = |name: String, is_entry, host, memory_mb, max_fds| NodeSpec {
        name,
        is_entry,
        ip: play.ip(host),
        zone: "mnl-a",
        memory_mb,
        max_fds,
    };
    let side = |n: u8| spec(format!("side-{n}"), false, 50 + n, SIDE_MB, 4_096);
    let mut nodes: Vec<Node> = (1..=3).map(|n| play.start_node(side(n))).collect();
    nodes.push(play.start_node(spec("edge-1".to_owned(), true, 41, edge_mb, 4_100)));
    play.wait_ready(&nodes[3]);
    nodes
}

/// The parts of a prompt, of one token each.
fn parts(ids: Range<u64>) -> String {
    ids.map(|id| format!("{id:x}:1")).collect::<Vec<_>>().join(",")
}

fn prompt(id: &str, parts: &str, body: usize) -> String {
    let tokens = |part: &str| part.split(':').nth(1).and_then(|n| n.parse::<u32>().ok());
    let tokens: u32 = parts.split(',').filter_map(tokens).sum();
    format!(
        "POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetmux-Request-Id: {id}\r\n\
         X-Limpetmux-Model: m\r\nX-Limpetmux-Token-Usage: {tokens},80\r\n\
         X-Limpetmux-Prompt-Prefix: {parts}\r\nX-Limpetmux-Deadline-Ms: 6000\r\n\
         Content-Length: {body}\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    )
}

fn booking(id: &str, deadline_ms: u32) -> String {
    format!(
        "POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetmux-Request-Id: {id}\r\n\
         X-Limpetmux-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    )
}

/// Sends a prompt on a thread of its own; the thread returns the status, if there is a whole answer.
fn ask(addr: SocketAddr, id: &str, parts: &str) -> thread::JoinHandle<Option<u16>> {
    let request = prompt(id, parts, 0);
    thread::spawn(move || {
        exchange(addr, request.as_bytes(), Duration::from_secs(7)).map(|reply| reply.status)
    })
}

/// Clients that book on kept connections until `stop`, and the bookings whose connection closed
/// without an answer.
struct Bookers {
    stop: Arc<AtomicBool>,
    cut: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicUsize>,
}

impl Bookers {
    fn start(play: &Play, addr: SocketAddr, clients: usize) -> Self {
        let bookers = Self { stop: Arc::default(), cut: Arc::default(), answered: Arc::default() };
        for client in 0..clients {
            let (stop, cut) = (Arc::clone(&bookers.stop), Arc::clone(&bookers.cut));
            let (answered, record) = (Arc::clone(&bookers.answered), Arc::clone(&play.record));
            thread::spawn(move || book_on(addr, client, &stop, (&cut, &answered, &record)));
        }
        bookers
    }

    /// Returns the bookings that a runner began, on a connection that had answered before, and that
    /// closed without an answer.
    fn lost(&self, seen: &Bookings) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
        let began = seen.began.lock().unwrap();
        self.cut.lock().unwrap().iter().filter(|id| began.contains(*id)).cloned().collect()
    }
}

fn book_on(
    addr: SocketAddr,
    client: usize,
    stop: &AtomicBool,
    (cut, answered, record): (&Mutex<Vec<String>>, &AtomicUsize, &Record),
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        let Ok(copy) = stream.try_clone() else { continue };
        let mut reader = BufReader::new(copy);
        let mut on_connection = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{client}-{number}");
            if stream.write_all(booking(&id, 6_000).as_bytes()).is_err() {
                break;
            }
            record.log(&format!("booking {id} is sent"));
            let Some(reply) = read_reply(&mut reader) else {
                record.log(&format!("booking {id}: the connection closed without an answer"));
                if on_connection > 0 {
                    cut.lock().unwrap().push(id);
                }
                break;
            };
            record.log(&format!("booking {id}: {}", reply.status));
            on_connection += 1;
            answered.fetch_add(1, Ordering::Relaxed);
            if find(&reply.headers, "connection").is_some_and(|v| v == "close") {
                break;
            }
        }
    }
}

/// Does for a time what the platform does: a process over its memory is killed and started again.
fn supervise(play: &Play, nodes: &mut [Node], ends: &mut Vec<String>, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for node in nodes.iter_mut().filter(|node| node.is_over()) {
            let (name, limit) = (node.spec.name.clone(), node.spec.memory_mb);
            let used = node.memory() / 1_000_000;
            node.kill();
            play.log(&format!("{name} held {used} MB of {limit} MB; the platform has killed it"));
            thread::sleep(Duration::from_millis(300));
            *node = play.start_node(node.spec.clone());
            ends.push(name);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn log_memory(play: &Play, nodes: &[Node]) {
    let used = |n: &Node| format!("{} {} MB", n.spec.name, n.memory() / 1_000_000);
    play.log(&nodes.iter().map(used).collect::<Vec<_>>().join(", "));
}

/// Lets the runner that reads a prompt crash while it does, and come back two seconds later; without
/// the disruption the prompt is answered. `rest` passes the time.
fn crash_reader(
    play: &Play,
    runners: &mut Vec<ModelRunner>,
    addr: SocketAddr,
    (number, parts): (u32, &str),
    mut rest: impl FnMut(Duration),
) {
    let id = format!("a{number}");
    play.log(&format!("prompt {id} is sent"));
    let asked = ask(addr, &id, parts);
    let until = Instant::now() + Duration::from_secs(5);
    let reader = loop {
        if let Some(reader) = runners.iter().position(ModelRunner::reads) {
            break Some(reader);
        }
        if Instant::now() > until {
            break None;
        }
        rest(Duration::from_millis(10));
    };
    let Some(reader) = reader else {
        return play.log(&format!("prompt {id} reached no runner: {:?}", asked.join().ok()));
    };
    if !play.trouble {
        return play.log(&format!("prompt {id}: {:?}", asked.join().ok()));
    }
    let mut gone = runners.remove(reader);
    gone.crash();
    play.log(&format!("{} crashed while it read prompt {id}: {:?}", gone.id, asked.join().ok()));
    rest(DOWN_TIME);
    runners.push(ModelRunner::start(play, gone.host, number, READ_MS));
    rest(LAPSE_TIME - DOWN_TIME);
    play.store.put("keyed.servers", &gone.id, b"");
}

/// How long a runner is down that has crashed.
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// The time after which its entry lapses: three heartbeat intervals.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);

/// How long a model runner reads a prompt.
const READ_MS: u32 = 300;

fn quarantine_memory(play: &Play) -> i32 {
    play.store.put("keyed.op", "config", config(6_000).as_bytes());
    let seen = start_core(play, Duration::from_millis(500), 800);
    let start = |host| ModelRunner::start(play, host, 0, READ_MS);
    let mut runners: Vec<ModelRunner> = [61, 62, 64, 65].into_iter().map(start).collect();
    let mut nodes = start_nodes(play, 260);
    let addr = nodes[3].front();
    let bookers = Bookers::start(play, addr, 8);
    let mut ends = Vec::new();
    let prompts = [parts(0x100..0x420), parts(0x1000..0x1320)];
    for (index, parts) in prompts.iter().enumerate() {
        for round in 0..3 {
            let number = index as u32 * 3 + round + 1;
            let rest = |time| supervise(play, &mut nodes, &mut ends, time);
            crash_reader(play, &mut runners, addr, (number, parts), rest);
            log_memory(play, &nodes);
        }
    }
    supervise(play, &mut nodes, &mut ends, Duration::from_secs(10));
    log_memory(play, &nodes);
    let lost = bookers.lost(&seen);
    play.log(&format!("bookings that ran and whose connection closed without an answer: {lost:?}"));
    let answered = bookers.answered.load(Ordering::Relaxed);
    let text = format!(
        "{} bookings lost, {answered} answered; killed for their memory: {ends:?}",
        lost.len()
    );
    play.end(lost.len() > 3, &text)
}

fn quarantine_hang(play: &Play) -> i32 {
    play.store.put("keyed.op", "config", config(1_000).as_bytes());
    let _seen = start_core(play, Duration::from_millis(30), 800);
    let start = |host| ModelRunner::start(play, host, 0, READ_MS);
    let mut runners: Vec<ModelRunner> = [61, 62, 64, 65].into_iter().map(start).collect();
    let nodes = start_nodes(play, 260);
    let addr = nodes[3].front();
    let first = parts(0x10..0xa80);
    for number in 1..=3 {
        crash_reader(play, &mut runners, addr, (number, &first), thread::sleep);
    }
    thread::sleep(Duration::from_millis(4_000));
    let mut clients: Vec<TcpStream> = Vec::new();
    for client in 0..12 {
        let Ok(mut stream) = TcpStream::connect(addr) else { fail("no connection") };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.write_all(booking(&format!("w{client}"), 1_000).as_bytes());
        let Ok(copy) = stream.try_clone() else { fail("no connection") };
        let status = read_reply(&mut BufReader::new(copy)).map(|reply| reply.status);
        play.log(&format!("booking w{client} in calm: {status:?}"));
        clients.push(stream);
    }
    // Another client's prompt, with other parts, is answered.
    let second = ask(addr, "b1", &parts(0x1000..0x18a0));
    while !runners.iter().any(ModelRunner::reads) && !second.is_finished() {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(READ_MS.into()) + Duration::from_millis(200));
    let sent = Instant::now();
    for (client, stream) in clients.iter_mut().enumerate() {
        play.log(&format!("booking x{client} is sent"));
        let _ = stream.write_all(booking(&format!("x{client}"), 1_000).as_bytes());
    }
    let waits = clients.into_iter().enumerate().map(|(client, stream)| {
        thread::spawn(move || {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
            let reply = read_reply(&mut BufReader::new(stream));
            (client, reply.map(|reply| reply.status), sent.elapsed())
        })
    });
    let waits: Vec<_> = waits.collect();
    let (mut at_timeout, mut later) = (0, 0);
    for wait in waits {
        let Ok((client, status, took)) = wait.join() else { continue };
        play.log(&format!("booking x{client}: {status:?} after {took:?}"));
        at_timeout += usize::from(took > Duration::from_millis(1_000));
        later += usize::from(took > Duration::from_millis(1_500));
    }
    play.log(&format!("prompt b1, which its runner has answered: {:?}", second.join().ok()));
    log_memory(play, &nodes);
    let text = format!(
        "of 12 bookings {at_timeout} had no answer at the route's timeout of 1 s, {later} none half a second later"
    );
    play.end(later >= 8 && later * 2 > at_timeout, &text)
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives a connection the segments of an Ethernet and a small window.
fn make_slow(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let (window, segment) = (16_384, 1_460);
    // SAFETY: both values live through the calls, and their length is stated.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
    }
}

fn stop_cuts_answer(play: &Play) -> i32 {
    const SIZE: usize = 1_000_000;
    const READ: usize = 10_000;
    const GRACE_S: f64 = 8.0;
    play.store.put("keyed.op", "config", config(15_000).as_bytes());
    let seen = start_core(play, Duration::from_millis(30), SIZE);
    let mut nodes = start_nodes(play, 160);
    let Ok(mut stream) = TcpStream::connect(nodes[3].front()) else { fail("no connection") };
    make_slow(&stream);
    let sent = play.began.elapsed().as_secs_f64();
    if stream.write_all(booking("s1", 15_000).as_bytes()).is_err() {
        fail("the booking cannot be sent");
    }
    play.log("booking s1 is sent");
    thread::sleep(Duration::from_millis(300));
    let signal = play.began.elapsed().as_secs_f64();
    if play.trouble {
        nodes[3].signal(SIGTERM);
        play.log("SIGTERM to the entry");
    }
    let (mut bytes, mut buffer, mut is_up) = (Vec::new(), vec![0; READ], true);
    let ended = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "the end of the connection".to_owned(),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
        if whole_body(&bytes, SIZE) {
            break "the whole answer".to_owned();
        }
        if is_up && !nodes[3].is_running() {
            is_up = false;
            play.log(&format!("the entry's process has ended; {} bytes are read", bytes.len()));
        }
        let elapsed = play.began.elapsed().as_secs_f64() - signal;
        if play.trouble && is_up && elapsed > GRACE_S {
            nodes[3].kill();
        }
        thread::sleep(Duration::from_millis(45));
    };
    let now = play.began.elapsed().as_secs_f64();
    let written = *seen.written.lock().unwrap() - signal;
    play.log(&format!("the runner had written its answer {written:.2} s after the signal"));
    let body = bytes.len().saturating_sub(head_len(&bytes));
    let text =
        format!("{body} of {SIZE} bytes of the body arrived in {:.2} s, then {ended}", now - sent);
    // The rule excuses a runner that is still at work in the last sixth of the grace.
    let is_excused = written > GRACE_S * 5.0 / 6.0 || now - sent > 14.0;
    play.end(!whole_body(&bytes, SIZE) && !is_excused, &text)
}

fn head_len(bytes: &[u8]) -> usize {
    bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4)
}

fn whole_body(bytes: &[u8], size: usize) -> bool {
    bytes.len() >= size && bytes.len() - head_len(&bytes[..bytes.len().min(4_096)]) >= size
}

fn stalled_uploads(play: &Play) -> i32 {
    const CROWD: usize = 1_600;
    const BODY: usize = 4_000;
    play.store.put("keyed.op", "config", config(6_000).as_bytes());
    let seen = start_core(play, Duration::from_millis(500), 800);
    let _runner = ModelRunner::start(play, 61, 0, READ_MS);
    let mut nodes = start_nodes(play, 160);
    let addr = nodes[3].front();
    let bookers = Bookers::start(play, addr, 8);
    thread::sleep(Duration::from_secs(2));
    let parts = match play.trouble {
        true => (0..3_900).map(|n| format!("{:x}:1", n % 16)).collect::<Vec<_>>().join(","),
        false => "1:1900,2:2000".to_owned(),
    };
    let (mut open, mut ends) = (Vec::new(), Vec::new());
    for client in 0..CROWD {
        let connected = TcpStream::connect_timeout(&addr, Duration::from_secs(2));
        let Ok(mut stream) = connected else { continue };
        let _ = stream.write_all(prompt(&format!("u{client}"), &parts, BODY).as_bytes());
        let _ = stream.write_all(&[b'x'; BODY - 1]);
        open.push(stream);
        supervise(play, &mut nodes[3..], &mut ends, Duration::ZERO);
        if client % 100 == 99 {
            play.log(&format!(
                "{} clients have stopped before the end of their bodies",
                open.len()
            ));
            log_memory(play, &nodes);
        }
        if !ends.is_empty() {
            break;
        }
        if nodes[3].is_over() {
            supervise(play, &mut nodes[3..], &mut ends, Duration::from_millis(10));
        }
    }
    supervise(play, &mut nodes[3..], &mut ends, Duration::from_secs(4));
    let lost = bookers.lost(&seen);
    play.log(&format!("bookings that ran and whose connection closed without an answer: {lost:?}"));
    let text = format!(
        "{} bookings lost; {} clients; killed for its memory: {ends:?}",
        lost.len(),
        open.len()
    );
    play.end(lost.len() > 3, &text)
}

/// The model runners of the sheet.
const MODEL_RUNNERS: u8 = 41;

/// Starts a model runner in this process; it answers each prompt at once.
fn start_fast_model(play: &Play, host: u8) {
    let (id, addr) = (format!("i-llm-{host}"), play.runner_addr(host));
    let listener = TcpListener::bind(addr).unwrap_or_else(|_| fail("a runner's address is in use"));
    play.register(&id, "llm", addr, 64, unix_millis());
    serve(listener, move |request, stream| {
        let events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        runner_answer(&id, request, stream, |_| ("text/event-stream", events.to_vec()))
    });
}

/// Sends prompts one after the other until `stop`; counts those that are sent and those served.
fn send_prompts(
    play: &Play,
    addr: SocketAddr,
    client: u64,
    stop: &AtomicBool,
    counts: &[AtomicUsize; 2],
) {
    let mut number = client << 20;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let parts = match play.trouble {
            true => format!("{number:x}:1{}", ",1:1".repeat(3_850)),
            false => format!("{number:x}:1,1:1,2:3849"),
        };
        let request = prompt(&format!("p{number}"), &parts, 0);
        let reply = exchange(addr, request.as_bytes(), Duration::from_secs(7));
        counts[0].fetch_add(1, Ordering::Relaxed);
        counts[1].fetch_add(
            usize::from(reply.is_some_and(|reply| reply.status == 200)),
            Ordering::Relaxed,
        );
        thread::sleep(Duration::from_millis(if play.trouble { 1 } else { 20 }));
    }
}

fn cached_parts(play: &Play) -> i32 {
    play.store.put("keyed.op", "config", config(6_000).as_bytes());
    (100..100 + MODEL_RUNNERS).for_each(|host| start_fast_model(play, host));
    let mut nodes = start_nodes(play, 256);
    let addr = nodes[3].front();
    let (stop, counts, mut ends) = (AtomicBool::new(false), Default::default(), Vec::new());
    let until = Instant::now() + Duration::from_secs(100);
    let often = thread::scope(|scope| {
        for client in 1..=4 {
            let (stop, counts) = (&stop, &counts);
            scope.spawn(move || send_prompts(play, addr, client, stop, counts));
        }
        loop {
            supervise(play, &mut nodes, &mut ends, Duration::from_secs(2));
            log_memory(play, &nodes);
            let count =
                |node: &&Node| ends.iter().filter(|name| **name == node.spec.name).count() >= 3;
            let often = nodes.iter().filter(count).count();
            if often >= 2 || Instant::now() > until {
                stop.store(true, Ordering::Relaxed);
                break often;
            }
        }
    });
    let [sent, served] = counts.map(AtomicUsize::into_inner);
    let text = format!("{served} of {sent} prompts are served; killed for their memory: {ends:?}");
    play.end(often >= 2, &text)
}

/// No case of its own: callers that send eight requests ahead and read none of the answers.
fn unread_answers(play: &Play) -> i32 {
    const CROWD: usize = 2_200;
    const SIZE: usize = 65_000;
    play.store.put("keyed.op", "config", config(6_000).as_bytes());
    let _seen = start_core(play, Duration::from_millis(5), SIZE);
    let mut nodes = start_nodes(play, 160);
    let ahead = if play.trouble { 8 } else { 1 };
    let (mut open, mut ends) = (Vec::new(), Vec::new());
    for client in 0..CROWD {
        let Ok(mut stream) = TcpStream::connect(nodes[3].front()) else { continue };
        make_slow(&stream);
        for number in 0..ahead {
            let request = booking(&format!("r{client}-{number}"), 6_000);
            let _ = stream.write_all(request.as_bytes());
        }
        open.push(stream);
        thread::sleep(Duration::from_millis(3));
        if client % 100 == 99 {
            log_memory(play, &nodes);
        }
        if nodes[3].is_over() {
            break;
        }
    }
    supervise(play, &mut nodes, &mut ends, Duration::from_secs(3));
    let text = format!("{} clients; killed for its memory: {ends:?}", open.len());
    play.end(!ends.is_empty(), &text)
}
