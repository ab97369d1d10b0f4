//! Callers that keep connections open, send requests of all kinds and record every answer.

use crate::world::{ENTRIES, PERMANENT_KEY, World, lock};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use reqwest::{Client, RequestBuilder};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The body of every request.
pub const BODY: &[u8] = b"body";
/// How long a caller waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// The longest pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 120;
/// The number of pieces of each stage of a stream.
pub const PIECES: [u64; 2] = [2, 3];
/// The number of callers per entry.
const CALLERS_PER_ENTRY: u64 = 3;
/// The number of requests of a burst.
pub const BURST_REQUESTS: u64 = 200;
/// The fraction of requests that use the key that faults revoke.
const REVOCABLE_KEY_RATIO: f64 = 0.3;

/// The kinds of requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request that may run at most once.
    Once,
    /// A request that may be retried.
    Safe,
    /// A request that may be retried and whose route each configuration version moves to another
    /// service.
    Moved,
    /// A request that needs two stages and is answered by a stream of events.
    Stream,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Answered {
        /// The status.
        status: u16,
        /// Whether it has a backend server's signature.
        signed: bool,
        /// The body.
        body: String,
    },
    /// No complete answer: the connection failed or was cut.
    Cut,
    /// No answer within the deadline.
    TimedOut,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request id.
    pub id: String,
    /// The kind.
    pub kind: Kind,
    /// The entry that it was sent to.
    pub entry: usize,
    /// The key that it carried.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
    /// When it ended.
    pub until: Instant,
    /// How it ended.
    pub outcome: Outcome,
    /// The request id that its answer carried.
    pub answered_id: Option<String>,
}

/// The requests of all callers.
pub type SentLog = Arc<Mutex<Vec<SentRequest>>>;

/// Starts the callers; they stop once `stop` is true.
pub fn start(world: &Arc<World>, seed: u64, stop: &watch::Receiver<bool>) -> SentLog {
    let log = SentLog::default();
    for entry in 0..ENTRIES {
        for number in 0..CALLERS_PER_ENTRY {
            let rng = Pcg64::seed_from_u64(seed * 1_000 + entry as u64 * 10 + number);
            let caller = Caller { world: Arc::clone(world), log: Arc::clone(&log), entry };
            tokio::spawn(caller.run(rng, number, stop.clone()));
        }
    }
    log
}

/// Sends a burst of requests of a kind to one entry and waits until all have ended.
pub async fn burst(world: &Arc<World>, log: &SentLog, entry: usize, kind: Kind) {
    let (client, began) = (Client::new(), lock(log).len());
    let caller = Caller { world: Arc::clone(world), log: Arc::clone(log), entry };
    let ids = (0..BURST_REQUESTS).map(|number| format!("{entry}-burst-{began}-{number}"));
    let sent = ids.map(|id| caller.send(&client, kind, id, PERMANENT_KEY.to_owned()));
    futures::future::join_all(sent).await;
}

struct Caller {
    world: Arc<World>,
    log: SentLog,
    entry: usize,
}

impl Caller {
    async fn run(self, mut rng: Pcg64, caller: u64, stop: watch::Receiver<bool>) {
        let client = Client::new();
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let kind = match rng.random_range(0..8) {
                0..3 => Kind::Once,
                3 => Kind::Safe,
                4..6 => Kind::Moved,
                _ => Kind::Stream,
            };
            let key = match rng.random_bool(REVOCABLE_KEY_RATIO) {
                true => self.world.revocable_key(),
                false => PERMANENT_KEY.to_owned(),
            };
            let id = format!("{}-{caller}-{number}", self.entry);
            self.send(&client, kind, id, key).await;
            sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS))).await;
        }
    }

    /// Sends a request and records how it ended.
    async fn send(&self, client: &Client, kind: Kind, id: String, key: String) {
        let request = request(&self.world, self.entry, client, kind, &id, &key);
        let at = Instant::now();
        let sent = timeout(DEADLINE, send(request)).await;
        let (outcome, answered_id) = sent.unwrap_or((Outcome::TimedOut, None));
        let until = Instant::now();
        let entry = self.entry;
        let sent = SentRequest { id, kind, entry, key, at, until, outcome, answered_id };
        lock(&self.log).push(sent);
    }
}

/// Returns a request of a kind to an entry.
pub fn request(
    world: &World,
    entry: usize,
    client: &Client,
    kind: Kind,
    id: &str,
    key: &str,
) -> RequestBuilder {
    let addr = lock(&world.nodes[entry]).spec.caller_addr();
    let path: &'static str = kind.into();
    let request = client
        .post(format!("http://{addr}/{path}/x"))
        .header("host", "a.example")
        .header("x-limpetmux-request-id", id)
        .header("x-limpetmux-deadline-ms", DEADLINE.as_millis().to_string())
        .bearer_auth(key)
        .body(BODY);
    match kind {
        Kind::Stream => request
            .header("x-limpetmux-pieces", PIECES.map(|n| n.to_string()).join(","))
            .header("x-limpetmux-piece-key", id)
            .header("x-limpetmux-token-usage", "700,40")
            .header("x-limpetmux-prompt-prefix", format!("aa:500,{id}:200")),
        _ => request,
    }
}

/// Sends a request and reads the whole answer; returns its end and the request id that it carries.
async fn send(request: RequestBuilder) -> (Outcome, Option<String>) {
    let Ok(answer) = request.send().await else { return (Outcome::Cut, None) };
    let status = answer.status().as_u16();
    let signed = answer.headers().contains_key("x-limpetmux-response-signature");
    let id = answer.headers().get("x-limpetmux-request-id");
    let id = id.map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    let outcome = match answer.text().await {
        Ok(body) => Outcome::Answered { status, signed, body },
        Err(_) => Outcome::Cut,
    };
    (outcome, id)
}
