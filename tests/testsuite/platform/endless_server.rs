//! Backend servers that send bytes without end, or one at a time, and an entry that calls them.

use super::node_fixture::{Fixture, OwnServer, config, fixture_within};
use limpetmux::core::answer_limits::AnswerLimits;
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Client, RequestBuilder, Response};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The time allowed for a configuration to be in force.
const PATIENCE: Duration = Duration::from_secs(40);

/// A part of what a backend server sends.
#[derive(Clone, Debug)]
pub(super) enum Part {
    /// These bytes, once.
    Once(Vec<u8>),
    /// These bytes without end.
    Endless(Vec<u8>),
    /// These bytes without end, with a pause before each time.
    Drip(Vec<u8>, Duration),
    /// Nothing until the signal is given or the other side closes the connection.
    Wait(Arc<Notify>),
    /// Nothing until the other side closes the connection.
    Silence,
}

/// A request that reached a backend server.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    /// The backend server.
    pub(super) server: &'static str,
    /// The id of the request.
    pub(super) id: String,
    /// The time that the entry gave the backend server, in milliseconds.
    pub(super) deadline_ms: u64,
    /// The address of the entry's side of the connection, which tells connections apart.
    pub(super) peer: SocketAddr,
}

impl Asked {
    /// Returns the headers that make an answer one of this request.
    pub(super) fn signed(&self) -> String {
        let id = &self.id;
        format!("x-limpetmux-request-id: {id}\r\nx-limpetmux-response-signature: s\r\n")
    }

    /// Returns an answer with a length, which serves the request as a plain one or as a stream.
    pub(super) fn served(&self) -> Vec<Part> {
        vec![once(self.with_length(200, b"id: 1\ndata: x\n\n"))]
    }

    /// Returns an answer with a length.
    pub(super) fn with_length(&self, status: u16, body: &[u8]) -> Vec<u8> {
        let (signed, length) = (self.signed(), body.len());
        let head = format!("HTTP/1.1 {status} Text\r\n{signed}content-length: {length}\r\n\r\n");
        [head.as_bytes(), body].concat()
    }

    /// Returns the head of an answer in chunks.
    pub(super) fn chunked_head(&self) -> Part {
        once(format!("HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n", self.signed()))
    }
}

pub(super) fn once(bytes: impl Into<Vec<u8>>) -> Part {
    Part::Once(bytes.into())
}

/// Returns a chunk of an answer.
pub(super) fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Two plain backend servers and two engines that answer as a test says.
pub(super) struct EndlessServers {
    pub(super) fixture: Fixture,
    asked: Arc<Mutex<Vec<Asked>>>,
    closed: Arc<Mutex<Vec<SocketAddr>>>,
}

type Script = Arc<dyn Fn(&Asked) -> Vec<Part> + Send + Sync>;

pub(super) async fn endless_servers(
    script: impl Fn(&Asked) -> Vec<Part> + Send + Sync + 'static,
) -> EndlessServers {
    endless_servers_within(AnswerLimits::default(), script).await
}

/// The same servers, and an entry with other limits on their answers.
pub(super) async fn endless_servers_within(
    limits: AnswerLimits,
    script: impl Fn(&Asked) -> Vec<Part> + Send + Sync + 'static,
) -> EndlessServers {
    let (script, asked): (Script, Arc<Mutex<_>>) = (Arc::new(script), Arc::default());
    let closed = Arc::default();
    let mut own = Vec::new();
    for (id, service) in [("p1", "plain"), ("p2", "plain"), ("e1", "engine"), ("e2", "engine")] {
        let addr = listen(id, &script, &asked, &closed).await;
        own.push(OwnServer { id, service, addr });
    }
    EndlessServers { fixture: fixture_within(limits, &own).await, asked, closed }
}

impl EndlessServers {
    /// Returns the requests that reached a backend server.
    pub(super) fn asked(&self) -> Vec<Asked> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how often a request reached a backend server.
    pub(super) fn arrivals(&self, id: &str) -> usize {
        self.asked().iter().filter(|a| a.id == id).count()
    }

