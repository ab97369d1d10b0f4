//! Reconstructs the course of one request from the log lines of several processes.
//!
//! Lines are read as a stream, so files may be of any size. A line belongs to the request if its
//! `request` field holds the request's id; calls between nodes and to backend servers carry the
//! same id. Lines that cannot be parsed are counted and skipped.

use serde_json::{Map, Value};
use std::fmt::Write;
use std::io::BufRead;

/// Fields that a printed line shows before its `key=value` pairs or omits.
const LEADING_FIELDS: [&str; 5] = ["time", "level", "code", "event", "request"];

/// One log event of the request.
#[derive(Clone, Debug)]
struct LogEvent {
    time: f64,
    process: String,
    fields: Map<String, Value>,
}

/// All log events of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    events: Vec<LogEvent>,
    /// The number of lines read.
    pub lines: u64,
    /// The number of lines that cannot be parsed as events.
    pub unreadable: u64,
}

impl RequestLog {
    /// Reads the log lines of one process; `progress` is called with the length of each line in
    /// bytes.
    ///
    /// # Errors
    /// Returns an error if reading a line fails.
    pub fn read(
        &mut self,
        id: &str,
        process: &str,
        lines: impl BufRead,
        mut progress: impl FnMut(usize),
    ) -> std::io::Result<()> {
        for line in lines.split(b'\n') {
            let line = line?;
            progress(line.len() + 1);
            self.lines += 1;
            match parse(&line) {
                Some(fields) => self.add_event(id, process, fields),
                None => self.unreadable += u64::from(!line.is_empty()),
            }
        }
        Ok(())
    }

    /// Returns whether no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Renders the events in order of time, one a line, and the event that ended the request.
    pub fn render(&self) -> String {
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.time.total_cmp(&b.time));
        let start = events.first().map_or(0.0, |e| e.time);
        let mut text = String::new();
        for event in &events {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:+9.3} s  {}  {}",
                event.time - start,
                event.process,
                event.text()
            );
        }
        if let Some(last) = events.iter().rev().find(|e| e.is_end()) {
            let _ = writeln!(text, "ended by: {}  {}", last.process, last.text());
        }
        text
    }

    fn add_event(&mut self, id: &str, process: &str, fields: Map<String, Value>) {
        if fields.get("request").and_then(Value::as_str) != Some(id) {
            return;
        }
        let time = fields.get("time").and_then(Value::as_f64).unwrap_or_default();
        self.events.push(LogEvent { time, process: process.to_owned(), fields });
    }
}

impl LogEvent {
    fn name(&self) -> &str {
        self.fields.get("event").and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the event ends the request.
    fn is_end(&self) -> bool {
        let ends = ["request_served", "request_refused", "request_failed", "caller_gone"];
        ends.contains(&self.name())
    }

    fn text(&self) -> String {
        let mut text = self.name().to_owned();
        for (key, value) in
            self.fields.iter().filter(|(k, _)| !LEADING_FIELDS.contains(&k.as_str()))
        {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, " {key}={value}");
        }
        text
    }
}

/// Parses a line and skips any prefix that a log collector put before the JSON object.
fn parse(line: &[u8]) -> Option<Map<String, Value>> {
    let start = line.iter().position(|b| *b == b'{')?;
    serde_json::from_slice(&line[start..]).ok()
}
