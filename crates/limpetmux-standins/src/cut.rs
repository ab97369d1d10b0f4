//! A server that ends its connections at a chosen point, and counts what it read before.

use crate::raw::read_request;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The bytes of a request that are read if its connection ends inside it.
const PART_BYTES: usize = 20;
/// An answer whose body is one byte long.
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

/// Where a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// Before any byte of the request was read.
    Unread,
    /// After a part of the request was read.
    PartRead,
    /// After the whole request was read.
    WholeRead,
    /// Inside the head of the answer.
    HeadBegun,
    /// Inside the body of the answer.
    BodyBegun,
    /// This long after the answer to the request before.
    Idle(Duration),
    /// As soon as bytes of the request arrive, whichever are there.
    Arriving,
}

/// How a server ends each of its connections.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// How many requests are answered before.
    pub answered: usize,
    /// Where the connection ends.
    pub point: CutPoint,
    /// Whether the connection is reset instead of closed in order.
    pub reset: bool,
}

/// A server that ends its connections at a chosen point.
pub struct CutServer {
    /// The address it listens on.
    pub addr: SocketAddr,
    read: Arc<Mutex<Vec<String>>>,
}

impl CutServer {
    /// Starts a server on a port that the system chooses; it runs until the runtime ends.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(cut: Cut) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let read: Arc<Mutex<Vec<String>>> = Arc::default();
        let log = Arc::clone(&read);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let log = Arc::clone(&log);
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, cut, &log).await {
                        eprintln!("stand-in server failed: {error}");
                    }
                });
            }
        });
        Ok(Self { addr, read })
    }

    /// Returns what was read of each request, in lower case; nothing of a request is not listed.
    pub fn read(&self) -> Vec<String> {
        self.read.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn record(log: &Mutex<Vec<String>>, text: String) {
    if !text.is_empty() {
        log.lock().unwrap_or_else(PoisonError::into_inner).push(text);
    }
}

async fn serve(stream: TcpStream, cut: Cut, log: &Mutex<Vec<String>>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    for _ in 0..cut.answered {
        // The other side may close a connection that it does not use any more.
        let Ok(request) = read_request(&mut stream).await else { return Ok(()) };
        record(log, request.head.to_ascii_lowercase());
        stream.write_all(ANSWER.as_bytes()).await?;
    }
    match cut.point {
        CutPoint::Unread => {}
        CutPoint::Idle(delay) => sleep(delay).await,
        CutPoint::Arriving => stream.get_ref().readable().await?,
        CutPoint::PartRead => {
            let mut part = [0; PART_BYTES];
            let Ok(_) = stream.get_mut().read_exact(&mut part).await else { return Ok(()) };
            record(log, String::from_utf8_lossy(&part).to_ascii_lowercase());
        }
        CutPoint::WholeRead | CutPoint::HeadBegun | CutPoint::BodyBegun => {
            let Ok(request) = read_request(&mut stream).await else { return Ok(()) };
            record(log, request.head.to_ascii_lowercase());
            stream.write_all(answer_part(cut.point)).await?;
        }
    }
    end(stream.into_inner(), cut, log)
}

/// Returns what is sent of the last answer.
fn answer_part(point: CutPoint) -> &'static [u8] {
    let answer = ANSWER.as_bytes();
    match point {
        CutPoint::HeadBegun => &answer[..answer.len() / 2],
        CutPoint::BodyBegun => &answer[..answer.len() - 1],
        _ => &[],
    }
}

/// Ends a connection; a request that arrived just before was read as well.
fn end(stream: TcpStream, cut: Cut, log: &Mutex<Vec<String>>) -> std::io::Result<()> {
    if matches!(cut.point, CutPoint::Idle(_) | CutPoint::Arriving) {
        let mut last = vec![0; 4_096];
        let len = stream.try_read(&mut last).unwrap_or_default();
        record(log, String::from_utf8_lossy(&last[..len]).to_ascii_lowercase());
    }
    if cut.reset {
        stream.set_zero_linger()?;
    }
    Ok(())
}
