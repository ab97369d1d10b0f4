//! Parts of which the nodes of a deployment are built.

use limpetmux::adapters::log::{LogClient, LogError};
use limpetmux::control::{Control, ControlOptions, prepare};
use limpetmux::core::shutdown::ShutdownOptions;
use limpetmux::kernel::Kernel;
use limpetmux::node::process::ProcessParts;
use limpetmux::wire::admin::StatusReply;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which waiting for a condition fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts the control service of a node.
pub(super) fn control(node: &str, log: LogClient, kernel: &Kernel) -> Control {
    let retry_delay = Duration::from_millis(50);
    let options = ControlOptions { retry_delay, ..ControlOptions::new(node) };
    let (control, service) = prepare(kernel, log, options).unwrap();
    tokio::spawn(service.run());
    control
}

/// Returns the parts of a process without anything to flush.
pub(super) fn parts(kernel: &Arc<Kernel>, times: ShutdownOptions) -> ProcessParts {
    ProcessParts {
        kernel: Arc::clone(kernel),
        times,
        flush: Arc::new(|| Box::pin(async { true })),
        status: Arc::new(StatusReply::default),
        channels: Default::default(),
    }
}

/// Wraps a log client so that one node can be cut off from the log.
pub(super) fn cuttable(log: LogClient, is_cut: &Arc<AtomicBool>) -> LogClient {
    let refused = || LogError::Refused { status: 503, retry_after: None };
    let (read, append) = (Arc::clone(&log.read), Arc::clone(&log.append));
    let (is_read_cut, is_append_cut) = (Arc::clone(is_cut), Arc::clone(is_cut));
    LogClient {
        read: Arc::new(move |stream, from, wait| {
            let (page, is_cut) = (read(stream, from, wait), Arc::clone(&is_read_cut));
            Box::pin(async move {
                let page = page.await;
                if is_cut.load(Ordering::SeqCst) { Err(refused()) } else { page }
            })
        }),
        append: Arc::new(move |stream, data| {
            if is_append_cut.load(Ordering::SeqCst) {
                return Box::pin(async move { Err(refused()) });
            }
            append(stream, data)
        }),
    }
}

/// Listens on a loopback port; 0 selects any free port.
pub(super) async fn bind(port: u16) -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
/// Panics after a timeout, so that the test ends.
pub async fn wait_for(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(CONDITION_TIMEOUT, poll).await.is_ok(),
        "the condition does not hold after {CONDITION_TIMEOUT:?}"
    );
}
