//! Answers without a length, of a backend server that is a process of its own and is killed.

use crate::fleet::{Addresses, Bounds, Fleet, ONCE, Record, Route, STREAM, config, die_with_parent};
use crate::http;
use crate::store::Store;
use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SMALL: Bounds = Bounds { drain: 2_000, config: 2_000, contact: 3_000 };
/// The routes, which need no key.
const ROUTES: [Route; 2] = [Route { public: true, ..ONCE }, Route { public: true, ..STREAM }];
/// The events of a streamed answer, and the time between two of them.
const EVENTS: usize = 10;
const GAP: Duration = Duration::from_millis(60);
/// The parts of a plain answer, and the bytes of each.
const PARTS: usize = 4;
const PART_BYTES: usize = 200;

/// Serves requests until the process is killed. Answers have no length and end with their connection.
pub fn serve(addr: &str, id: &str) -> Result<()> {
    let listener = TcpListener::bind(addr)?;
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || drop(answer(stream, &id)));
    }
    Ok(())
}

fn answer(mut stream: TcpStream, id: &str) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(request) = http::read(&mut reader)? else { return Ok(()) };
    let request_id = request.header("x-limpetmux-request-id").unwrap_or_default().to_owned();
    println!("run {request_id} at {id}");
    let is_stream = request.target().1.starts_with("/puxa400/");
    let kind = if is_stream { "text/event-stream" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Limpetmux-Request-Id: {request_id}\r\n\
         X-Limpetmux-Response-Signature: {id}.{request_id}\r\nContent-Type: {kind}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for part in whole(is_stream) {
        sleep(GAP);
        stream.write_all(part.as_bytes())?;
    }
    Ok(())
}

/// The parts of a whole answer.
fn whole(is_stream: bool) -> Vec<String> {
    match is_stream {
        true => (1..=EVENTS).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect(),
        false => (0..PARTS).map(|n| n.to_string().repeat(PART_BYTES)).collect(),
    }
}

struct Running {
    id: String,
    addr: SocketAddr,
    born: u128,
    child: Child,
}

/// Starts a server; what it runs goes into the record.
fn start_server(record: &Arc<Record>, addr: SocketAddr, id: &str) -> Result<Running> {
    let program = std::env::current_exe()?;
    let mut command = Command::new(program);
    command.args(["serve", &addr.to_string(), id]).stdin(Stdio::null());
    let mut child = die_with_parent(command.stdout(Stdio::piped())).spawn()?;
    let output = child.stdout.take().ok_or(Error::other("no output"))?;
    let record = Arc::clone(record);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record.line(&line);
        }
    });
    let born = std::time::UNIX_EPOCH.elapsed().map_err(Error::other)?.as_millis();
    Ok(Running { id: id.to_owned(), addr, born, child })
}

