//! The platform's store: keyed topics, which the operator and backend servers write.

use super::bytes::{self, BadBytes, Played, SharedAnswers, lock_answers};
use super::connection::{ANY, listen};
use crate::raw::{Message, read_request};
use poem::endpoint::BoxEndpoint;
use poem::http::{Method, StatusCode};
use poem::web::{Data, Query};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_with::{base64::Base64, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// The interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The header in which all answers state how often the store was restored.
const ERA_HEADER: &str = "store-era";

/// The topics that the operator and backend servers write.
const OUTSIDE_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

#[derive(Clone)]
struct StoredRecord {
    key: String,
    value: Vec<u8>,
    at: Instant,
}

/// A record that a restored store has lost, and that its writer writes again.
#[derive(Clone, Debug)]
pub struct LostRecord {
    /// The topic.
    pub topic: String,
    /// The key.
    pub key: String,
    /// The value; empty if the key was deleted.
    pub value: Vec<u8>,
    /// When the store lost it.
    pub lost_at: Instant,
}

#[derive(Default)]
struct Topic {
    records: Vec<StoredRecord>,
}

impl Topic {
    fn append(&mut self, key: &str, value: &[u8]) {
        let (key, value) = (key.to_owned(), value.to_vec());
        self.records.push(StoredRecord { key, value, at: Instant::now() });
    }
}

/// What happens to the next appends of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AppendFault {
    /// They are answered.
    #[default]
    None,
    /// They are done, and the answer is lost.
    AnswerLost,
    /// The answer is lost, and they are done after some time if their condition holds then.
    DoneLate(Duration),
}

#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Topic>,
    calls: u64,
    /// How often the store was restored; stated in all answers once it is set.
    era: Option<u64>,
    down: bool,
    appends: AppendFault,
    bytes: Option<BadBytes>,
    answers: SharedAnswers,
}

/// The platform's store.
#[derive(Clone)]
pub struct UsersStore {
    /// The address it listens on.
    pub addr: SocketAddr,
    topics: Arc<Mutex<Topics>>,
}

#[derive(Deserialize)]
struct TopicQuery {
    topic: String,
    #[serde(default)]
    from: usize,
    #[serde(default, rename = "wait-ms")]
    wait_ms: u64,
    /// The end that the topic must have for an append.
    #[serde(rename = "as-of")]
    as_of: Option<usize>,
}

#[serde_as]
#[derive(Serialize)]
struct Item<'a> {
    key: &'a str,
    #[serde_as(as = "Base64")]
    value: &'a [u8],
    offset: usize,
}

impl UsersStore {
    /// Starts a store on a port that the system chooses.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let topics: Arc<Mutex<Topics>> = Arc::default();
        let routes = Route::new()
            .at("/log-newest", get(newest))
            .at("/log-read", get(read))
            .at("/log-append", post(append))
            .data(Arc::clone(&topics))
            .boxed();
        let (routes, shared) = (Arc::new(routes), Arc::clone(&topics));
        let serve = move |stream| {
            let (routes, topics) = (Arc::clone(&routes), Arc::clone(&shared));
            async move { serve_connection(stream, &routes, &topics).await }
        };
        Ok(Self { addr: listen(ANY, std::future::pending(), serve).await?, topics })
    }

    /// Writes the newest record of a key, as the operator or a backend server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.write(topic, key, value.as_bytes());
    }

    fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = lock(&self.topics);
        topics.topics.entry(topic.to_owned()).or_default().append(key, value);
    }

    /// Writes a lost record again, as the operator or a backend server does that has written nothing
    /// newer since.
    pub fn put_again(&self, record: &LostRecord) {
        let mut topics = lock(&self.topics);
        let log = topics.topics.entry(record.topic.clone()).or_default();
        if !log.records.iter().any(|r| r.key == record.key && r.at > record.lost_at) {
            log.append(&record.key, &record.value);
        }
    }

    /// Replaces all records by a copy of some age, as if the store came back from it; returns the
    /// newest lost record of each key that others than the nodes have written.
    pub fn restore(&self, age: Duration) -> Vec<LostRecord> {
        let mut topics = lock(&self.topics);
        topics.era = Some(topics.era.unwrap_or_default() + 1);
        let lost_at = Instant::now();
        let copied_at = lost_at.checked_sub(age);
        let mut lost = BTreeMap::new();
        for (topic, log) in &mut topics.topics {
            let kept = log.records.partition_point(|r| Some(r.at) <= copied_at);
            let records = log.records.split_off(kept);
            if OUTSIDE_TOPICS.contains(&topic.as_str()) {
                let record = |r: StoredRecord| LostRecord {
                    topic: topic.clone(),
                    key: r.key,
                    value: r.value,
                    lost_at,
                };
                let keyed =
                    records.into_iter().map(|r| ((topic.clone(), r.key.clone()), record(r)));
                lost.extend(keyed);
            }
        }
        lost.into_values().collect()
    }

    /// Returns the newest value of each key of a topic.
    pub fn values(&self, topic: &str) -> BTreeMap<String, Vec<u8>> {
        let topics = lock(&self.topics);
        let records = topics.topics.get(topic).map_or(&[][..], |t| &t.records);
        let mut values = BTreeMap::new();
        for record in records {
            values.insert(record.key.clone(), record.value.clone());
        }
        values.retain(|_, value| !value.is_empty());
        values
    }

    /// Makes the store refuse all calls, or serve them again.
    pub fn set_down(&self, down: bool) {
        lock(&self.topics).down = down;
    }

    /// Sets what happens to the next appends of nodes.
    pub fn set_appends(&self, fault: AppendFault) {
        lock(&self.topics).appends = fault;
    }

    /// Deletes a key, as the operator does.
    pub fn remove(&self, topic: &str, key: &str) {
        self.write(topic, key, &[]);
    }

    /// Returns all values of a key that were written, in their order.
    pub fn history(&self, topic: &str, key: &str) -> Vec<Vec<u8>> {
        let topics = lock(&self.topics);
        let records = topics.topics.get(topic).map_or(&[][..], |t| &t.records);
        records.iter().filter(|r| r.key == key).map(|r| r.value.clone()).collect()
    }

    /// Makes the bytes of the next answers break the protocol, or correct again.
    pub fn set_bytes(&self, bytes: Option<BadBytes>) {
        lock(&self.topics).bytes = bytes;
    }

    /// Returns the number of its answers that were endless or arrived byte by byte.
    pub fn played(&self) -> Played {
        lock_answers(&lock(&self.topics).answers).played
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.topics).calls
    }
}

