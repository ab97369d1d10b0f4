//! Answers that are close to a refusal of this very send, and refusals in unusual forms.

use super::node_fixture::{Fixture, OwnServer, fixture_with};
use limpetmux_test_support::deployment::wait_for;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The pause between two parts of an answer that arrive one after the other, and before bytes that
/// arrive on an idle connection.
const PAUSE: Duration = Duration::from_millis(30);

/// More chunks than are sent while the body of a refusal may be read. They stand for the time, as
/// their sender slows down with the machine.
const MAX_CHUNKS: usize = 400;

/// A part of what a backend server sends after it has read a request.
#[derive(Clone)]
enum Part {
    Bytes(String),
    Pause,
    /// Nothing until the signal is given.
    Wait(Arc<Notify>),
    /// Sends chunks of a body until the other side closes the connection.
    Endless,
    Close,
}

/// A request that a backend server received.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    /// The number of requests on the same connection before it.
    earlier: usize,
    /// The number of arrivals of the same request before it, at all backend servers.
    repeats: usize,
}

/// What reached the backend servers of a test.
#[derive(Default)]
struct Log {
    arrivals: Vec<Arrival>,
    /// The last request of each connection that the entry has closed.
    closed: Vec<String>,
    /// The chunks of bodies without end that were sent, at most one a millisecond.
    chunks: usize,
}

type SharedLog = Arc<Mutex<Log>>;

fn lock(log: &SharedLog) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Backend servers that answer with given parts.
struct PartServers {
    fixture: Fixture,
    log: SharedLog,
}

impl PartServers {
    fn arrivals(&self, id: &str) -> Vec<Arrival> {
        lock(&self.log).arrivals.iter().filter(|a| a.id == id).cloned().collect()
    }

    async fn status(&self, path: &str, id: &str) -> u16 {
        self.fixture.send(path, id).await.status().as_u16()
    }
}

async fn part_servers(
    servers: &[(&'static str, &'static str)],
    answer: impl Fn(&Arrival) -> Vec<Part> + Clone + Send + Sync + 'static,
) -> PartServers {
    let log = SharedLog::default();
    let mut own = Vec::new();
    for (id, service) in servers {
        let addr = serve(Arc::clone(&log), answer.clone()).await;
        own.push(OwnServer { id, service, addr });
    }
    PartServers { fixture: fixture_with(&own).await, log }
}

/// The backend servers for requests without stages.
const TWO_EACH: [(&str, &str); 4] =
    [("p1", "plain"), ("p2", "plain"), ("e1", "engine"), ("e2", "engine")];

async fn serve(
    log: SharedLog,
    answer: impl Fn(&Arrival) -> Vec<Part> + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (log, answer) = (Arc::clone(&log), answer.clone());
            // A connection that its other side closes ends with an error.
            tokio::spawn(async move { drop(serve_connection(stream, log, answer).await) });
        }
    });
    addr
}

async fn serve_connection(
    stream: TcpStream,
    log: SharedLog,
    answer: impl Fn(&Arrival) -> Vec<Part>,
) -> std::io::Result<()> {
    let (mut stream, mut last) = (BufReader::new(stream), String::new());
    for earlier in 0.. {
        let id = match read_request(&mut stream).await {
            Ok(id) => id,
            Err(error) => {
                lock(&log).closed.push(last);
                return Err(error);
            }
        };
        last.clone_from(&id);
        let arrival = {
            let mut log = lock(&log);
            let repeats = log.arrivals.iter().filter(|a| a.id == id).count();
            let arrival = Arrival { id, earlier, repeats };
            log.arrivals.push(arrival.clone());
            arrival
        };
        for part in answer(&arrival) {
            match part {
                Part::Bytes(bytes) => stream.write_all(bytes.as_bytes()).await?,
                Part::Pause => sleep(PAUSE).await,
                Part::Wait(signal) => signal.notified().await,
                Part::Endless => loop {
                    stream.write_all(b"4\r\nmore\r\n").await?;
                    lock(&log).chunks += 1;
                    sleep(Duration::from_millis(1)).await;
                },
                Part::Close => return stream.shutdown().await,
            }
        }
    }
    Ok(())
}

/// Reads a request and returns its id.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let (mut id, mut len) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim().split_once(':') else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "x-limpetmux-request-id" => id = value.trim().to_owned(),
            "content-length" => len = value.trim().parse().unwrap_or_default(),
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; len]).await?;
    Ok(id)
}

