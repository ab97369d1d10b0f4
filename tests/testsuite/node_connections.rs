//! Connections of other processes are bounded in number and in idle time, and no call is lost by it.

use crate::platform::endless_calls::dripped_message;
use limpetmux::adapters::admission::ConnectionBounds;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::kept::KeptChannel;
use limpetmux::core::read_limits::{
    KEPT_IDLE_TIME, MAX_MESSAGE_TIME, MAX_NODE_CONNECTIONS, MIN_NODE_CONNECTIONS, NODE_IDLE_TIME,
    node_connections,
};
use limpetmux::core::time::Moment;
use limpetmux::util::exposition::Exposition;
use limpetmux::wire::stage;
use limpetmux::wire::stage::stage_client::StageClient;
use limpetmux::wire::stage::stage_server::{Stage, StageServer};
use limpetmux_test_support::tls::Authority;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_stream::Pending;
use tonic::service::Routes;
use tonic::transport::Channel;
use tonic::{Request, Response, Status, Streaming};

/// An idle time that no test waits for.
const LONG: Duration = Duration::from_secs(3_600);
/// An idle time that a test waits for.
const SHORT: Duration = Duration::from_millis(300);
/// The longest that a machine under load may take for a few calls.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A host that answers a probe at once, runs an attempt without a frame until its end, and answers a
/// cancellation once it is told to.
#[derive(Clone, Default)]
struct Host {
    began: Arc<Notify>,
    answer: Arc<Notify>,
}

#[tonic::async_trait]
impl Stage for Host {
    type RunStream = Pending<Result<stage::Frame, Status>>;

    async fn run(
        &self,
        _: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        Ok(Response::new(tokio_stream::pending()))
    }

    async fn cancel(
        &self,
        _: Request<stage::CancelRequest>,
    ) -> Result<Response<stage::CancelReply>, Status> {
        self.began.notify_one();
        self.answer.notified().await;
        Ok(Response::new(stage::CancelReply::default()))
    }

    async fn probe(
        &self,
        _: Request<stage::ProbeRequest>,
    ) -> Result<Response<stage::Load>, Status> {
        Ok(Response::new(stage::Load::default()))
    }
}

struct Server {
    channels: Channels,
    host: Host,
    addr: SocketAddr,
    exposition: Exposition,
}

async fn serve(channels: Channels, count: usize, idle: Duration) -> Server {
    let exposition = Exposition::default();
    let channels = channels.bounded(ConnectionBounds { count, idle }, exposition.metrics());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, host, serving) = (listener.local_addr().unwrap(), Host::default(), channels.clone());
    let routes = Routes::new(StageServer::new(host.clone()));
    tokio::spawn(async move { serving.serve(routes, listener, std::future::pending()).await });
    Server { channels, host, addr, exposition }
}

impl Server {
    fn kept(&self) -> KeptChannel {
        KeptChannel::new(self.channels.endpoint(self.addr, MAX_WAIT).unwrap())
    }

    async fn connect(&self) -> Result<Channel, tonic::transport::Error> {
        // An idle connection answers the pings of both sides.
        let endpoint = self.channels.endpoint(self.addr, MAX_WAIT).unwrap();
        endpoint.keep_alive_while_idle(true).connect().await
    }

