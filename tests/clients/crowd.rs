//! Crowds of clients that misbehave in one manner.

use crate::fixture::{Door, Fixture, MAX_BODY, MAX_HEAD, head};
use futures::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The clients of a crowd.
const CROWD: usize = 60;
/// The longest time for which a client sends before it stays as it is.
const SEND_TIME: Duration = Duration::from_secs(5);
/// The time between two bytes of a slow client.
const DRIP_PAUSE: Duration = Duration::from_millis(50);
/// The bytes of a body that a slow client sends a byte at a time.
const DRIPPED_BYTES: usize = 65_536;
/// The bytes of a small piece of a body.
const PIECE_BYTES: usize = 512;
/// The bytes of a chunk of a body.
const CHUNK_BYTES: usize = 16;
/// The bytes that a client sends of a body far over the limit.
const OVER_BYTES: usize = 8 * MAX_BODY;
/// The requests that a client sends ahead.
const AHEAD: usize = 1_000;
/// The waves of clients that leave half-way.
const WAVES: usize = 5;
/// The length of an answer that is read slowly, and of one that is not read.
const LONG_ANSWER: usize = 900_000;
const SHORT_ANSWER: usize = 10_000;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// A body of the largest size in one piece.
    Whole,
    /// The same without its last byte.
    Short,
    /// The same in small pieces.
    Pieces,
    /// The same in small chunks.
    Chunks,
    /// A body far over the limit.
    Over,
    /// Heads of very many short fields.
    Fields,
    /// Requests whose answers are not read.
    Ahead,
    /// Most of a body, and the rest a byte at a time.
    SlowBody,
    /// A head a byte at a time.
    SlowHead,
    /// A long answer that is read a few bytes at a time.
    SlowReader,
    /// Half of a body; then the client leaves.
    Half,
    /// Nothing.
    Silent,
}

/// Clients that stay connected until this value is dropped.
pub struct Crowd(Vec<JoinHandle<()>>);

impl Crowd {
    /// Connects all clients and waits until each has sent what it sends, or was cut off.
    pub async fn start(fixture: &Fixture, door: Door, manner: Manner) -> Self {
        let addr = fixture.addr(door);
        let members = (0..CROWD).map(|number| async move {
            let sending = timeout(SEND_TIME, client(addr, door, manner, number));
            sending.await.ok().flatten()
        });
        let streams = join_all(members).await.into_iter().flatten();
        Self(streams.map(|s| tokio::spawn(stay(s, manner))).collect())
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// What a client does until the crowd leaves.
async fn stay(mut stream: TcpStream, manner: Manner) {
    let mut byte = [0];
    loop {
        sleep(DRIP_PAUSE).await;
        let is_open = match manner {
            Manner::SlowBody | Manner::SlowHead => stream.write_all(b"x").await.is_ok(),
            Manner::SlowReader => !matches!(stream.read(&mut byte).await, Ok(0) | Err(_)),
            _ => true,
        };
        if !is_open {
            return std::future::pending().await;
        }
    }
}

/// Connects and sends what a manner sends; returns the connection unless it was cut off.
async fn client(addr: SocketAddr, door: Door, manner: Manner, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    if manner == Manner::Half {
        for _ in 0..WAVES {
            let mut leaving = TcpStream::connect(addr).await.ok()?;
            let _ = send(&mut leaving, door, manner, number).await;
        }
    }
    send(&mut stream, door, manner, number).await.ok()?;
    Some(stream)
}

async fn send(
    stream: &mut TcpStream,
    door: Door,
    manner: Manner,
    number: usize,
) -> std::io::Result<()> {
    let whole = vec![b'x'; MAX_BODY];
    let stated = head(&door.path(100)) + &format!("content-length: {MAX_BODY}\r\n\r\n");
    let chunked = head(&door.path(100)) + "transfer-encoding: chunked\r\n\r\n";
    match manner {
        Manner::Silent => {}
        Manner::Whole => {
            stream.write_all(&[stated.as_bytes(), &whole].concat()).await?;
        }
        Manner::Short => {
            stream.write_all(&[stated.as_bytes(), &whole[1..]].concat()).await?;
        }
        Manner::SlowBody => {
            stream.write_all(&[stated.as_bytes(), &whole[DRIPPED_BYTES..]].concat()).await?;
        }
        Manner::Half => {
            stream.write_all(&[stated.as_bytes(), &whole[MAX_BODY / 2..]].concat()).await?;
        }
        Manner::Pieces => {
            stream.write_all(stated.as_bytes()).await?;
            for piece in whole[1..].chunks(PIECE_BYTES) {
                stream.write_all(piece).await?;
            }
        }
        Manner::Chunks => {
            stream.write_all(chunked.as_bytes()).await?;
            stream.write_all(&chunks(&whole[CHUNK_BYTES..])).await?;
        }
        Manner::Over if number.is_multiple_of(2) => {
            let length = format!("content-length: {}\r\n\r\n", 100 * MAX_BODY);
            stream.write_all((head(&door.path(100)) + &length).as_bytes()).await?;
            stream.write_all(&vec![b'x'; OVER_BYTES]).await?;
        }
        Manner::Over => {
            stream.write_all(chunked.as_bytes()).await?;
            stream.write_all(&chunks(&vec![b'x'; OVER_BYTES])).await?;
        }
        Manner::Fields => stream.write_all(fields(door).repeat(4).as_bytes()).await?,
        Manner::Ahead => {
            let request = head(&door.path(SHORT_ANSWER)) + "content-length: 2\r\n\r\nok";
            stream.write_all(request.repeat(AHEAD).as_bytes()).await?;
        }
        Manner::SlowHead => stream.write_all(head(&door.path(100)).as_bytes()).await?,
        Manner::SlowReader => {
            let request = head(&door.path(LONG_ANSWER)) + "content-length: 2\r\n\r\nok";
            stream.write_all(request.as_bytes()).await?;
        }
    }
    Ok(())
}

/// Returns a body in chunks, without its end.
fn chunks(body: &[u8]) -> Vec<u8> {
    let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
    body.chunks(CHUNK_BYTES).flat_map(chunk).collect()
}

/// Returns a request whose head has as many fields as its size allows.
fn fields(door: Door) -> String {
    let mut text = head(&door.path(100));
    let end = "content-length: 2\r\n\r\nok";
    let mut number = 0;
    while text.len() + end.len() + 16 < MAX_HEAD {
        text += &format!("{number:x}:\r\n");
        number += 1;
    }
    text + end
}
