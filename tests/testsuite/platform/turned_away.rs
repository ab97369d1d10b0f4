//! New versions of the configuration while the store fails only the node that reads it for all.

use super::ms;
use super::node_fixture::{config, settings};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux_standins::users::{UsersServer, UsersStore};
use reqwest::{Client, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// The bound of the fixture's settings.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// The versions of each test, and the time from one in force to the next one, which begins to wait just
/// after a read.
const VERSIONS: u32 = 8;
const VERSION_INTERVAL: Duration = Duration::from_millis(40);

/// How the link of one node to the store behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Sound,
    /// Each call is answered with 503.
    Refused,
    /// Calls get no answer.
    Silent,
    /// Connections are delayed by this.
    Slow(Duration),
}

/// Forwards connections to a store as the link allows; a change of the link ends all of them.
async fn link(store: SocketAddr, link: watch::Receiver<Link>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let mut changed = link.clone();
            let link = *changed.borrow_and_update();
            tokio::spawn(async move {
                tokio::select! {
                    () = forward(caller, store, link) => {}
                    _ = changed.changed() => {}
                }
            });
        }
    });
    addr
}

async fn forward(mut caller: TcpStream, store: SocketAddr, link: Link) {
    match link {
        Link::Silent => std::future::pending().await,
        Link::Refused => {
            let mut request = [0; 4_096];
            let _ = caller.read(&mut request).await;
            let answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            let _ = caller.write_all(answer).await;
            return;
        }
        Link::Slow(delay) => sleep(delay).await,
        Link::Sound => {}
    }
    if let Ok(mut store) = TcpStream::connect(store).await {
        let _ = copy_bidirectional(&mut caller, &mut store).await;
    }
}

/// Sidecars, the first of which reads the store for all, over a link each, and two entries.
async fn nodes(
    store: &UsersStore,
    links: Vec<watch::Receiver<Link>>,
) -> (Vec<RunningNode>, [RunningNode; 2]) {
    let mut sidecars: Vec<RunningNode> = Vec::new();
    for states in links {
        let seeds = sidecars.iter().map(|s| s.node_addr).take(1).collect();
        let settings = settings("side", link(store.addr, states).await, false, seeds);
        sidecars.push(start(settings).await.unwrap());
    }
    let entry = |name| start(settings(name, store.addr, true, vec![sidecars[0].node_addr]));
    let entries = [entry("e1").await.unwrap(), entry("e2").await.unwrap()];
    while !entries.iter().all(RunningNode::is_ready) {
        sleep(ms(10)).await;
    }
    (sidecars, entries)
}

/// Returns how long an entry answers that the route of a version is unknown.
async fn delay(entry: SocketAddr, version: u32) -> Duration {
    let began = Instant::now();
    for number in 0.. {
        let request = Client::new().post(format!("http://{entry}/v{version}/x"));
        let request = request.header("host", "a.example").header("authorization", "Bearer k1");
        let request = request.header("x-limpetmux-request-id", format!("{version}-{number}"));
        let asked = began.elapsed();
        let answer = request.header("x-limpetmux-deadline-ms", "1000").body("b").send().await;
        match answer.unwrap().status() {
            StatusCode::OK => return asked,
            status => assert_eq!(status, StatusCode::NOT_FOUND),
        }
        sleep(ms(20)).await;
    }
    unreachable!("the numbers do not end")
}

/// Declares versions with one more route each while the links of `SIDECARS` sidecars change as `disturb`
/// says; returns the longest time until one is in force at an entry.
async fn longest_delay<const SIDECARS: usize>(
    disturb: impl AsyncFnOnce([watch::Sender<Link>; SIDECARS]),
) -> Duration {
    let store = UsersStore::start().await.unwrap();
    let server = UsersServer::start("p1").await.unwrap();
    store.put("keyed.op", "config", &config(1, "k1"));
    store.put("keyed.servers", "p1", &server.entry("plain", "mnl-a", "ready"));
    let senders = [(); SIDECARS].map(|()| watch::Sender::new(Link::Sound));
    let links = senders.iter().map(watch::Sender::subscribe).collect();
    let (_sidecars, entries) = nodes(&store, links).await;
    sleep(ms(1_500)).await;
    let declare = async {
        let mut longest = Duration::ZERO;
        for version in 2..2 + VERSIONS {
            let path = format!("/v{version}/");
            store.put("keyed.op", "config", &config(version, "k1").replace("/once/", &path));
            let delays = entries.each_ref().map(|e| delay(e.caller_addr.unwrap(), version));
            let delays = futures::future::join_all(delays).await;
            longest = delays.into_iter().fold(longest, Duration::max);
            println!("version {version}: in force after {longest:?} at most");
            sleep(VERSION_INTERVAL).await;
        }
        longest
    };
    let disturb = async {
        disturb(senders).await;
        std::future::pending().await
    };
    tokio::select! {
        longest = declare => longest,
        () = disturb => unreachable!("the links stay as they are"),
    }
}

/// Gives all links one state and keeps them so.
async fn set_all<const SIDECARS: usize>(links: [watch::Sender<Link>; SIDECARS], state: Link) {
    for link in &links {
        link.send_replace(state);
    }
    std::future::pending().await
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_in_time_while_the_store_turns_the_reader_away() {
    // Guards against a reader that stays the source of all although it cannot read.
    let delay = longest_delay::<1>(async |links| set_all(links, Link::Refused).await).await;

    assert!(delay <= CONFIG_BOUND, "{delay:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_in_time_while_the_store_does_not_answer_the_reader() {
    let delay = longest_delay::<1>(async |links| set_all(links, Link::Silent).await).await;

    assert!(delay <= CONFIG_BOUND, "{delay:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_in_time_while_the_reader_reads_slowly() {
    let state = Link::Slow(ms(1_200));
    let delay = longest_delay::<1>(async |links| set_all(links, state).await).await;

    assert!(delay <= CONFIG_BOUND, "{delay:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_in_time_while_the_store_does_not_answer_several_readers() {
    // Guards against one late reader after the other, each of which takes its time (review/3, CONFIG).
    let delay = longest_delay::<3>(async |links| set_all(links, Link::Silent).await).await;

    assert!(delay <= CONFIG_BOUND, "{delay:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_in_time_while_the_store_turns_readers_away_in_turn() {
    // Guards against a reader that is back with an old view, and pulls from one that has just stepped back
    // (review/3, CONFIG).
    let states = [Link::Refused, Link::Silent];
    let delay = longest_delay::<3>(async |links| {
        for turn in 0.. {
            let state = states[turn / links.len() % states.len()];
            links[turn % links.len()].send_replace(state);
            sleep(ms(700)).await;
            links[turn % links.len()].send_replace(Link::Sound);
        }
    })
    .await;

    assert!(delay <= CONFIG_BOUND, "{delay:?}");
}