impl Running {
    fn value(&self, sequence: u64) -> String {
        let (addr, born) = (self.addr, self.born);
        format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{addr}\",\"zone\":\"mnl-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":{born},\
             \"sequence\":{sequence}}}"
        )
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// One of four servers is killed three times while it sends answers without a length.
pub fn run(folder: &str, trouble: bool) -> Result<bool> {
    let record = Record::create(folder)?;
    let addresses = Addresses::choose()?;
    let store = Store::start(addresses.store())?;
    store.put("keyed.op", "config", &config(2, &ROUTES, "[]"));
    let start = |n: u8| start_server(&record, addresses.server(n), &format!("i-{n:08}"));
    let servers: Vec<Running> = (1..=4).map(start).collect::<Result<_>>()?;
    let servers = Arc::new(Mutex::new(servers));
    let done = Arc::new(AtomicBool::new(false));
    let beats = {
        let (servers, done, store) = (Arc::clone(&servers), Arc::clone(&done), Arc::clone(&store));
        thread::spawn(move || {
            for sequence in 1_u64.. {
                for server in servers.lock().unwrap().iter() {
                    store.put("keyed.servers", &server.id, &server.value(sequence));
                }
                sleep(Duration::from_millis(1_200));
                if done.load(Ordering::SeqCst) {
                    return;
                }
            }
        })
    };
    let fleet = Fleet::start(&addresses, SMALL, (1, 2))?;
    fleet.wait_ready(&addresses, 11)?;
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..24_u64)
        .map(|n| {
            let (record, counts, done) = (Arc::clone(&record), Arc::clone(&counts), Arc::clone(&done));
            let front = addresses.front(11);
            thread::spawn(move || client(&record, &counts, &done, front, n))
        })
        .collect();
    sleep(Duration::from_millis(3_000));
    for round in 0..3_u8 {
        if trouble {
            let mut servers = servers.lock().unwrap();
            let killed = servers.remove(0);
            record.say(&format!("round {round}: {} is killed", killed.id));
            drop(killed);
            // The store removes a record that was not written for three intervals.
            let (store, id) = (Arc::clone(&store), format!("i-{:08}", round + 1));
            thread::spawn(move || {
                sleep(Duration::from_millis(3_600));
                store.put("keyed.servers", &id, "");
            });
            drop(servers);
            sleep(Duration::from_millis(2_000));
        }
        let next = start(5 + round)?;
        servers.lock().unwrap().push(next);
        sleep(Duration::from_millis(4_000));
    }
    done.store(true, Ordering::SeqCst);
    for thread in clients {
        drop(thread.join());
    }
    drop(beats.join());
    let get = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let (sent, served, cut) = (get(&counts.sent), get(&counts.whole), get(&counts.short));
    record.say(&format!(
        "{sent} requests, {served} whole answers, {} streams and {} plain answers that look complete and \
         are not, {} other ends",
        get(&counts.short_streams),
        cut - get(&counts.short_streams),
        sent - served - cut
    ));
    if served * 2 < sent {
        return Err(Error::other("under half of the requests were served"));
    }
    Ok(cut > 0)
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    whole: AtomicU64,
    short: AtomicU64,
    short_streams: AtomicU64,
}

fn client(record: &Record, counts: &Counts, done: &AtomicBool, front: SocketAddr, number: u64) {
    let mut next = 0;
    while !done.load(Ordering::SeqCst) {
        next += 1;
        let id = format!("{:016x}", number << 32 | next);
        let is_stream = number % 2 == 0;
        counts.sent.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("send {id} {}", if is_stream { "stream" } else { "plain" }));
        let began = Instant::now();
        match ask(front, &id, is_stream) {
            Ok((200, body)) if body == whole(is_stream).concat().as_bytes() => {
                record.line(&format!("answer {id} 200 whole"));
                counts.whole.fetch_add(1, Ordering::SeqCst);
            }
            Ok((200, body)) => {
                let whole = whole(is_stream).concat().len();
                record.line(&format!("answer {id} 200 LOOKS COMPLETE with {} of {whole} bytes", body.len()));
                counts.short.fetch_add(1, Ordering::SeqCst);
                counts.short_streams.fetch_add(u64::from(is_stream), Ordering::SeqCst);
            }
            Ok((status, _)) => record.line(&format!("answer {id} {status}")),
            Err(error) => record.line(&format!("answer {id} incomplete: {error}")),
        }
        sleep(Duration::from_millis(150).saturating_sub(began.elapsed()));
    }
}

/// Sends a request and reads the whole answer; an answer that ends early is an error.
fn ask(front: SocketAddr, id: &str, is_stream: bool) -> Result<(u16, Vec<u8>)> {
    let (host, path) = match is_stream {
        true => ("pule25.example", "/puxa400/2f"),
        false => ("jepu9.example", "/bobo563/2f"),
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Limpetmux-Request-Id: {id}\r\n\
         X-Limpetmux-Deadline-Ms: 5000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    );
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let answer = http::read(&mut reader)?.ok_or(Error::other("no answer"))?;
    let is_framed = answer.header("content-length").or(answer.header("transfer-encoding")).is_some();
    let mut rest = Vec::new();
    if !is_framed {
        reader.read_to_end(&mut rest)?;
    }
    let body = if is_framed { answer.body.clone() } else { rest };
    Ok((answer.status(), body))
}