fn lock(topics: &Mutex<Topics>) -> MutexGuard<'_, Topics> {
    topics.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves a connection from TCP, as no HTTP server sends answers without end.
async fn serve_connection(
    stream: TcpStream,
    routes: &BoxEndpoint<'static, Response>,
    topics: &Mutex<Topics>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    loop {
        let message = read_request(&mut stream).await?;
        let answer = routes.get_response(request(message)?).await;
        let status = answer.status().as_u16();
        let body = answer.into_body().into_bytes().await.map_err(std::io::Error::other)?;
        let (bytes, answers, era) = {
            let topics = lock(topics);
            (topics.bytes, Arc::clone(&topics.answers), topics.era)
        };
        if let Some(bytes) = bytes {
            bytes::play(stream.get_ref(), bytes, "", "", &body, &answers).await?;
            continue;
        }
        let era = era.map(|era| format!("{ERA_HEADER}: {era}\r\n")).unwrap_or_default();
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Status\r\n{era}content-length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &body].concat()).await?;
    }
}

fn request(message: Message) -> std::io::Result<Request> {
    let mut words = message.head.split_whitespace();
    let method = words.next().unwrap_or_default().parse::<Method>();
    let uri = words.next().unwrap_or_default();
    let request = Request::builder().method(method.map_err(std::io::Error::other)?);
    let request = request.uri_str(uri).body(message.body);
    Ok(request)
}

/// Counts a call; returns the 503 status if the store is down.
fn count_call(topics: &Mutex<Topics>) -> Result<(), StatusCode> {
    let mut topics = lock(topics);
    topics.calls += 1;
    if topics.down { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
}

#[handler]
fn newest(Query(query): Query<TopicQuery>, topics: Data<&Arc<Mutex<Topics>>>) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let topics = lock(&topics);
    let records = topics.topics.get(&query.topic).map_or(&[][..], |t| &t.records);
    let mut items: BTreeMap<&str, Item<'_>> = BTreeMap::new();
    for (offset, StoredRecord { key, value, .. }) in records.iter().enumerate() {
        items.insert(key, Item { key, value, offset });
        if value.is_empty() {
            items.remove(key.as_str());
        }
    }
    let items: Vec<Item<'_>> = items.into_values().collect();
    let body = json!({"items": items, "has-more": false, "end": records.len()});
    body.to_string().into_response()
}

#[handler]
async fn read(Query(query): Query<TopicQuery>, topics: Data<&Arc<Mutex<Topics>>>) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        match page(&lock(&topics), &query, Instant::now() >= deadline) {
            Some(Ok(body)) => return body.into_response(),
            Some(Err(status)) => return status.into_response(),
            None => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Encodes the records from an offset on, which the log must have reached; returns `None` to wait for
/// records until `timed_out`.
fn page(
    topics: &Topics,
    query: &TopicQuery,
    timed_out: bool,
) -> Option<Result<Vec<u8>, StatusCode>> {
    let records = topics.topics.get(&query.topic).map_or(&[][..], |t| &t.records);
    if records.len() < query.from {
        return Some(Err(StatusCode::GONE));
    }
    if records.len() <= query.from && !timed_out {
        return None;
    }
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for StoredRecord { key, value, .. } in records.iter().skip(query.from) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend(key.as_bytes());
        record.extend(value);
        body.extend(u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
        body.extend(record);
    }
    Some(Ok(body))
}

#[handler]
fn append(
    Query(query): Query<TopicQuery>,
    body: Vec<u8>,
    topics: Data<&Arc<Mutex<Topics>>>,
) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let shared = Arc::clone(&topics);
    let mut topics = lock(&topics);
    let end = topics.topics.get(&query.topic).map_or(0, |t| t.records.len());
    if query.as_of.is_some_and(|as_of| as_of != end) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    match topics.appends {
        AppendFault::None => append_now(&mut topics, query, &body),
        AppendFault::AnswerLost => {
            let _ = append_now(&mut topics, query, &body);
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
        AppendFault::DoneLate(delay) => {
            tokio::spawn(async move {
                sleep(delay).await;
                let mut topics = lock(&shared);
                let end = topics.topics.get(&query.topic).map_or(0, |t| t.records.len());
                if query.as_of.is_none_or(|as_of| as_of == end) {
                    let _ = append_now(&mut topics, query, &body);
                }
            });
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

fn append_now(topics: &mut Topics, query: TopicQuery, body: &[u8]) -> Response {
    let topic = topics.topics.entry(query.topic).or_default();
    let offset = topic.records.len();
    let mut rest = body;
    while let Some((len, data)) = rest.split_first_chunk::<4>() {
        let (record, next) = data.split_at(u32::from_be_bytes(*len) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        topic.append(&String::from_utf8_lossy(key), value);
        rest = next;
    }
    json!({"offset": offset, "end": topic.records.len()}).to_string().into_response()
}
