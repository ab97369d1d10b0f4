//! Answers without end, answers that arrive byte by byte, and bytes that are no answer.

use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// The bytes of a part of an endless answer.
const PART_BYTES: usize = 32 * 1024;
/// The pause between two parts, which bounds the processor time of an endless answer.
const PART_PAUSE: Duration = Duration::from_millis(10);
/// The pause between two bytes of an answer that arrives byte by byte.
const DRIP_PAUSE: Duration = Duration::from_secs(1);
/// A length that no answer has.
const WRONG_LENGTH: u64 = i64::MAX as u64;
/// Bytes that are no answer.
const JUNK: &[u8] = b"\x00\xff junk \x7f\r\n\r\n";

/// How the bytes of an answer break the protocol; endless ones follow until the caller closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadBytes {
    /// A header line without end.
    EndlessLine,
    /// Headers without number.
    EndlessHeaders,
    /// Informational answers without number.
    EndlessInterim,
    /// A body without end, length or chunks.
    EndlessBody,
    /// A body of chunks without number.
    EndlessChunks,
    /// A body without end, of a length that is wrong and huge.
    EndlessLength,
    /// An event without end.
    EndlessEvent,
    /// A head that arrives byte by byte.
    DrippedHead,
    /// A body that arrives byte by byte after its head.
    DrippedBody,
    /// Bytes that are no answer before the status line.
    JunkBefore,
    /// Bytes that are no answer after the answer.
    JunkAfter,
}

impl BadBytes {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::EndlessLine,
        Self::EndlessHeaders,
        Self::EndlessInterim,
        Self::EndlessBody,
        Self::EndlessChunks,
        Self::EndlessLength,
        Self::EndlessEvent,
        Self::DrippedHead,
        Self::DrippedBody,
        Self::JunkBefore,
        Self::JunkAfter,
    ];

    /// Returns whether the answer has a whole head and a body that is not whole in time.
    pub fn breaks_body(self) -> bool {
        use BadBytes as B;
        matches!(
            self,
            B::EndlessBody | B::EndlessChunks | B::EndlessLength | B::EndlessEvent | B::DrippedBody
        )
    }

    /// Returns what is sent before a correct answer.
    pub(super) fn before(self) -> &'static [u8] {
        if self == Self::JunkBefore { JUNK } else { &[] }
    }

    /// Returns what is sent after a correct answer.
    pub(super) fn after(self) -> &'static [u8] {
        if self == Self::JunkAfter { JUNK } else { &[] }
    }

    /// Returns whether a correct answer is sent, perhaps with bytes before or after it.
    pub fn is_junk(self) -> bool {
        matches!(self, Self::JunkBefore | Self::JunkAfter)
    }
}

/// The number of answers of a server that were endless or arrived byte by byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// All of them.
    pub total: usize,
    /// Those that still go on.
    pub active: usize,
    /// The most that went on at once.
    pub most: usize,
}

/// An answer that was endless or arrived byte by byte, and has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAnswer {
    /// The id of the request, if it has one.
    pub id: String,
    /// When it began.
    pub from: Instant,
    /// When it ended, or its caller closed.
    pub until: Instant,
}

/// The answers of a server that were endless or arrived byte by byte.
#[derive(Default)]
pub(super) struct Answers {
    /// Their number.
    pub(super) played: Played,
    /// Those that have ended.
    pub(super) ended: Vec<EndedAnswer>,
}

/// The answers of a server, which its connections share.
pub(super) type SharedAnswers = Arc<Mutex<Answers>>;

/// Locks the answers, ignoring poisoning.
pub(super) fn lock_answers(answers: &Mutex<Answers>) -> MutexGuard<'_, Answers> {
    answers.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer that counts as active until it is dropped.
struct Active {
    answers: SharedAnswers,
    id: String,
    from: Instant,
}

impl Active {
    fn start(answers: &SharedAnswers, id: &str) -> Self {
        let played = &mut lock_answers(answers).played;
        played.total += 1;
        played.active += 1;
        played.most = played.most.max(played.active);
        Self { answers: Arc::clone(answers), id: id.to_owned(), from: Instant::now() }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut answers = lock_answers(&self.answers);
        answers.played.active -= 1;
        let (id, from, until) = (std::mem::take(&mut self.id), self.from, Instant::now());
        answers.ended.push(EndedAnswer { id, from, until });
    }
}

/// Sends an answer without end, or byte by byte, until it is complete or the caller closes.
///
/// `id` is that of the request; `fields` are the headers of the correct answer without its length,
/// `body` is its body.
pub(super) async fn play(
    stream: &TcpStream,
    bytes: BadBytes,
    id: &str,
    fields: &str,
    body: &[u8],
    answers: &SharedAnswers,
) -> std::io::Result<()> {
    let _active = Active::start(answers, id);
    tokio::select! {
        sent = send(stream, bytes, fields, body) => sent,
        error = closed(stream) => Err(error),
    }
}

async fn send(
    stream: &TcpStream,
    bytes: BadBytes,
    fields: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{fields}{framing}\r\n").into_bytes();
    let whole = head(&format!("content-length: {}\r\n", body.len()));
    let started = |framing: &str| [&head(framing), body].concat();
    let chunks = [head("transfer-encoding: chunked\r\n"), chunk(body)].concat();
    let events = filler("data: more\n\n");
    let wrong_length = format!("content-length: {WRONG_LENGTH}\r\n");
    let (first, part) = match bytes {
        BadBytes::EndlessLine => (b"HTTP/1.1 200 OK\r\nx-line: ".to_vec(), filler("x")),
        BadBytes::EndlessHeaders => (b"HTTP/1.1 200 OK\r\n".to_vec(), filler("x-more: x\r\n")),
        BadBytes::EndlessInterim => (Vec::new(), filler("HTTP/1.1 103 Early Hints\r\n\r\n")),
        BadBytes::EndlessBody => (started("connection: close\r\n"), events),
        BadBytes::EndlessLength => (started(&wrong_length), events),
        BadBytes::EndlessChunks => (chunks, chunk(&events)),
        BadBytes::EndlessEvent => ([chunks, chunk(b"id: 2\ndata: ")].concat(), chunk(&filler("x"))),
        BadBytes::DrippedHead => return drip(stream, &[&whole, body].concat()).await,
        BadBytes::DrippedBody => {
            write(stream, &whole).await?;
            return drip(stream, body).await;
        }
        BadBytes::JunkBefore | BadBytes::JunkAfter => {
            return write(stream, &[bytes.before(), &whole, body, bytes.after()].concat()).await;
        }
    };
    write(stream, &first).await?;
    loop {
        write(stream, &part).await?;
        sleep(PART_PAUSE).await;
    }
}

/// Returns whole repetitions of a text.
fn filler(text: &str) -> Vec<u8> {
    text.repeat(PART_BYTES / text.len()).into_bytes()
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

async fn drip(stream: &TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for byte in bytes {
        write(stream, &[*byte]).await?;
        sleep(DRIP_PAUSE).await;
    }
    Ok(())
}

/// Writes bytes through a shared stream, so that its end can be awaited meanwhile.
async fn write(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Waits until the caller closes, or sends what it may not send before its answer.
async fn closed(stream: &TcpStream) -> std::io::Error {
    match stream.peek(&mut [0]).await {
        Ok(0) => ErrorKind::UnexpectedEof.into(),
        Ok(_) => ErrorKind::InvalidData.into(),
        Err(error) => error,
    }
}