    /// Returns how many connections to backend servers have closed.
    pub(super) fn closed(&self) -> usize {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether the connection has closed on which a request arrived first.
    pub(super) fn is_closed(&self, id: &str) -> bool {
        let peer = self.asked().iter().find(|a| a.id == id).map(|a| a.peer);
        let closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        peer.is_some_and(|peer| closed.contains(&peer))
    }

    /// A request with a deadline in milliseconds.
    pub(super) fn post(&self, path: &str, id: &str, deadline_ms: u64) -> RequestBuilder {
        let deadline = ("x-limpetmux-deadline-ms", HeaderValue::from(deadline_ms));
        let headers = [deadline].map(|(name, value)| (name.parse().unwrap(), value));
        self.fixture.post(path, id).headers(HeaderMap::from_iter(headers))
    }

    /// Raises the timeouts of all routes to a minute, so that only a request's own deadline or
    /// another bound ends it. The backend servers must serve requests to `/once/` whose ids begin
    /// with `f`.
    pub(super) async fn raise_timeouts(&self) {
        let text = config(2, "k1").replace("\"timeout-ms\":2000", "\"timeout-ms\":60000");
        let text = text.replace("\"timeout-ms\":4000", "\"timeout-ms\":60000");
        self.fixture.store.put("keyed.op", "config", &text);
        let began = Instant::now();
        for n in 0_u64.. {
            let answer = self.post("/once/x", &format!("f{n}"), 60_000).send().await.unwrap();
            if self.asked().iter().any(|a| a.deadline_ms > 10_000) {
                return;
            }
            if began.elapsed() > PATIENCE {
                self.panic_with_state(answer).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Panics with the last answer, the requests at the backend servers and the entry's metrics.
    async fn panic_with_state(&self, last: Response) -> ! {
        let (status, text) = (last.status(), last.text().await);
        let url = format!("http://{}/metrics", self.fixture.entry.metrics_addr);
        let metrics = reqwest::get(url).await.unwrap().text().await.unwrap();
        let asked: Vec<_> = self.asked().iter().map(|a| (a.id.clone(), a.deadline_ms)).collect();
        panic!("the configuration is not in force: {status} {text:?} {asked:?} {metrics}");
    }

    /// Returns how often the entry stopped reading from a backend server at a bound.
    pub(super) async fn stops(&self, bound: &str) -> u64 {
        let url = format!("http://{}/metrics", self.fixture.entry.metrics_addr);
        let text = Client::new().get(url).send().await.unwrap().text().await.unwrap();
        let lines = text.lines().filter(|line| {
            line.contains("reads_stopped")
                && line.contains("backend_server")
                && line.contains(&format!("\"{bound}\""))
        });
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }
}

async fn listen(
    server: &'static str,
    script: &Script,
    log: &Arc<Mutex<Vec<Asked>>>,
    closed: &Arc<Mutex<Vec<SocketAddr>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (script, log, closed) = (Arc::clone(script), Arc::clone(log), Arc::clone(closed));
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let (script, log, closed) =
                (Arc::clone(&script), Arc::clone(&log), Arc::clone(&closed));
            tokio::spawn(async move {
                // An error is the close of a connection by the entry.
                drop(serve(server, stream, &script, &log).await);
                closed.lock().unwrap_or_else(PoisonError::into_inner).push(peer);
            });
        }
    });
    addr
}

async fn serve(
    server: &'static str,
    stream: TcpStream,
    script: &Script,
    log: &Mutex<Vec<Asked>>,
) -> std::io::Result<()> {
    let peer = stream.peer_addr()?;
    let mut stream = BufReader::new(stream);
    loop {
        let asked = Asked { server, peer, ..read_request(&mut stream).await? };
        log.lock().unwrap_or_else(PoisonError::into_inner).push(asked.clone());
        for part in script(&asked) {
            send(&mut stream, part).await?;
        }
    }
}

async fn send(stream: &mut BufReader<TcpStream>, part: Part) -> std::io::Result<()> {
    match part {
        Part::Once(bytes) => stream.write_all(&bytes).await,
        Part::Endless(bytes) => loop {
            stream.write_all(&bytes).await?;
        },
        Part::Drip(bytes, pause) => loop {
            sleep(pause).await;
            stream.write_all(&bytes).await?;
        },
        Part::Wait(signal) => tokio::select! {
            () = signal.notified() => Ok(()),
            byte = stream.read_u8() => byte.map(drop),
        },
        Part::Silence => stream.read_u8().await.map(drop),
    }
}

/// Reads a request, whose body has four bytes.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Asked> {
    let peer = SocketAddr::from(([0, 0, 0, 0], 0));
    let mut asked = Asked { server: "", id: String::new(), deadline_ms: 0, peer };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim().is_empty() {
            break;
        }
        match line.trim().to_ascii_lowercase().split_once(": ") {
            Some(("x-limpetmux-request-id", id)) => id.clone_into(&mut asked.id),
            Some(("x-limpetmux-deadline-ms", ms)) => {
                asked.deadline_ms = ms.parse().unwrap_or_default();
            }
            _ => {}
        }
    }
    stream.read_exact(&mut [0; 4]).await?;
    Ok(asked)
}