const STATEMENT: &str = "x-limpetmux-not-executed: 1\r\n";

fn named(id: &str) -> String {
    format!("x-limpetmux-request-id: {id}\r\n")
}

/// Returns an answer without a body.
fn empty(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} Text\r\n{headers}content-length: 0\r\n\r\n")
}

fn served(id: &str) -> String {
    let body = "id: 1\ndata: x\n\n";
    let (named, len) = (named(id), body.len());
    format!(
        "HTTP/1.1 200 OK\r\n{named}x-limpetmux-response-signature: s\r\n\
         content-length: {len}\r\n\r\n{body}"
    )
}

fn refusal(status: u16, id: &str) -> String {
    empty(status, &format!("{}{STATEMENT}", named(id)))
}

fn bytes(text: impl Into<String>) -> Vec<Part> {
    vec![Part::Bytes(text.into())]
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_only_resembles_a_refusal_proves_nothing() {
    // Guards against a refusal that is read from a part of an answer that does not state it, or from
    // one whose id is not exactly the request's (incident REFUSED and TWICE).
    let own = named("1f");
    let chunked = |headers: &str, trailer: &str| {
        format!(
            "HTTP/1.1 503 Text\r\n{headers}transfer-encoding: chunked\r\n\r\n0\r\n{trailer}\r\n"
        )
    };
    let cases = [
        chunked(&format!("{STATEMENT}trailer: x-limpetmux-request-id\r\n"), &own),
        chunked(&format!("{own}trailer: x-limpetmux-not-executed\r\n"), STATEMENT),
        refusal(503, "1F"),
        refusal(503, "1f, 1f"),
        refusal(503, "\"1f\""),
        refusal(503, "1fa"),
        refusal(503, ""),
        empty(503, &format!("{own}{}{STATEMENT}", named("2f"))),
        empty(503, &format!("{}{own}{STATEMENT}", named("2f"))),
        empty(503, &own),
        empty(200, &format!("{own}{STATEMENT}x-limpetmux-response-signature: s\r\n")),
        format!("HTTP/1.1 103 Early Hints\r\n{own}{STATEMENT}\r\n{}", empty(503, &own)),
    ];
    for path in ["/once/x", "/stream/x"] {
        for case in &cases {
            let text = case.clone();
            let servers = part_servers(&TWO_EACH, move |_| bytes(text.clone())).await;

            let status = servers.status(path, "1f").await;

            assert_eq!((status, servers.arrivals("1f").len()), (502, 1), "{path} {case}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn statement_of_an_interim_answer_does_not_refuse_a_request_that_is_served() {
    // Guards against an interim answer (1xx) that is taken for the final one.
    let interim = format!("HTTP/1.1 103 Early Hints\r\n{}{STATEMENT}\r\n", named("1f"));
    for path in ["/once/x", "/stream/x"] {
        let text = format!("{interim}{}", served("1f"));
        let servers = part_servers(&TWO_EACH, move |_| bytes(text.clone())).await;

        let status = servers.status(path, "1f").await;

        assert_eq!((status, servers.arrivals("1f").len()), (200, 1), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn own_refusal_counts_in_every_form_that_http_allows() {
    // Guards against a fix that takes proper refusals for lost requests.
    let head = format!("{}{STATEMENT}", named("1f"));
    let split = refusal(503, "1f").chars().map(|c| Part::Bytes(c.into())).collect::<Vec<_>>();
    let halves = refusal(503, "1f");
    let (first, second) = halves.split_at(40);
    let cut = format!("HTTP/1.1 503 Text\r\n{head}content-length: 50\r\n\r\nx");
    let cases = [
        split,
        vec![Part::Bytes(first.into()), Part::Pause, Part::Bytes(second.into())],
        bytes(format!("HTTP/1.1 100 Continue\r\n\r\n{}", refusal(503, "1f"))),
        bytes(refusal(429, " \t1f \t")),
        bytes(empty(503, &format!("{head}connection: Close, x-y\r\n"))),
        vec![Part::Bytes(format!("HTTP/1.0 503 Text\r\n{head}\r\nfull")), Part::Close],
        vec![
            Part::Bytes(format!("HTTP/1.1 503 Text\r\n{head}connection: close\r\n\r\nfull")),
            Part::Close,
        ],
        vec![Part::Bytes(cut), Part::Close],
    ];
    for path in ["/once/x", "/stream/x"] {
        for (number, case) in cases.iter().enumerate() {
            let parts = case.clone();
            let servers = part_servers(&TWO_EACH, move |_| parts.clone()).await;

            let status = servers.status(path, "1f").await;

            assert_eq!((status, servers.arrivals("1f").len()), (503, 2), "{path} {number}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn copy_of_the_refusal_of_an_earlier_send_does_not_refuse_the_next_send() {
    // Guards against a request that runs although a late copy of the refusal of its own earlier send
    // at the same model engine was taken for the refusal of this send (incident REFUSED and TWICE).
    let servers = part_servers(&[("e1", "engine")], |arrival| match arrival.repeats {
        0 => bytes(refusal(409, &arrival.id)),
        _ if arrival.earlier == 0 => bytes(served(&arrival.id)),
        _ => bytes(format!("{}{}", refusal(409, &arrival.id), served(&arrival.id))),
    })
    .await;
    let request = servers.fixture.post_chain("1f", "1,1");

    let status = request.send().await.unwrap().status().as_u16();

    let arrivals = servers.arrivals("1f");
    assert_eq!(arrivals.len(), 2, "{arrivals:?}");
    assert!(status == 200 || status == 502, "refused with {status} after a run: {arrivals:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_arrives_on_an_idle_connection_refuses_no_request() {
    // Guards against bytes on an idle connection that are read as the answer to the next request.
    for path in ["/once/x", "/stream/x"] {
        for id in ["1f", "2f"] {
            let idle = Arc::new(Notify::new());
            let signal = Arc::clone(&idle);
            let servers = part_servers(&TWO_EACH, move |arrival| match arrival.repeats {
                0 if arrival.id == "1f" => vec![
                    Part::Bytes(served("1f")),
                    Part::Wait(Arc::clone(&signal)),
                    Part::Bytes(refusal(503, id)),
                    Part::Bytes(refusal(503, id)),
                ],
                _ => bytes(served(&arrival.id)),
            })
            .await;
            let answer = servers.fixture.send(path, "1f").await;
            assert_eq!(answer.status(), 200);
            answer.text().await.unwrap();
            sleep(PAUSE).await;
            idle.notify_one();
            wait_for(|| lock(&servers.log).closed.contains(&"1f".to_owned())).await;

            let status = servers.status(path, "2f").await;

            let arrivals = servers.arrivals("2f");
            assert_eq!((status, arrivals.len()), (200, 1), "{path} {id} {arrivals:?}");
            assert_eq!(arrivals[0].earlier, 0);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_behind_a_refusal_is_not_read_as_the_answer_to_the_next_request() {
    // Guards against a connection that is kept although a second answer follows a refusal.
    for path in ["/once/x", "/stream/x"] {
        let servers = part_servers(&TWO_EACH, |arrival| match arrival.id.as_str() {
            "1f" => bytes(format!("{}{}", refusal(503, "1f"), refusal(503, "2f"))),
            id => bytes(served(id)),
        })
        .await;
        assert_eq!(servers.status(path, "1f").await, 503);

        let status = servers.status(path, "2f").await;

        let arrivals = servers.arrivals("2f");
        assert_eq!((status, arrivals.len()), (200, 1), "{path} {arrivals:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_an_end_does_not_hold_its_request_until_the_deadline() {
    // Guards against a body without end behind a refusal, which holds a request that another backend
    // server would serve, and fills the memory.
    for path in ["/once/x", "/stream/x"] {
        let head = "transfer-encoding: chunked\r\n\r\n";
        let servers = part_servers(&TWO_EACH, move |arrival| match arrival.repeats {
            0 => {
                let named = named(&arrival.id);
                let head = format!("HTTP/1.1 503 Text\r\n{named}{STATEMENT}{head}");
                vec![Part::Bytes(head), Part::Endless]
            }
            _ => bytes(served(&arrival.id)),
        })
        .await;

        let status = servers.status(path, "1f").await;

        let chunks = lock(&servers.log).chunks;
        assert_eq!(status, 200, "{path} after {chunks} chunks");
        assert!(chunks < MAX_CHUNKS, "{path}: {chunks} chunks");
    }
}
