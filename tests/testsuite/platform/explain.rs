//! The events of one request are listed by time, whatever else the logs contain.

use limpetmux::ops::explain::RequestLog;

const ENTRY: &str = r#"{"time":10.2,"level":"WARN","event":"stage_unmade","request":"1f","stage":2,"outcome":"LATE"}
{"time":10.21,"level":"WARN","event":"request_refused","request":"1f","reason":"overloaded"}
{"time":10.3,"level":"INFO","event":"request_served","request":"2a"}
not a line
"#;
const OTHER: &str =
    "edge-2 | {\"time\":10.1,\"event\":\"attempt_failed\",\"request\":\"1f\"}\n{\"cut";

fn request_log() -> RequestLog {
    let mut log = RequestLog::default();
    for (process, lines) in [("edge-1", ENTRY), ("edge-2", OTHER)] {
        log.read("1f", process, lines.as_bytes(), |_| {}).unwrap();
    }
    log
}

#[test]
fn events_of_all_processes_are_ordered_by_time() {
    let text = request_log().render();

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("edge-2  attempt_failed"), "{text}");
    assert!(lines[1].contains("+0.100 s  edge-1  stage_unmade outcome=LATE stage=2"), "{text}");
    assert!(lines[3].starts_with("ended by: edge-1  request_refused reason=overloaded"), "{text}");
}

#[test]
fn lines_that_cannot_be_read_are_counted() {
    let log = request_log();

    assert_eq!((log.lines, log.unreadable), (6, 2));
    assert!(!log.is_empty());
}
