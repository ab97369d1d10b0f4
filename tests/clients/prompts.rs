//! Callers whose prompts have as many parts as a head can name, at an entry with low limits.

use crate::fixture::{Door, Fixture, Limits, MAX_HEAD, alone, head};
use futures::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The callers at once; their heads alone take a fifth of the memory.
const CALLERS: usize = 900;
/// Each caller takes up to two descriptors of the process, and no more memory than on the smallest hosts.
const LIMITS: Limits = Limits { memory_mb: 80, max_fds: 2_900 };
/// The bytes of a head beside its prompt.
const OTHER_BYTES: usize = 384;
/// The bytes of a body.
const BODY_BYTES: usize = 4_000;
/// The time for which the callers stay.
const STAY_TIME: Duration = Duration::from_secs(3);

/// Returns the parts of a prompt, each of one token.
fn parts() -> String {
    let parts: Vec<&str> = vec!["a:1"; (MAX_HEAD - OTHER_BYTES) / 4];
    parts.join(",")
}

/// Starts a server that takes requests and answers none.
async fn serve_silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                drop(tokio::io::copy(&mut stream, &mut tokio::io::sink()).await);
            });
        }
    });
    addr
}

/// Sends a request; every other caller stops before the last byte.
async fn send(addr: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    let prompt = format!("x-limpetmux-prompt-prefix: {}\r\n", parts());
    let request = format!("{}{prompt}content-length: {BODY_BYTES}\r\n\r\n", head("/junk/x"));
    stream.write_all(request.as_bytes()).await?;
    stream.write_all(&vec![b'x'; BODY_BYTES - number % 2]).await?;
    sleep(STAY_TIME).await;
    Ok(())
}

#[test]
fn prompts_of_very_many_parts() {
    // Load: many requests of legal size whose prompts have thousands of parts, in uploads that stop and at
    // a server that answers none (a process over its memory is killed with all that it serves).
    alone(async {
        let fixture = Fixture::start_within("prompts", LIMITS).await;
        fixture.set_junk(&[serve_silent().await]);
        sleep(Duration::from_secs(1)).await;

        join_all((0..CALLERS).map(|number| send(fixture.addr(Door::Known), number))).await;

        fixture.check_bounds();
        fixture.check_ordinary().await;
    });
}
