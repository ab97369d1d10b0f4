//! A process shuts down in a fixed order and interrupts no request that ends before the deadline.

use futures::FutureExt;
use limpetmux::core::shutdown::{DrainReport, Phase, Shutdown, ShutdownAction, ShutdownOptions};
use limpetmux::core::time::Moment;
use limpetmux::kernel::Kernel;
use limpetmux::shutdown::{ShutdownHooks, register};
use limpetmux_test_support::check_cases;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const OPTIONS: ShutdownOptions = ShutdownOptions {
    notice: Duration::from_secs(3),
    deadline: Duration::from_secs(30),
    flush: Duration::from_secs(5),
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn goes_unready_before_it_refuses_and_flushes_after_last_request() {
    let mut shutdown = Shutdown::new(OPTIONS);

    let begin = shutdown.begin(at(0), None);
    let early = shutdown.tick(at(2_999), 4);
    let notice = shutdown.tick(at(3_000), 4);
    let busy = shutdown.tick(at(9_000), 1);
    let idle = shutdown.tick(at(10_000), 0);
    let end = shutdown.flush_ended(at(10_500), true);

    assert_eq!(begin, [ShutdownAction::Unready]);
    assert_eq!((early, busy), (vec![], vec![]));
    assert_eq!(notice, [ShutdownAction::Refuse]);
    assert_eq!(idle, [ShutdownAction::Flush]);
    let report =
        DrainReport { took_us: 10_500_000, left_us: 19_500_000, unfinished: 0, flushed: true };
    assert_eq!(end, [ShutdownAction::Exit(report)]);
}

#[test]
fn reports_what_is_unfinished_at_deadline() {
    let mut shutdown = Shutdown::new(OPTIONS);
    shutdown.begin(at(0), Some(Duration::from_secs(1)));
    shutdown.tick(at(1_000), 7);

    let flush = shutdown.tick(at(1_010), 7);
    let end = shutdown.tick(at(6_010), 7);

    assert_eq!(flush, [ShutdownAction::Answer, ShutdownAction::Flush]);
    let report = DrainReport { took_us: 6_010_000, left_us: 0, unfinished: 7, flushed: false };
    assert_eq!(end, [ShutdownAction::Exit(report)]);
}

#[test]
fn never_flushes_before_the_last_request_or_the_deadline() {
    const CASES: u64 = 500;

    check_cases(CASES, |u| {
        let mut shutdown = Shutdown::new(OPTIONS);
        let (mut now, mut refused, mut actions) = (0, false, Vec::new());
        let mut deadline = u64::MAX;
        for _ in 0..u.int_in_range(1..=200)? {
            now += u.int_in_range(0..=2_000)?;
            let running = u.int_in_range(0..=3)?;
            let step = match u.int_in_range(0..=9)? {
                0 => {
                    let ms = u.int_in_range(0..=40_000)?;
                    deadline = deadline.min(now + ms);
                    shutdown.begin(at(now), Some(Duration::from_millis(ms)))
                }
                1 => shutdown.flush_ended(at(now), true),
                _ => shutdown.tick(at(now), running),
            };
            refused |= step.contains(&ShutdownAction::Refuse);
            if step.contains(&ShutdownAction::Flush) {
                assert!(refused, "flushes while it accepts requests");
                assert!(running == 0 || now >= deadline, "flushes while {running} requests run");
            }
            actions.extend(step);
        }
        let count =
            |wanted: fn(&ShutdownAction) -> bool| actions.iter().filter(|a| wanted(a)).count();
        assert!(count(|a| *a == ShutdownAction::Refuse) <= 1);
        assert!(count(|a| *a == ShutdownAction::Flush) <= 1);
        assert!(count(|a| matches!(a, ShutdownAction::Exit(_))) <= 1);
        Ok(())
    });
}

fn hooks(running: &Arc<AtomicU32>, steps: &Arc<Mutex<Vec<&'static str>>>) -> ShutdownHooks {
    let note = |step: &'static str| {
        let steps = Arc::clone(steps);
        move || steps.lock().unwrap().push(step)
    };
    let (running, flush) = (Arc::clone(running), note("flush"));
    ShutdownHooks {
        unready: Arc::new(note("unready")),
        refuse: Arc::new(note("refuse")),
        answer: Arc::new(note("answer")),
        running: Arc::new(move || running.load(Ordering::SeqCst)),
        flush: Arc::new(move || {
            flush();
            async { true }.boxed()
        }),
    }
}

#[tokio::test(start_paused = true)]
async fn service_drains_on_signal_and_on_command_alike() {
    for by_signal in [true, false] {
        let (running, steps) = (Arc::new(AtomicU32::new(1)), Arc::default());
        let kernel = Kernel::new();
        let (service, port) = register(&kernel, OPTIONS, hooks(&running, &steps)).unwrap();
        let (signal, signalled) = tokio::sync::oneshot::channel::<()>();
        let main = tokio::spawn(service.run(signalled.map(drop)));
        let command = tokio::spawn({
            let port = port.clone();
            async move {
                if by_signal {
                    signal.send(()).unwrap();
                    return None;
                }
                let report = port.drain(None).await.unwrap();
                drop(signal);
                Some(report)
            }
        });

        tokio::time::sleep(Duration::from_secs(10)).await;
        let phase = port.phase();
        running.store(0, Ordering::SeqCst);
        let report = main.await.unwrap();

        assert_eq!(phase, Phase::Draining);
        assert_eq!(*steps.lock().unwrap(), ["unready", "refuse", "flush"]);
        assert!(report.is_clean() && report.took_us >= 10_000_000, "{report:?}");
        assert_eq!(command.await.unwrap(), (!by_signal).then_some(report));
    }
}
