//! Parses and checks the heads of callers' requests.

use super::names;
use crate::core::engines::PromptPart;
use crate::core::prompt_part::PartId;
use crate::util::hash::hash_parts;
use hyper::header::{
    AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use std::time::Duration;
use strum::IntoStaticStr;

/// The authorization scheme in front of a caller's key.
const KEY_SCHEME: &str = "Bearer ";
/// The most pieces of one stage.
const MAX_PIECES: u32 = 10_000;
/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub id: String,
    /// The host that the request names, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The path and query as the caller wrote them.
    pub target: String,
    /// The method.
    pub method: Method,
    /// How long the caller waits.
    pub deadline: Duration,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The parts of the prompt as the caller wrote them, which [`Prompt::decode`] reads.
    pub prompt: Option<HeaderValue>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// The key from which the first stages compute their pieces.
    pub piece_key: String,
    /// Whether the body uses chunked transfer encoding.
    pub chunked: bool,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
}

/// Why the head of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BadRequest {
    /// There is no id, or more than one.
    #[error("the request has no usable id")]
    Id,
    /// There is no host, or more than one.
    #[error("the request has no usable host")]
    Host,
    /// The length of the body is given more than once or in two ways.
    #[error("the length of the body is ambiguous")]
    Length,
    /// The deadline is not a number of milliseconds.
    #[error("the deadline is not a number of milliseconds")]
    Deadline,
    /// The numbers of pieces are not valid.
    #[error("the numbers of pieces cannot be read")]
    Pieces,
    /// The path is not absolute.
    #[error("the path is not absolute")]
    Path,
}

/// The parts of a prompt.
///
/// They may take many times the bytes of their text, so they are read only once a request is whole, and
/// their memory is claimed before. See `docs/design/memory.md`.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// All parts in order; the last one is not shared with other prompts.
    pub parts: Vec<PromptPart>,
    /// The names of the parts that other prompts may share: all but the last one.
    pub shared: Vec<PartId>,
}

impl Prompt {
    /// Reads the parts of a prompt that a head states; there are none without a header.
    pub fn decode(head: &RequestHead) -> Self {
        let Some(text) = head.prompt_text() else { return Self::default() };
        Self { parts: prompt_parts(text), shared: shared_parts(text) }
    }

    /// Returns the bytes that the parts of a prompt take once they are read.
    pub fn bytes(head: &RequestHead) -> usize {
        let count = head.prompt_text().map_or(0, count_parts);
        count * (size_of::<PromptPart>() + size_of::<PartId>())
    }

    /// Returns the hash of the longest prefix of the prompt that other requests share.
    pub fn prefix(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.key)
    }
}

impl RequestHead {
    fn prompt_text(&self) -> Option<&str> {
        self.prompt.as_ref()?.to_str().ok().map(str::trim)
    }
}

impl BadRequest {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        StatusCode::BAD_REQUEST
    }
}

/// Parses the head of a request.
///
/// # Errors
/// Returns [`BadRequest`] if a header is missing, invalid or ambiguous.
pub fn decode(parts: &Parts) -> Result<RequestHead, BadRequest> {
    let headers = &parts.headers;
    check_length(headers)?;
    let id = single(headers, &names::REQUEST_ID).filter(|v| !v.is_empty()).ok_or(BadRequest::Id)?;
    let host = single(headers, &HOST).ok_or(BadRequest::Host)?;
    let target = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    if !target.starts_with('/') {
        return Err(BadRequest::Path);
    }
    let prompt = single_value(headers, &names::PROMPT_PARTS).cloned();
    let pieces = match headers.contains_key(&names::PIECES) {
        true => pieces(single(headers, &names::PIECES))?,
        false => Vec::new(),
    };
    Ok(RequestHead {
        id: id.to_owned(),
        host: host.split(':').next().unwrap_or_default().to_owned(),
        path: parts.uri.path().to_owned(),
        target: target.to_owned(),
        method: parts.method.clone(),
        deadline: deadline(headers)?,
        api_key: key(headers),
        prompt,
        prompt_tokens: single(headers, &names::TOKENS).map_or(0, prompt_tokens),
        pieces,
        piece_key: single(headers, &names::PIECE_KEY).unwrap_or_default().to_owned(),
        chunked: headers.contains_key(TRANSFER_ENCODING),
        headers: forwarded(headers),
    })
}

fn check_length(headers: &HeaderMap) -> Result<(), BadRequest> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    if lengths > 1 || (lengths == 1 && chunked) { Err(BadRequest::Length) } else { Ok(()) }
}

/// Returns the text of a header that occurs exactly once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    single_value(headers, name)?.to_str().ok().map(str::trim)
}

fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

fn key(headers: &HeaderMap) -> Option<String> {
    single(headers, &AUTHORIZATION)?.strip_prefix(KEY_SCHEME).map(|k| k.trim().to_owned())
}

fn deadline(headers: &HeaderMap) -> Result<Duration, BadRequest> {
    if !headers.contains_key(&names::DEADLINE) {
        return Ok(DEFAULT_DEADLINE);
    }
    let text = single(headers, &names::DEADLINE).ok_or(BadRequest::Deadline)?;
    let ms: f64 = text.parse().map_err(|_| BadRequest::Deadline)?;
    Duration::try_from_secs_f64(ms / 1_000.0).map_err(|_| BadRequest::Deadline)
}

fn count_parts(text: &str) -> usize {
    text.split(',').count()
}

/// Parses the parts of a prompt; the key of each is a hash of the ids of all parts up to it.
fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let mut parts: Vec<PromptPart> = Vec::with_capacity(count_parts(text));
    for part in text.split(',') {
        let (id, tokens) = part.trim().split_once(':').unwrap_or((part.trim(), ""));
        let previous = parts.last().map_or(0, |p| p.key);
        let key = hash_parts(&[&previous.to_le_bytes(), id.as_bytes()]);
        parts.push(PromptPart { key, tokens: tokens.parse().unwrap_or_default() });
    }
    parts
}

/// Parses the names of all parts of a prompt but the last.
fn shared_parts(text: &str) -> Vec<PartId> {
    let (shared, _) = text.rsplit_once(',').unwrap_or_default();
    let name = |part: &str| part.split(':').next().unwrap_or_default().trim().to_owned();
    let names = shared.split(',').map(name).filter(|name| !name.is_empty());
    let mut parts = Vec::with_capacity(count_parts(shared));
    parts.extend(names.map(|name| PartId::named(&name)));
    parts
}

fn prompt_tokens(text: &str) -> u32 {
    text.split(',').next().and_then(|t| t.trim().parse().ok()).unwrap_or_default()
}

fn pieces(text: Option<&str>) -> Result<Vec<u32>, BadRequest> {
    let text = text.ok_or(BadRequest::Pieces)?;
    let number = |t: &str| t.trim().parse().ok().filter(|n| *n <= MAX_PIECES);
    text.split(',').map(number).collect::<Option<Vec<u32>>>().ok_or(BadRequest::Pieces)
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(headers);
    let kept = headers.iter().filter(|(n, _)| {
        !names::is_withheld(n) && !options.iter().any(|o| o.eq_ignore_ascii_case(n.as_str()))
    });
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in kept {
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// Returns the headers that the `Connection` header declares as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(hyper::header::CONNECTION).iter();
    let texts = values.filter_map(|v| v.to_str().ok());
    texts.flat_map(|t| t.split(',')).map(|t| t.trim().to_owned()).collect()
}
