//! One request's story from the log lines of several processes.
//!
//! Lines are read as a stream, so files may be of any size. A line belongs to the request if its
//! field `request` names it; calls between nodes and to backend servers carry the same id. Lines
//! that cannot be read are counted and passed over.

use serde_json::{Map, Value};
use std::fmt::Write;
use std::io::BufRead;

/// Fields that stand at the front of a printed line or are left out.
const FRONT: [&str; 5] = ["time", "level", "code", "event", "request"];

/// One line that belongs to the request.
#[derive(Clone, Debug)]
struct Step {
    time: f64,
    process: String,
    fields: Map<String, Value>,
}

/// The story of one request.
#[derive(Clone, Debug, Default)]
pub struct Story {
    steps: Vec<Step>,
    /// Lines that were read.
    pub lines: u64,
    /// Lines that cannot be read as events.
    pub unreadable: u64,
}

impl Story {
    /// Reads the lines of one process; `progress` is told the bytes of each line.
    ///
    /// # Errors
    /// Returns an error if the lines cannot be read on.
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
                Some(fields) => self.take(id, process, fields),
                None => self.unreadable += u64::from(!line.is_empty()),
            }
        }
        Ok(())
    }

    /// Returns whether no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Renders the story in the order of time, one line a step, and the decision that ended it.
    pub fn render(&self) -> String {
        let mut steps = self.steps.clone();
        steps.sort_by(|a, b| a.time.total_cmp(&b.time));
        let start = steps.first().map_or(0.0, |s| s.time);
        let mut text = String::new();
        for step in &steps {
            // Writing into a string cannot fail.
            let _ =
                writeln!(text, "{:+9.3} s  {}  {}", step.time - start, step.process, step.text());
        }
        if let Some(last) = steps.iter().rev().find(|s| s.is_end()) {
            let _ = writeln!(text, "ended by: {}  {}", last.process, last.text());
        }
        text
    }

    fn take(&mut self, id: &str, process: &str, fields: Map<String, Value>) {
        if fields.get("request").and_then(Value::as_str) != Some(id) {
            return;
        }
        let time = fields.get("time").and_then(Value::as_f64).unwrap_or_default();
        self.steps.push(Step { time, process: process.to_owned(), fields });
    }
}

impl Step {
    fn event(&self) -> &str {
        self.fields.get("event").and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether the line tells how the request ended.
    fn is_end(&self) -> bool {
        let ends = ["request_served", "request_refused", "request_failed", "caller_gone"];
        ends.contains(&self.event())
    }

    fn text(&self) -> String {
        let mut text = self.event().to_owned();
        for (key, value) in self.fields.iter().filter(|(k, _)| !FRONT.contains(&k.as_str())) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(text, " {key}={value}");
        }
        text
    }
}

/// Reads a line, which a collector may have put something in front of.
fn parse(line: &[u8]) -> Option<Map<String, Value>> {
    let start = line.iter().position(|b| *b == b'{')?;
    serde_json::from_slice(&line[start..]).ok()
}
