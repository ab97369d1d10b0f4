//! Access of operator commands to the configuration log.
//!
//! A command folds the log like any node but stores nothing on disk. A change counts as accepted
//! only after it was read back at its offset. An append whose answer was lost is retried with the
//! same change id, which the fold accepts at most once.

use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::core::config::record::{self, Activation, Body, RecordError, Void};
use crate::core::config::{
    AuditEntry, Change, ChangeId, Fold, FoldError, LogRead, Name, RecordKind, Rejection, Replica,
    Verdict,
};
use crate::core::revision::{Offset, Revision};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of times that one change is appended.
const MAX_APPENDS: u32 = 3;
/// The time limit for reading a change back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before another read or append.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The number of records that are folded before their verdicts are copied to the trail.
const CHUNK_RECORDS: usize = 256;
/// The longest delay before another append that is accepted from the log.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
const TOO_MANY_REQUESTS: u16 = 429;

/// A command failed to read, fold or extend the configuration log.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClientError {
    /// The log did not answer a read.
    #[error("cannot read the configuration from the platform log")]
    #[diagnostic(
        code(limpetmux::config::log),
        help("this command changed nothing; try again when the log is reachable")
    )]
    Log(#[from] LogError),
    /// The log's records cannot be folded.
    #[error("cannot fold the configuration log")]
    #[diagnostic(code(limpetmux::config::fold))]
    Fold(#[from] FoldError),
    /// The log deleted old records and holds no snapshot that covers them.
    #[error("the log begins at offset {first} and holds no snapshot of the records before")]
    #[diagnostic(
        code(limpetmux::config::history),
        help("a running node writes a snapshot within a minute; try again then")
    )]
    History {
        /// The first offset that the log still holds.
        first: Offset,
    },
    /// The change is too long for one record.
    #[error("cannot encode the change")]
    #[diagnostic(code(limpetmux::config::record))]
    Record(#[from] RecordError),
}

/// The outcome of a submitted change.
#[derive(Debug)]
pub enum Outcome {
    /// The change was read back at its offset and is in force.
    Accepted {
        /// The change.
        id: ChangeId,
        /// The offset of its record in the log.
        offset: Offset,
    },
    /// The change was read back and has no effect on any node.
    Rejected {
        /// The change.
        id: ChangeId,
        /// The offset of its record in the log.
        offset: Offset,
        /// The reason why every node rejects it.
        reason: Rejection,
    },
    /// The change id was voided, so the change can no longer take effect.
    Voided {
        /// The change.
        id: ChangeId,
        /// The offset of the record that voids it.
        offset: Offset,
        /// The offset before which verdicts are no longer available.
        since: Offset,
    },
    /// The log refused the change, so nothing was appended.
    NotAppended {
        /// The change.
        id: ChangeId,
        /// The error that the log returned.
        error: LogError,
    },
    /// The change may have been appended, but was not read back in time.
    Unknown {
        /// The change.
        id: ChangeId,
    },
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Accepted { id, offset } => {
                write!(f, "accepted at offset {offset} as {} (change {id})", Revision::at(*offset))
            }
            Self::Rejected { id, offset, reason } => {
                write!(f, "rejected at offset {offset}: {reason} (change {id})")?;
                match std::error::Error::source(reason) {
                    Some(cause) => write!(f, "\ncaused by: {cause}"),
                    None => Ok(()),
                }
            }
            Self::Voided { id, offset, since } => {
                write!(f, "not applied: voided at offset {offset} (change {id})")?;
                match since.0 {
                    0 => Ok(()),
                    _ => write!(
                        f,
                        "\nunless it was accepted before offset {since}, \
                         where the verdicts are no longer available"
                    ),
                }
            }
            Self::NotAppended { id, error } => write!(f, "not applied: {error} (change {id})"),
            Self::Unknown { id } => write!(
                f,
                "unknown: the change may have been appended\nrun `limpetmux config settle {id}`"
            ),
        }
    }
}

/// Folds the configuration log for one command.
pub struct ConfigClient {
    log: LogClient,
    replica: Replica,
    trail: Vec<AuditEntry>,
}

impl ConfigClient {
    /// Folds the log up to its end.
    ///
    /// # Errors
    /// Returns [`ClientError`] if the log cannot be read or folded.
    pub async fn connect(log: LogClient) -> Result<Self, ClientError> {
        let mut client = Self { log, replica: Replica::new(), trail: Vec::new() };
        client.catch_up().await?;
        if client.replica.has_gap() {
            return Err(ClientError::History { first: client.replica.log_first() });
        }
        Ok(client)
    }

    /// Returns the folded state.
    pub fn fold(&self) -> &Fold {
        self.replica.fold()
    }

    /// Returns the verdicts on all records that the log holds, oldest first.
    ///
    /// Verdicts on deleted records are included as far as a snapshot holds them.
    pub fn trail(&self) -> &[AuditEntry] {
        &self.trail
    }

