//! Backend servers that send nothing: while a connection is being made, before the head of an answer
//! and on an idle connection.

use super::endless_answers::{END_LIMIT, LONG_MS, servers_with_long_timeouts};
use super::endless_server::{Part, once};
use http_body_util::Full;
use hyper::Request;
use limpetmux::serve::connections::{ConnectionError, ConnectionPool, Reuse};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a connection to a listener with room is waited for.
const ACCEPT_TIME: Duration = Duration::from_millis(300);
/// The failures in a row after which a backend server is left out, and a margin.
const MORE_THAN_FAILURES: usize = 7;

/// A listener whose queue of connections is full, so that it answers no further one.
struct FullListener {
    addr: SocketAddr,
    _listener: Socket,
    _waiting: Vec<TcpStream>,
}

fn full_listener() -> FullListener {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let addr = listener.local_addr().unwrap().as_socket().unwrap();
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, ACCEPT_TIME) {
        waiting.push(stream);
    }
    FullListener { addr, _listener: listener, _waiting: waiting }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_that_is_not_made_ends_in_time_and_sends_nothing() {
    // Guards against a request that waits for its deadline although another server could run it.
    let listener = full_listener();
    let request = Request::get("/x").body(Full::default()).unwrap();

    let pool = ConnectionPool::default();
    let sending = pool.send(listener.addr, request, Reuse::Allowed);
    let ended = timeout(END_LIMIT, sending).await.expect("no end");

    assert!(matches!(ended, Err(ConnectionError::Connect(_))), "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_sends_no_byte_of_a_head_is_not_chosen_less() {
    // Guards against a slow backend server that counts as failing, so that its load goes to others.
    let silent = OnceLock::new();
    let servers = servers_with_long_timeouts(move |asked| {
        match *silent.get_or_init(|| asked.server) == asked.server {
            true => vec![Part::Silence],
            false => asked.served(),
        }
    })
    .await;

    let sending = async {
        for n in 0.. {
            let answer = servers.post("/once/x", &format!("a{n}"), 300).send().await.unwrap();
            // A busy machine may reach the deadline before it sends the request.
            let status = answer.status().as_u16();
            assert!([503, 504].contains(&status), "{status} from another server");
            if servers.asked().iter().filter(|a| a.id.starts_with('a')).count() > MORE_THAN_FAILURES
            {
                return;
            }
        }
    };

    timeout(END_LIMIT, sending).await.expect("not sent");
    assert_eq!(servers.stops("time").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_closes_although_nothing_arrives() {
    // Guards against connections that stay open for as long as their other side likes.
    let servers = servers_with_long_timeouts(|asked| asked.served()).await;
    servers.post("/once/x", "1f", LONG_MS).send().await.unwrap();

    let closing = async {
        while servers.closed()
            < servers.asked().iter().map(|a| a.peer).collect::<BTreeSet<_>>().len()
        {
            sleep(Duration::from_millis(50)).await;
        }
    };

    timeout(END_LIMIT, closing).await.expect("an idle connection stays open");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_is_not_kept_to_the_end_of_the_time_that_its_server_states() {
    // Guards against a request on a connection that its backend server is about to close.
    let servers = servers_with_long_timeouts(|asked| {
        let answer = String::from_utf8(asked.with_length(200, b"x")).unwrap();
        vec![once(answer.replacen("\r\n", "\r\nkeep-alive: timeout=1\r\n", 1))]
    })
    .await;

    for n in 0..5 {
        let answer = servers.post("/once/x", &format!("a{n}"), LONG_MS).send().await.unwrap();
        assert_eq!(answer.text().await.unwrap(), "x");
    }

    let asked = servers.asked();
    let answered = asked.iter().filter(|a| a.id.starts_with('a')).map(|a| a.peer);
    assert_eq!(answered.collect::<BTreeSet<_>>().len(), 5, "reused: {asked:?}");
}
