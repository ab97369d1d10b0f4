//! Named metrics, sent to a statsd server over UDP or dropped.
//!
//! A test checks that the list in `docs/METRICS.md` equals the variants of [`Metric`].
//! Sending never blocks the request path: metrics beyond a bounded queue are dropped.

use cadence::prelude::*;
use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use strum::{EnumMessage, EnumProperty, IntoStaticStr, VariantArray};

/// The prefix of all metric names.
const PREFIX: &str = "limpetmux";
/// The maximum number of metrics that wait to be sent.
const MAX_QUEUED_METRICS: usize = 16_384;

/// A metric; its doc comment is its summary in `docs/METRICS.md`.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    IntoStaticStr,
    VariantArray,
    EnumMessage,
    EnumProperty,
)]
#[strum(serialize_all = "snake_case")]
pub enum Metric {
    /// Requests that got a complete response.
    #[strum(props(kind = "counter", tags = "workspace, pipeline"))]
    RequestsAnswered,
    /// Requests rejected as invalid.
    #[strum(props(kind = "counter", tags = "none"))]
    RequestsRejected,
    /// Requests refused or failed for other reasons.
    #[strum(props(kind = "counter", tags = "code, execution"))]
    RequestsRefused,
    /// Requests refused because a queue before the service was full, by workspace.
    #[strum(props(kind = "counter", tags = "workspace, service"))]
    WorkspaceRefused,
    /// Responses of backend servers read up to their end, by framing and by how they ended.
    #[strum(props(kind = "counter", tags = "framing, end"))]
    AnswersRead,
    /// Reads from a peer that were stopped at a limit of bytes or of time.
    #[strum(props(kind = "counter", tags = "peer, bound"))]
    ReadsStopped,
    /// Writes to a peer that were stopped because it took no bytes for a time.
    #[strum(props(kind = "counter", tags = "peer"))]
    WritesStopped,
    /// Requests and answers that the memory for callers had no room for, by what it was claimed for.
    #[strum(props(kind = "counter", tags = "use"))]
    MemoryRefusals,
    /// Verdicts on parts of prompts that crash backend servers.
    #[strum(props(kind = "counter", tags = "verdict"))]
    PartVerdicts,
    /// Backend servers that leave, want no requests for a time, or change their limit on requests.
    #[strum(props(kind = "counter", tags = "notice"))]
    ServerNotices,
    /// Requests for which a limited backend server was asked for, by who decides.
    #[strum(props(kind = "counter", tags = "outcome, source"))]
    QuotaRequests,
    /// Responses of backend servers that state their load, by whether it can be read.
    #[strum(props(kind = "counter", tags = "notice"))]
    ServerLoads,
    /// Answers of backend servers during a roll-out, by version and by how they ended.
    #[strum(props(kind = "counter", tags = "service, version, outcome"))]
    RolloutAnswers,
    /// Quarantined groups of parts of prompts.
    #[strum(props(kind = "gauge", tags = "none"))]
    PartsHeld,
    /// Time to a complete response in milliseconds.
    #[strum(props(kind = "timer", tags = "workspace, pipeline"))]
    RequestTime,
    /// Time of a completed stage in milliseconds, as measured by the entry.
    #[strum(props(kind = "timer", tags = "pipeline, stage"))]
    StageTime,
    /// Cost of completed stages in millionths of the accounting unit.
    #[strum(props(kind = "counter", tags = "workspace, pipeline, stage"))]
    StageCost,
    /// Attempts at completed stages, retries and hedges included.
    #[strum(props(kind = "counter", tags = "pipeline, stage"))]
    StageAttempts,
    /// Calls that a sidecar finished, by outcome.
    #[strum(props(kind = "counter", tags = "outcome"))]
    SidecarCalls,
    /// Time a call waits in the sidecar's queue in milliseconds.
    #[strum(props(kind = "timer", tags = "none"))]
    SidecarQueueTime,
}

impl Metric {
    /// Returns the name without the prefix.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns the one-line summary.
    pub fn summary(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// Returns `counter`, `gauge` or `timer`.
    pub fn kind(self) -> &'static str {
        self.get_str("kind").unwrap_or_default()
    }

    /// Returns the names of the tags, separated by commas.
    pub fn tags(self) -> &'static str {
        self.get_str("tags").unwrap_or_default()
    }
}

/// Metrics cannot be sent.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum MetricsError {
    /// No UDP socket can be opened.
    #[error("cannot open a UDP socket for metrics")]
    Socket(#[from] std::io::Error),
    /// The address of the statsd server cannot be used.
    #[error("cannot send metrics to {address}")]
    Sink {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be used.
        #[source]
        source: cadence::MetricError,
    },
}

/// Sends metrics; cheap to clone.
#[derive(Clone)]
pub struct Metrics(Option<Arc<StatsdClient>>);

impl Metrics {
    /// Returns a client that drops all metrics.
    pub fn none() -> Self {
        Self(None)
    }

    /// Returns a client that sends metrics to a statsd server.
    ///
    /// # Errors
    /// Returns [`MetricsError`] if no socket can be set up.
    pub fn statsd(address: SocketAddr) -> Result<Self, MetricsError> {
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|source| MetricsError::Sink { address, source })?;
        let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        Ok(Self(Some(Arc::new(StatsdClient::from_sink(PREFIX, sink)))))
    }

    /// Returns a client that sends metrics to any sink, such as one that tests inspect.
    pub fn sink(
        sink: impl cadence::MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self(Some(Arc::new(StatsdClient::from_sink(PREFIX, sink))))
    }

    /// Adds to a counter.
    pub fn count(&self, metric: Metric, amount: u64, tags: &[(&str, &str)]) {
        let Some(client) = &self.0 else { return };
        let mut builder = client.count_with_tags(metric.name(), amount);
        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }
        builder.send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        if let Some(client) = &self.0 {
            client.gauge_with_tags(metric.name(), value).send();
        }
    }

    /// Records a duration in a timer.
    pub fn time(&self, metric: Metric, duration: Duration, tags: &[(&str, &str)]) {
        let Some(client) = &self.0 else { return };
        let mut builder = client.time_with_tags(metric.name(), duration);
        for (key, value) in tags {
            builder = builder.with_tag(key, value);
        }
        builder.send();
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::none()
    }
}