    /// Appends a change and reads it back.
    ///
    /// # Errors
    /// Returns [`ClientError`] if the change cannot be encoded or the log cannot be folded.
    pub async fn submit(&mut self, change: Change) -> Result<Outcome, ClientError> {
        let id = change.id;
        self.append(id, &Body::Change(change)).await
    }

    /// Activates a record format and reads the record back.
    ///
    /// # Errors
    /// As [`ConfigClient::submit`].
    pub async fn activate(&mut self, activation: Activation) -> Result<Outcome, ClientError> {
        self.append(activation.id, &Body::Format(activation)).await
    }

    /// Returns the verdict on a change if the log holds one, and voids the change id otherwise, so
    /// that the outcome is final.
    ///
    /// # Errors
    /// As [`ConfigClient::submit`].
    pub async fn settle(
        &mut self,
        id: ChangeId,
        author: Name,
        submitted_ms: u64,
    ) -> Result<Outcome, ClientError> {
        if let Some(entry) = self.trail.iter().find(|e| e.id == Some(id)) {
            return Ok(self.outcome(id, entry));
        }
        self.append(id, &Body::Void(Void { id, author, submitted_ms })).await
    }

    async fn append(&mut self, id: ChangeId, body: &Body) -> Result<Outcome, ClientError> {
        let data = record::encode(body, self.fold().format())?;
        let mut may_be_appended = false;
        for _ in 0..MAX_APPENDS {
            match (self.log.append)(Stream::Config, data.clone()).await {
                Ok(_) => break,
                Err(e) if e.may_have_appended() => may_be_appended = true,
                Err(LogError::Refused { status: TOO_MANY_REQUESTS, retry_after }) => {
                    let delay = retry_after.unwrap_or(RETRY_DELAY).min(MAX_RETRY_AFTER);
                    tokio::time::sleep(delay).await;
                    continue;
                }
                Err(error) if !may_be_appended => return Ok(Outcome::NotAppended { id, error }),
                Err(_) => break,
            }
            if let Some(found) = self.find_outcome(id).await? {
                return Ok(found);
            }
        }
        self.wait_for_outcome(id).await
    }

    /// Polls the log until it holds the verdict on a change or the time limit passes.
    async fn wait_for_outcome(&mut self, id: ChangeId) -> Result<Outcome, ClientError> {
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        loop {
            if let Some(found) = self.find_outcome(id).await? {
                return Ok(found);
            }
            if Instant::now() >= deadline {
                return Ok(Outcome::Unknown { id });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the outcome of a change if the log can be read and holds its verdict.
    async fn find_outcome(&mut self, id: ChangeId) -> Result<Option<Outcome>, ClientError> {
        match self.catch_up().await {
            Ok(()) | Err(ClientError::Log(_)) => {}
            Err(e) => return Err(e),
        }
        Ok(self.fold().ledger().find(id).map(|entry| self.outcome(id, entry)))
    }

    fn outcome(&self, id: ChangeId, entry: &AuditEntry) -> Outcome {
        let offset = entry.offset;
        match entry.verdict.clone() {
            Verdict::Accepted if entry.kind == RecordKind::Void => {
                let since = self.verdicts_since();
                Outcome::Voided { id, offset, since }
            }
            Verdict::Accepted => Outcome::Accepted { id, offset },
            Verdict::Rejected(reason) => Outcome::Rejected { id, offset, reason },
        }
    }

    /// Returns the offset of the first available verdict.
    fn verdicts_since(&self) -> Offset {
        let first = self.replica.log_first();
        let is_complete = first == Offset::default();
        self.trail.first().filter(|_| !is_complete).map_or(first, |e| e.offset)
    }

    async fn catch_up(&mut self) -> Result<(), ClientError> {
        loop {
            let request = self.replica.next_read();
            let page = (self.log.read)(Stream::Config, request.from, Duration::ZERO).await?;
            self.fold_page(request, &page)?;
            let is_scanned = self.replica.has_gap() && self.replica.next_read().from >= page.end;
            if self.fold().next() >= page.end || is_scanned {
                return Ok(());
            }
        }
    }

    /// Folds a page in chunks, so that every verdict is copied before the fold's ledger drops it.
    fn fold_page(&mut self, request: LogRead, page: &LogPage) -> Result<(), FoldError> {
        let bounds = (page.first, page.end);
        if page.records.is_empty() {
            self.replica.on_page(request, bounds, std::iter::empty())?;
        }
        for chunk in page.records.chunks(CHUNK_RECORDS) {
            let records = chunk.iter().map(|r| (r.offset, r.data.as_slice()));
            let progress = self.replica.on_page(request, bounds, records)?;
            let next = self.trail.last().map_or(Offset::default(), |e| e.offset.next());
            let ledger = self.replica.fold().ledger();
            self.trail.extend(ledger.iter().filter(|e| e.offset >= next).cloned());
            if progress.adopted {
                break;
            }
        }
        Ok(())
    }
}
