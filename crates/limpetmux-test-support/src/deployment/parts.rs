//! Parts that the processes of a deployment are made of.

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

/// The time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// The time after which a condition is taken never to hold.
const GIVE_UP: Duration = Duration::from_secs(120);

/// Starts the control service of a node.
pub(super) fn control(node: &str, log: LogClient, kernel: &Kernel) -> Control {
    let retry_delay = Duration::from_millis(50);
    let options = ControlOptions { retry_delay, ..ControlOptions::new(node) };
    let (control, service) = prepare(kernel, log, options).unwrap();
    tokio::spawn(service.run());
    control
}

/// Returns the parts of a process that has nothing to flush.
pub(super) fn parts(kernel: &Arc<Kernel>, times: ShutdownOptions) -> ProcessParts {
    ProcessParts {
        kernel: Arc::clone(kernel),
        times,
        flush: Arc::new(|| Box::pin(async { true })),
        status: Arc::new(StatusReply::default),
        channels: Default::default(),
    }
}

/// Wraps a client of the log so that one node can be cut off from it.
pub(super) fn cuttable(log: LogClient, cut: &Arc<AtomicBool>) -> LogClient {
    let refused = || LogError::Refused { status: 503, retry_after: None };
    let (read, append) = (Arc::clone(&log.read), Arc::clone(&log.append));
    let (read_cut, append_cut) = (Arc::clone(cut), Arc::clone(cut));
    LogClient {
        read: Arc::new(move |stream, from, wait| {
            let (page, cut) = (read(stream, from, wait), Arc::clone(&read_cut));
            Box::pin(async move {
                let page = page.await;
                if cut.load(Ordering::SeqCst) { Err(refused()) } else { page }
            })
        }),
        append: Arc::new(move |stream, data| {
            if append_cut.load(Ordering::SeqCst) {
                return Box::pin(async move { Err(refused()) });
            }
            append(stream, data)
        }),
    }
}

/// Listens on a loopback port; port 0 takes any free one.
pub(super) async fn bind(port: u16) -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
/// Panics after so long a time that the test would otherwise never end.
pub async fn wait_for(condition: impl Fn() -> bool) {
    let look = async {
        while !condition() {
            tokio::time::sleep(LOOK).await;
        }
    };
    assert!(tokio::time::timeout(GIVE_UP, look).await.is_ok(), "the condition never holds");
}
