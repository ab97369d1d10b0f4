//! The connections of a backend server, served from TCP so that it can send what no HTTP server
//! sends: answers without a request, and parts of answers.

use super::bytes;
use super::fault::{FurtherTime, UsersFault};
use super::reply::{Content, Reply, event};
use super::server::{STREAM_EVENTS, SharedState, lock, reply};
use crate::raw::read_request;
use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long after the correct answer a late further answer is sent.
const LATE_DELAY: Duration = Duration::from_millis(10);

/// What happens to a connection after an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    /// It is kept open.
    Keep,
    /// It ends in order.
    Close,
    /// It is reset.
    Reset,
}

/// The loopback address with a port that the system chooses.
pub(super) const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Serves the connections to an address until the backend server or the runtime ends.
pub(super) async fn serve(state: SharedState, addr: SocketAddr) -> std::io::Result<SocketAddr> {
    let served = lock(&state).ended.subscribe();
    let mut ended = served.clone();
    let end = async move { drop(ended.wait_for(|ended| *ended).await) };
    listen(addr, end, move |stream| {
        let (state, mut ended) = (Arc::clone(&state), served.clone());
        async move {
            tokio::select! {
                served = serve_connection(stream, &state) => served,
                _ = ended.wait_for(|ended| *ended) => Ok(()),
            }
        }
    })
    .await
}

/// Serves the connections to an address until `end` completes or the runtime ends.
pub(super) async fn listen<F>(
    addr: SocketAddr,
    end: impl Future<Output = ()> + Send + 'static,
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> std::io::Result<SocketAddr>
where
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        let mut end = std::pin::pin!(end);
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = end.as_mut() => return,
            };
            let Ok((stream, _)) = stream else { return };
            let served = serve(stream);
            tokio::spawn(async move {
                match served.await {
                    Err(error) if !is_closed_by_caller(error.kind()) => {
                        eprintln!("stand-in server failed: {error}");
                    }
                    _ => {}
                }
            });
        }
    });
    Ok(addr)
}

/// Returns whether an error only shows that the other side has closed its connection.
fn is_closed_by_caller(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)
}

async fn serve_connection(stream: TcpStream, state: &SharedState) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut further = Vec::new();
    // Whether an answer that no request waits for stands before the next one.
    let mut is_displaced = false;
    loop {
        let request = read_request(&mut stream).await?;
        let reply = reply(state, request, is_displaced);
        // The further answer to the request before is sent where this one's answer is due.
        stream.write_all(&std::mem::take(&mut further)).await?;
        let next = send(&mut stream, &reply, state).await?;
        match next {
            Next::Keep => {}
            Next::Close => return stream.shutdown().await,
            Next::Reset => return stream.get_ref().set_zero_linger(),
        }
        is_displaced |= !reply.further.is_empty();
        match reply.fault {
            UsersFault::Further(answer) if answer.time == FurtherTime::Late => {
                sleep(LATE_DELAY).await;
                stream.write_all(&reply.further).await?;
            }
            UsersFault::Further(answer) if answer.time == FurtherTime::BeforeNext => {
                further = reply.further;
            }
            _ => {}
        }
    }
}

/// Runs a request and sends its answer, or as much of it as its fault allows.
async fn send(
    stream: &mut BufReader<TcpStream>,
    reply: &Reply,
    state: &SharedState,
) -> std::io::Result<Next> {
    sleep(reply.work).await;
    let mut head = reply.head();
    let ran = !reply.unrun;
    match reply.fault {
        UsersFault::ResetRun if ran => return Ok(Next::Reset),
        UsersFault::ResetHead if ran => {
            head.truncate(head.len() / 2);
            stream.write_all(&head).await?;
            // The bytes are to arrive before the reset discards what is not acknowledged.
            sleep(LATE_DELAY).await;
            return Ok(Next::Reset);
        }
        _ => {}
    }
    let bad = reply.fault.bytes();
    if let Some(bytes) = bad.filter(|bytes| !bytes.is_junk()) {
        let answers = Arc::clone(&lock(state).answers);
        let body = reply.first_bytes();
        bytes::play(stream.get_ref(), bytes, &reply.id, &reply.fields(), &body, &answers).await?;
        return Ok(Next::Close);
    }
    stream.write_all(bad.map_or(&[], |bytes| bytes.before())).await?;
    let mut last = match &reply.content {
        Content::Whole(body) => [&head[..], body].concat(),
        Content::Events => {
            stream.write_all(&head).await?;
            if reply.crashes {
                sleep(reply.work).await;
                lock(state).ended.send_replace(true);
                return Ok(Next::Reset);
            }
            send_events(stream, reply).await?
        }
    };
    if let UsersFault::Further(answer) = reply.fault
        && answer.time == FurtherTime::WithAnswer
    {
        last.extend(&reply.further);
    }
    last.extend(bad.map_or(&[][..], |bytes| bytes.after()));
    stream.write_all(&last).await?;
    Ok(if ran && reply.fault.is_unframed() { Next::Close } else { Next::Keep })
}

/// Sends the events of a stream and returns the bytes that state its end.
async fn send_events(stream: &mut BufReader<TcpStream>, reply: &Reply) -> std::io::Result<Vec<u8>> {
    let unframed = reply.fault.is_unframed();
    for number in 1..=STREAM_EVENTS {
        sleep(reply.work).await;
        let event = event(number, &reply.server, &reply.id);
        let Some(sent) = reply.fault.sent_part(number, event) else { break };
        let bytes = match unframed {
            true => sent,
            false => format!("{:x}\r\n{sent}\r\n", sent.len()),
        };
        stream.write_all(bytes.as_bytes()).await?;
    }
    Ok(if unframed { Vec::new() } else { b"0\r\n\r\n".to_vec() })
}