    async fn wait_for_connections(&self, count: usize) {
        let end = Instant::now() + MAX_WAIT;
        while self.channels.open_connections() != count {
            let open = self.channels.open_connections();
            assert!(Instant::now() < end, "{open} connections are open instead of {count}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn stops(&self, bound: &str) -> usize {
        let (text, bound) = (self.exposition.render(), format!("\"{bound}\""));
        let line = text.lines().find(|l| l.contains("reads_stopped") && l.contains(&bound));
        line.map_or(0, |l| l.rsplit(' ').next().unwrap().parse().unwrap())
    }
}

async fn probe(channel: Channel) -> Result<(), Status> {
    StageClient::new(channel).probe(stage::ProbeRequest::default()).await.map(|_| ())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_beyond_their_bound_are_closed_and_those_in_use_stay() {
    // Guards against a process whose descriptors are used up by the connections of other processes.
    const BOUND: usize = 3;
    const FURTHER: usize = 20;
    let server = serve(Channels::plain(), BOUND, LONG).await;
    let mut open = Vec::new();
    for _ in 0..BOUND {
        let channel = server.connect().await.unwrap();
        probe(channel.clone()).await.unwrap();
        open.push(channel);
    }

    let mut refused = 0;
    for _ in 0..FURTHER {
        let call = async { probe(server.connect().await.map_err(|_| ())?).await.map_err(|_| ()) };
        refused += usize::from(call.await.is_err());
    }

    assert_eq!(refused, FURTHER);
    assert!(server.stops("count") >= FURTHER, "{}", server.exposition.render());
    for channel in &open {
        probe(channel.clone()).await.unwrap();
    }
    open.pop();
    server.wait_for_connections(BOUND - 1).await;
    probe(server.connect().await.unwrap()).await.unwrap();
}

/// Connects until a probe has been answered, as a short idle time may end before the first call.
async fn used_connection(server: &Server) -> Channel {
    loop {
        let Ok(channel) = server.connect().await else { continue };
        if probe(channel.clone()).await.is_ok() {
            return channel;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connection_that_answers_pings_closes() {
    // Guards against connections without calls that stay open as long as their process.
    for channels in [Channels::plain(), Authority::new().channels()] {
        let server = serve(channels, 10, SHORT).await;
        let (used, unused) = (used_connection(&server).await, server.connect().await);

        server.wait_for_connections(0).await;

        drop((used, unused));
        assert_eq!(server.stops("time"), 0, "an idle connection is no fault");
    }
}

/// Starts a call that the host answers when it is told to.
async fn unary_call(server: &Server) -> JoinHandle<Result<Response<stage::CancelReply>, Status>> {
    loop {
        let Ok(channel) = server.connect().await else { continue };
        let mut call = tokio::spawn(async move {
            StageClient::new(channel).cancel(stage::CancelRequest::default()).await
        });
        tokio::select! {
            () = server.host.began.notified() => return call,
            _ = &mut call => {}
        }
    }
}

/// Starts a call whose answer has begun and does not end.
async fn streamed_call(server: &Server) -> Streaming<stage::Frame> {
    loop {
        let Ok(channel) = server.connect().await else { continue };
        if let Ok(answer) = StageClient::new(channel).run(stage::RunRequest::default()).await {
            return answer.into_inner();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_calls_outlast_the_idle_time() {
    // Guards against calls that are cut because they carry no bytes for a while.
    for channels in [Channels::plain(), Authority::new().channels()] {
        let server = serve(channels, 10, SHORT).await;
        let (call, mut frames) = (unary_call(&server).await, streamed_call(&server).await);

        let frame = tokio::time::timeout(SHORT * 5, frames.message()).await;
        server.host.answer.notify_one();
        let answer = call.await.unwrap();

        assert!(frame.is_err(), "the stream ended: {frame:?}");
        assert!(answer.is_ok(), "{answer:?}");
        drop(frames);
        server.wait_for_connections(0).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_uses_a_connection_only_well_before_its_idle_end() {
    // Guards against a call on a connection that the other process is about to close.
    let server = serve(Channels::plain(), 10, LONG).await;
    let (kept, begin) = (server.kept(), Moment::from_millis(1_000_000));
    let last = begin + (KEPT_IDLE_TIME - Duration::from_millis(1));
    let calls = [(begin, 1), (last, 1), (last + KEPT_IDLE_TIME, 2), (last + KEPT_IDLE_TIME, 2)];
    // A running call keeps the first connection open.
    let mut running = StageClient::new(kept.channel(begin));
    let mut frames = running.run(stage::RunRequest::default()).await.unwrap().into_inner();
    drop(running);

    for (now, connections) in calls {
        probe(kept.channel(now)).await.unwrap();

        server.wait_for_connections(connections).await;
    }

    let frame = tokio::time::timeout(SHORT, frames.message()).await;
    assert!(frame.is_err(), "the running call ended: {frame:?}");
    assert!(KEPT_IDLE_TIME * 2 <= NODE_IDLE_TIME);
}

/// Forwards connections to a server. Once the flag is set, those that were open before close at the
/// next bytes of their caller, as if the server had closed them while a call was under way.
async fn closing_proxy(server: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, is_closing) = (listener.local_addr().unwrap(), Arc::<AtomicBool>::default());
    let flag = Arc::clone(&is_closing);
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let closes = (!flag.load(Ordering::SeqCst)).then(|| Arc::clone(&flag));
            tokio::spawn(forward(caller, server, closes));
        }
    });
    (addr, is_closing)
}

async fn forward(mut caller: TcpStream, server: SocketAddr, closes: Option<Arc<AtomicBool>>) {
    let mut server = TcpStream::connect(server).await.unwrap();
    let (mut sent, mut received) = ([0; 4_096], [0; 4_096]);
    loop {
        let is_forwarded = tokio::select! {
            read = caller.read(&mut sent) => match read {
                Ok(0) | Err(_) => false,
                Ok(_) if closes.as_ref().is_some_and(|c| c.load(Ordering::SeqCst)) => false,
                Ok(n) => server.write_all(&sent[..n]).await.is_ok(),
            },
            read = server.read(&mut received) => match read {
                Ok(0) | Err(_) => false,
                Ok(n) => caller.write_all(&received[..n]).await.is_ok(),
            },
        };
        if !is_forwarded {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_made_while_its_idle_connection_closes_succeeds() {
    // Guards against calls that are lost, or counted against a host, because nobody called it before.
    let server = serve(Channels::plain(), 10, LONG).await;
    let (addr, is_closing) = closing_proxy(server.addr).await;
    let kept = KeptChannel::new(server.channels.endpoint(addr, MAX_WAIT).unwrap());
    let begin = Moment::from_millis(1_000_000);
    probe(kept.channel(begin)).await.unwrap();

    is_closing.store(true, Ordering::SeqCst);
    let result = probe(kept.channel(begin + KEPT_IDLE_TIME)).await;

    assert!(result.is_ok(), "{result:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn message_that_drips_ends_in_time_whatever_its_call() {
    // Guards against messages that hold their streams and bytes until their connections end.
    const BEGIN: [u8; 5] = [0, 0, 1, 0, 0];
    let server = serve(Channels::plain(), 10, LONG).await;
    let paths = ["Run", "Probe", "Cancel"].map(|call| format!("/limpetmux.stage.v1.Stage/{call}"));

    let statuses = paths.iter().map(|path| dripped_message(server.addr, path, BEGIN));
    let statuses = futures::future::join_all(statuses).await;

    // The time is exceeded.
    assert_eq!(statuses, ["4", "4", "4"]);
    assert_eq!(server.stops("time"), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_may_take_longer_than_its_message() {
    // Guards against runs, drain orders and exchanges that are cut once the time for a message is over.
    let server = serve(Channels::plain(), 10, LONG).await;
    let (call, mut frames) = (unary_call(&server).await, streamed_call(&server).await);

    let frame = tokio::time::timeout(MAX_MESSAGE_TIME + SHORT, frames.message()).await;
    server.host.answer.notify_one();
    let answer = call.await.unwrap();

    assert!(frame.is_err(), "the stream ended: {frame:?}");
    assert!(answer.is_ok(), "{answer:?}");
    assert_eq!(server.stops("time"), 0);
}

#[test]
fn bound_on_connections_follows_from_the_descriptors() {
    let cases = [
        (0, MIN_NODE_CONNECTIONS),
        (1_024, 512),
        (20_000, 10_000),
        (usize::MAX, MAX_NODE_CONNECTIONS),
    ];

    for (descriptors, count) in cases {
        assert_eq!(node_connections(descriptors), count, "{descriptors}");
    }
    let process = ConnectionBounds::default();
    assert!((MIN_NODE_CONNECTIONS..=MAX_NODE_CONNECTIONS).contains(&process.count));
    assert_eq!(process.idle, NODE_IDLE_TIME);
}
