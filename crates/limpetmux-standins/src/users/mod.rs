//! Small stand-ins of the users' platform: its store with keyed topics, and a backend server.
//!
//! They implement the part of the published protocol that the adapter uses and count the requests
//! they receive, so that tests over TCP need no other program.

mod connection;
mod fault;
mod reply;
mod server;
mod stages;
mod store;

pub use fault::{FurtherAnswer, FurtherTime, UsersFault};
pub use server::{ReceivedRequest, STREAM_EVENTS, STREAMS, UsersServer};
pub use stages::StageResult;
pub use store::UsersStore;

use poem::Server;
use poem::listener::{Acceptor, Listener, TcpListener};
use std::net::SocketAddr;

/// Serves routes on a port that the system chooses.
async fn serve(routes: impl poem::Endpoint + 'static) -> std::io::Result<SocketAddr> {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let addr = acceptor.local_addr()[0].as_socket_addr().copied();
    let addr = addr.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(routes).await {
            eprintln!("stand-in server failed: {error}");
        }
    });
    Ok(addr)
}
