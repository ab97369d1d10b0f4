//! A stand-in of a backend server: it answers requests, and writes its record into the store.

use crate::fleet::Record;
use crate::http::{self, answer};
use crate::store::Store;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two writes of a server's record.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    work: Duration,
    born: u64,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Whether it writes its record.
    beats: AtomicBool,
    ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// When each request that it ran arrived, with its id.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server and its writes.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        (id, service): (&str, &str),
        addr: SocketAddr,
        work: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let born = std::time::UNIX_EPOCH.elapsed().map_err(std::io::Error::other)?.as_millis() as u64;
        let server = Arc::new(Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            work,
            born,
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
        });
        let listener = TcpListener::bind(addr)?;
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        server.write(store);
        let (beating, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                if beating.beats.load(Ordering::SeqCst) {
                    beating.write(&store);
                }
            }
        });
        Ok(server)
    }

    /// The value of the next write of its record.
    pub fn next_value(&self) -> String {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (service, addr, born) = (&self.service, self.addr, self.born);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"mnl-a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"born\":{born},\
             \"sequence\":{sequence}}}"
        )
    }

    /// Writes its record; the store has acknowledged it when this returns.
    pub fn write(&self, store: &Store) {
        store.put("keyed.servers", &self.id, &self.next_value());
    }

    /// Reports that it drains; returns when the store acknowledged that.
    pub fn drain(&self, store: &Store) -> Instant {
        self.draining.store(true, Ordering::SeqCst);
        self.write(store);
        Instant::now()
    }

    /// Removes its record, without a report that it drains; returns when the store acknowledged that.
    pub fn leave(&self, store: &Store) -> Instant {
        self.beats.store(false, Ordering::SeqCst);
        store.put("keyed.servers", &self.id, "");
        Instant::now()
    }

    /// Ends its process: all connections close.
    pub fn end(&self, store: &Store) {
        self.beats.store(false, Ordering::SeqCst);
        store.put("keyed.servers", &self.id, "");
        self.ended.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.addr));
        for stream in self.open.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        self.open.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read(&mut reader)? {
            if request.target() == ("GET", "/health", "") {
                // The rules do not count health checks.
                let headers = format!("X-Limpetmux-Instance-Id: {}\r\n", self.id);
                answer(&mut stream, "200 OK", &headers, b"")?;
                continue;
            }
            let id = request.header("x-limpetmux-request-id").unwrap_or_default().to_owned();
            let echo = format!("X-Limpetmux-Request-Id: {id}\r\n");
            let expected = request.header("x-limpetmux-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!("{echo}X-Limpetmux-Not-Executed: 1\r\n");
                answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let tenant = request.header("x-limpetmux-tenant-id").unwrap_or("none").to_owned();
            self.arrivals.lock().unwrap().push((Instant::now(), id.clone()));
            self.record.line(&format!("run {id} at {} tenant {tenant}", self.id));
            thread::sleep(self.work);
            let headers = format!("{echo}X-Limpetmux-Response-Signature: {}.{id}\r\n", self.id);
            answer(&mut stream, "200 OK", &headers, id.as_bytes())?;
        }
        Ok(())
    }
}
