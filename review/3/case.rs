//! The store turns away the process that reads it for all, while the operator adds routes.

#[path = "../support.rs"]
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::{Fleet, Message, OPEN, REFUSES, Record, Store, backend, call, watchdog};

/// How often the store turns the reader away, and for how long (`for_s` of the site's troubles).
const ROUNDS: usize = 3;
const AWAY: Duration = Duration::from_secs(9);
/// The time between two rounds, in which all processes are in touch again.
const CALM: Duration = Duration::from_secs(5);
/// The time between two versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(400);
/// `config-apply-ms`.
const APPLY: Duration = Duration::from_millis(2_000);
/// Requests that are sent at most this long after the bound are not judged, for the clocks.
const MARGIN: Duration = Duration::from_millis(30);

/// The versions so far: the number of routes and when the store acknowledged it.
type Versions = Arc<Mutex<Vec<(usize, Instant)>>>;

fn config(version: usize) -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}","host":"desk.example","path-prefix":"/route{n}/",
            "kind":"idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,
            "service":"pbx-core","max-attempts":2,"stages":[],"public":true}}"#
        )
    };
    let routes: Vec<String> = (0..=version).map(route).collect();
    format!(
        r#"{{"version":{},"routes":[{}],"services":[{{"name":"pbx-core","health-check":"/health",
        "max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}],
        "limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
        "idle-timeout-ms":15000}},"tenants":[]}}"#,
        10 + 3 * version,
        routes.join(",")
    )
    .replace('\n', "")
}

fn declare(record: &Record, store: &Store, versions: &Versions) {
    let mut versions = versions.lock().unwrap();
    let version = versions.len();
    store.put("keyed.op", "config", &config(version));
    versions.push((version, Instant::now()));
    record.line(&format!("version {version} acknowledged: adds /route{version}/"));
}

/// Asks an entry for the newest route that has to be in force until `stop` is set; returns how many
/// requests were refused as only an older version allows.
fn probe(
    record: &Record,
    versions: &Versions,
    entry: SocketAddr,
    name: &str,
    stop: &AtomicBool,
) -> usize {
    let (mut refused, mut number) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(50));
        let sent = Instant::now();
        let due = {
            let versions = versions.lock().unwrap();
            versions.iter().rev().find(|(_, at)| sent > *at + APPLY + MARGIN).copied()
        };
        let Some((version, at)) = due else { continue };
        number += 1;
        let request = format!(
            "GET /route{version}/ HTTP/1.1\r\nhost: desk.example\r\n\
             x-limpetmux-request-id: {name}-{number}\r\nx-limpetmux-deadline-ms: 1000\r\n\r\n"
        );
        let age = sent.duration_since(at).as_millis();
        record.line(&format!(
            "request {name}-{number} for /route{version}/ is sent, {age} ms after its \
             acknowledgement"
        ));
        match call(entry, request.as_bytes()) {
            Ok(answer) if answer.status() == 404 => {
                refused += 1;
                record.line(&format!(
                    "request {name}-{number} gets 404, as only an older version allows"
                ));
            }
            Ok(answer) => record.line(&format!("request {name}-{number} gets {}", answer.status())),
            Err(error) => record.line(&format!("request {name}-{number} gets no answer: {error}")),
        }
    }
    record.line(&format!("{name}: {number} requests, {refused} refused as by an older version"));
    refused
}

fn main() -> ExitCode {
    watchdog(Duration::from_secs(110));
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let (store, versions) = (Store::default(), Versions::default());
    let seen = record.clone();
    let server = backend(Arc::new(move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("x-limpetmux-request-id");
        seen.line(&format!("server runs {id}"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: {id}\r\n\
             x-limpetmux-response-signature: s.{id}\r\ncontent-length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    }));
    let entry = format!(
        r#"{{"service":"pbx-core","address":"{server}","zone":"mnl-a","version":"1","slots":6,
        "state":"ready","cold-remaining-ms":0,"sequence":1,"born":1784941359000}}"#
    );
    store.put("keyed.servers", "i-1", &entry);
    declare(&record, &store, &versions);
    let fleet = Fleet::start(&store, 3, 4);
    if !fleet.wait_ready() {
        record.line("the entries did not become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let probes: Vec<_> = fleet
        .entries()
        .map(|node| {
            let (record, versions, stop) =
                (record.clone(), Arc::clone(&versions), Arc::clone(&stop));
            let (addr, name) = (node.front, node.name.clone());
            thread::spawn(move || probe(&record, &versions, addr, &name, &stop))
        })
        .collect();
    for _ in 0..ROUNDS {
        // The process that has read the list of backend servers last is the one that reads for all.
        let reader = fleet.nodes.iter().max_by_key(|node| node.door.last_read());
        let reader = reader.expect("there are processes");
        record.line(&format!("{} reads the store for all", reader.name));
        if reader.entry {
            record.line("an entry reads, which itself would be out of touch");
            return ExitCode::from(2);
        }
        if trouble {
            record.line(&format!("the store turns {} away (503)", reader.name));
            reader.door.set(REFUSES);
        }
        let until = Instant::now() + AWAY;
        while Instant::now() < until {
            declare(&record, &store, &versions);
            thread::sleep(VERSION_INTERVAL);
        }
        reader.door.set(OPEN);
        record.line(&format!("the store serves {} again", reader.name));
        thread::sleep(CALM);
    }
    stop.store(true, Ordering::SeqCst);
    let refused: usize = probes.into_iter().map(|p| p.join().unwrap_or(0)).sum();
    record.line(&format!("{refused} requests were refused as only an older version allows"));
    drop(fleet);
    if refused > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
