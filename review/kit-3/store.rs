//! A stand-in of the platform's store: keyed topics with one partition, as a log.

use crate::http::{self, answer, query};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
}

/// The store; all calls are answered at once and in one order.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(addr)?;
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key.as_bytes().to_vec(), value.as_bytes().to_vec());
    }

    fn append(&self, topic: &str, key: Vec<u8>, value: Vec<u8>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let records = &mut topics.entry(topic.to_owned()).or_default().records;
        records.push((key, value));
        let end = records.len();
        self.changed.notify_all();
        (end - 1, end)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(call) = http::read(&mut reader)? {
            let (method, path, q) = call.target();
            let topic = query(q, "topic").unwrap_or_default();
            match (method, path) {
                ("POST", "/log-append") => self.add(&mut stream, topic, q, &call.body)?,
                ("GET", "/log-read") => self.read(&mut stream, topic, q)?,
                ("GET", "/log-newest") => self.newest(&mut stream, topic)?,
                _ => answer(&mut stream, "404 Not Found", "", b"")?,
            }
        }
        Ok(())
    }

    fn add(&self, to: &mut TcpStream, topic: &str, q: &str, body: &[u8]) -> std::io::Result<()> {
        let end = self.topics.lock().unwrap().get(topic).map_or(0, |t| t.records.len());
        if query(q, "as-of").is_some_and(|at| at.parse() != Ok(end)) {
            let body = format!("{{\"end\":{end}}}");
            return answer(to, "412 Precondition Failed", JSON, body.as_bytes());
        }
        let (mut first, mut end, mut rest) = (end, end, body);
        let mut count = 0;
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (record, after) = rest[4..].split_at(length);
            let key = usize::from(record[0]);
            let (offset, now) = self.append(topic, record[1..=key].to_vec(), record[key + 1..].to_vec());
            first = if count == 0 { offset } else { first };
            (end, rest, count) = (now, after, count + 1);
        }
        let body = format!("{{\"offset\":{first},\"end\":{end}}}");
        answer(to, "200 OK", JSON, body.as_bytes())
    }

    fn read(&self, to: &mut TcpStream, topic: &str, q: &str) -> std::io::Result<()> {
        let number = |key| query(q, key).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |t| t.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], |t| &t.records);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        drop(topics);
        answer(to, "200 OK", "Content-Type: application/octet-stream\r\n", &body)
    }

    fn newest(&self, to: &mut TcpStream, topic: &str) -> std::io::Result<()> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |t| &t.records);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let item = |(key, (offset, value)): (&&[u8], &(usize, &[u8]))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = newest.iter().filter(|(_, (_, v))| !v.is_empty()).map(item).collect();
        let end = records.len();
        let body = format!("{{\"items\":[{}],\"has-more\":false,\"end\":{end}}}", items.join(","));
        drop(topics);
        answer(to, "200 OK", JSON, body.as_bytes())
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().chain([0, 0].iter()).take(3).fold(0_u32, |w, b| w << 8 | u32::from(*b));
        for place in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
