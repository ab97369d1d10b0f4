//! The destination of an attempt's answer: frames to the entry, or a buffer in memory.

use crate::adapters::backend::Chunk;
use crate::core::frames::AttemptKey;
use crate::core::refusal::Refusal;
use crate::util::hash::StreamHash;
use crate::wire::{convert, stage};
use bytes::Bytes;
use tokio::sync::mpsc;

/// The receiver of the frames has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the receiver of the frames has disconnected")]
pub struct Disconnected;

/// An item of the gRPC stream.
pub type FrameResult = Result<stage::Frame, tonic::Status>;

/// Numbers the frames of one attempt and keeps their count and checksum.
#[derive(Debug)]
pub struct FrameWriter {
    key: AttemptKey,
    sequence: u64,
    hash: StreamHash,
    sender: mpsc::Sender<FrameResult>,
}

impl FrameWriter {
    /// Creates a writer for one attempt.
    pub fn new(key: AttemptKey, sender: mpsc::Sender<FrameResult>) -> Self {
        Self { key, sequence: 0, hash: StreamHash::default(), sender }
    }

    /// Sends one data frame.
    ///
    /// # Errors
    /// Returns [`Disconnected`] if the entry has disconnected.
    pub async fn data(&mut self, chunk: Chunk) -> Result<(), Disconnected> {
        self.hash.update(&chunk.payload);
        let data = stage::Data { payload: chunk.payload, tokens: chunk.tokens };
        let sequence = self.sequence;
        self.sequence += 1;
        self.send(sequence, stage::frame::Kind::Data(data)).await
    }

    /// Sends the final frame of a complete answer and fills in its count and checksum.
    ///
    /// # Errors
    /// Returns [`Disconnected`] if the entry has disconnected.
    pub async fn done(&mut self, mut done: stage::Done) -> Result<(), Disconnected> {
        done.count = self.sequence;
        done.checksum = self.hash.value();
        self.send(self.sequence, stage::frame::Kind::Done(done)).await
    }

    /// Sends the final frame of a refused or failed attempt.
    ///
    /// # Errors
    /// Returns [`Disconnected`] if the entry has disconnected.
    pub async fn refused(
        &mut self,
        refusal: Refusal,
        load: stage::Load,
    ) -> Result<(), Disconnected> {
        let refused = convert::refused(refusal, Some(load));
        self.send(self.sequence, stage::frame::Kind::Refused(refused)).await
    }

    /// Waits until the entry disconnects.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    async fn send(&self, sequence: u64, kind: stage::frame::Kind) -> Result<(), Disconnected> {
        let frame = stage::Frame { id: Some(self.key.into()), sequence, kind: Some(kind) };
        self.sender.send(Ok(frame)).await.map_err(|_| Disconnected)
    }
}

/// The destination of an attempt's answer.
#[derive(Debug)]
pub enum Output {
    /// Frames to an entry; the attempt is cancelled when the entry disconnects.
    Frames(FrameWriter),
    /// A buffer, for answers that are kept even if the entry disconnects.
    Buffered(Vec<Bytes>),
}

impl Output {
    /// Writes one chunk.
    ///
    /// # Errors
    /// Returns [`Disconnected`] if the entry has disconnected.
    pub async fn deliver(&mut self, chunk: Chunk) -> Result<(), Disconnected> {
        match self {
            Self::Frames(writer) => writer.data(chunk).await,
            Self::Buffered(chunks) => {
                chunks.push(chunk.payload);
                Ok(())
            }
        }
    }

    /// Waits until the entry disconnects; never returns for a buffer.
    pub async fn closed(&self) {
        match self {
            Self::Frames(writer) => writer.closed().await,
            Self::Buffered(_) => std::future::pending().await,
        }
    }
}
