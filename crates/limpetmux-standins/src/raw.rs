//! A server that answers with given bytes, for answers that no well-behaved HTTP server sends.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Answers every request with the same bytes and then closes the connection in order.
///
/// Returns its address; it runs until the runtime ends.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn serve_bytes(answer: impl Into<Vec<u8>>) -> std::io::Result<SocketAddr> {
    let answer: Arc<[u8]> = answer.into().into();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                if let Err(error) = serve_one(stream, &answer).await {
                    eprintln!("stand-in server failed: {error}");
                }
            });
        }
    });
    Ok(addr)
}

/// Returns an answer that has neither a length nor chunks, so that it ends with its connection.
pub fn unframed(body: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", body].concat()
}

/// Reads one request, as a close with unread bytes would be a reset, and answers it.
async fn serve_one(stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut body_len = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(len) = line.strip_prefix("content-length:") {
            body_len = len.trim().parse().unwrap_or_default();
        }
    }
    stream.read_exact(&mut vec![0; body_len]).await?;
    stream.write_all(answer).await?;
    stream.shutdown().await
}
