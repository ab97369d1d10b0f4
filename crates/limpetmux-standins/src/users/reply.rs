//! The answers of a backend server in the bytes in which they are sent.

use super::fault::{FurtherAnswer, UsersFault};
use super::server::STREAM_EVENTS;
use std::time::Duration;

/// The body of an answer.
pub(super) enum Content {
    /// Bytes that are sent at once.
    Whole(Vec<u8>),
    /// A stream of events.
    Events,
}

/// What a backend server states of itself in all its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    /// Whether it is leaving.
    pub(super) leaving: bool,
    /// The `Retry-After` of its refusals.
    pub(super) retry_after: Option<String>,
    /// The requests per second that it accepts from all hosts together.
    pub(super) limit: Option<String>,
}

impl Notices {
    /// Returns the time of the `Retry-After`.
    pub(super) fn hold(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.retry_after.as_ref()?.parse().ok()?).ok()
    }
}

/// An answer to one request.
pub(super) struct Reply {
    /// The fault that it is sent with.
    pub(super) fault: UsersFault,
    /// The processing time of the request, or of each event.
    pub(super) work: Duration,
    /// The body.
    pub(super) content: Content,
    /// The id of the backend server.
    pub(super) server: String,
    /// The id of the request.
    pub(super) id: String,
    /// The status.
    pub(super) status: u16,
    /// Whether it is signed, unless the fault prevents it.
    pub(super) signed: bool,
    /// Whether it states that the request did not run.
    pub(super) unrun: bool,
    /// Whether the backend server ends when it begins the body.
    pub(super) crashes: bool,
    /// The further answer to the same request, if the fault sends one.
    pub(super) further: Vec<u8>,
    /// What the backend server states of itself.
    pub(super) notices: Notices,
}

impl Reply {
    /// Returns a refusal of a request, which states that it did not run.
    pub(super) fn refusal(status: u16, id: &str, fault: UsersFault) -> Self {
        Self {
            fault,
            work: Duration::ZERO,
            content: Content::Whole(Vec::new()),
            server: String::new(),
            id: id.to_owned(),
            status,
            signed: false,
            unrun: true,
            crashes: false,
            further: Vec::new(),
            notices: Notices::default(),
        }
    }

    /// Encodes the headers except that which states where the body ends.
    pub(super) fn fields(&self) -> String {
        let signed = self.signed && self.fault != UsersFault::Unsigned;
        let mut fields = fields(self.fault.echo(&self.id), signed, self.unrun);
        if self.notices.leaving {
            fields.push_str("server-leaving: 1\r\n");
        }
        if let Some(value) = self.notices.retry_after.as_ref().filter(|_| self.unrun) {
            fields.push_str(&format!("retry-after: {value}\r\n"));
        }
        if let Some(limit) = &self.notices.limit {
            fields.push_str(&format!("server-limit: {limit}\r\n"));
        }
        fields
    }

    /// Returns the first bytes of the body.
    pub(super) fn first_bytes(&self) -> Vec<u8> {
        match &self.content {
            Content::Whole(body) => body.clone(),
            Content::Events => event(1, &self.server, &self.id).into_bytes(),
        }
    }

    /// Encodes the head, with the header that states where the body ends.
    pub(super) fn head(&self) -> Vec<u8> {
        let unframed = self.fault.is_unframed() && !self.unrun;
        let version = if unframed { "HTTP/1.0" } else { "HTTP/1.1" };
        let mut head = format!("{version} {} Status\r\n{}", self.status, self.fields());
        match &self.content {
            _ if unframed => {}
            Content::Events => head.push_str("transfer-encoding: chunked\r\n"),
            Content::Whole(body) => head.push_str(&format!("content-length: {}\r\n", body.len())),
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Encodes a further answer to the request with an id.
pub(super) fn further(answer: FurtherAnswer, id: &str, body: &[u8]) -> Vec<u8> {
    let unrun = answer.is_refusal();
    let echo = Some(id).filter(|id| answer.named && !id.is_empty());
    let fields = fields(echo, !unrun, unrun);
    let body = if unrun { &[] } else { body };
    let length = body.len();
    let head =
        format!("HTTP/1.1 {} Status\r\n{fields}content-length: {length}\r\n\r\n", answer.status);
    [head.as_bytes(), body].concat()
}

/// Returns an event of the answer to a request.
pub(super) fn event(number: u32, server: &str, id: &str) -> String {
    format!("id: {number}\ndata: from {server} for {id}\n\n")
}

/// Returns all events of the answer to a request.
pub(super) fn all_events(server: &str, id: &str) -> String {
    (1..=STREAM_EVENTS).map(|number| event(number, server, id)).collect()
}

fn fields(id: Option<&str>, signed: bool, unrun: bool) -> String {
    let mut fields = String::new();
    if let Some(id) = id {
        fields.push_str(&format!("x-limpetmux-request-id: {id}\r\n"));
    }
    if signed {
        fields.push_str("x-limpetmux-response-signature: signed\r\n");
    }
    if unrun {
        fields.push_str("x-limpetmux-not-executed: 1\r\n");
    }
    fields
}
