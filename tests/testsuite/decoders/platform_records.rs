//! Records, answers and settings of the users' platform.

use super::check;
use super::damage::{draw, draw_text};
use hyper::StatusCode;
use limpetmux::core::listing::Listing;
use limpetmux::core::pieces::CallEnd;
use limpetmux::core::time::Moment;
use limpetmux::platform::store::Record;
use limpetmux::platform::{boot, servers, stage};
use std::time::Instant;

const SERVER: &str = r#"{"service": "plain", "address": "10.1.0.9:80", "zone": "mnl-a",
  "slots": 4, "state": "draining", "cold-remaining-ms": 800.5, "born": 1764000000000}"#;

const PIECES: &str = r#"{"items": [{"handle": "10.1.0.9:80/a"}, {"reason": "room"},
  {"reason": "gone"}, {"reason": "late"}, {"reason": "odd", "x": [1]}, {}]}"#;

const SETTINGS: &str = r#"{
  "node-id": "edge-mnl-a-1", // a comment
  "serves": ["edge", "control_plane"], "ip": "10.1.0.41", "zone": "mnl-a",
  "listen": {"front": "10.1.0.41:8625", "readiness": "10.1.0.41:8621"},
  "internal-ports": [7740, 7755], "seeds": ["10.2.0.25:8628"], "a-new-field": {"x": 1},
  "limits": {"memory-mb": 260, "max-fds": 4100},
  "bounds": {"drain-ms": 2000, "grace-s": 8, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
             "retry-budget-slack": 56, "budget-window-s": 10},
  "platform": {"address": "10.200.1.7:8624"}
}"#;

fn record(key: &str, value: &[u8]) -> Record {
    Record { offset: 3, key: key.to_owned(), value: value.to_vec().into() }
}

/// Decodes the record of a backend server and puts it into a list that ends at an offset.
pub(super) fn check_server(end: u64, id: &str, value: &[u8]) {
    let (now, mut listing) = (Moment::MAX, Listing::default());

    let (entry, error) = servers::decode(record(id, value));

    assert_eq!(entry.server.is_some(), error.is_none() && !value.is_empty());
    assert_eq!(&*entry.raw, value);
    let cold = entry.server.as_ref().map(|s| s.cold);
    assert_eq!(now + cold.unwrap_or_default(), Moment::MAX);
    listing.apply(now, end, vec![entry]);
    listing.expire(now);
}

#[test]
fn records_of_backend_servers_are_decoded_or_listed_without_a_server() {
    assert!(servers::decode(record("i-1", SERVER.as_bytes())).1.is_none());
    check("records of backend servers", |u| {
        check_server(u.arbitrary()?, &draw_text(u, "i-1")?, &draw(u, SERVER.as_bytes())?);
        Ok(())
    });
}

/// Decodes the answer to a call for pieces.
pub(super) fn check_pieces(status: StatusCode, not_run: bool, body: &[u8]) {
    if let CallEnd::Answered(items) = stage::decode(status, not_run, body) {
        assert!(items.len() * 2 <= body.len());
    }
}

#[test]
fn answers_to_calls_for_pieces_have_no_more_results_than_bytes() {
    check("answers to calls for pieces", |u| {
        let body = draw(u, PIECES.as_bytes())?;
        let status = StatusCode::from_u16(*u.choose(&[200, 200, 200, 204, 421, 503, 999])?);

        check_pieces(status.unwrap(), u.ratio(1, 8)?, &body);

        let _ = stage::holder(&draw_text(u, "10.1.0.9:80/a")?);
        Ok(())
    });
}

/// Parses settings and uses them if they are valid.
pub(super) fn check_settings(text: &str) {
    match boot::parse("boot.json", text) {
        Ok(settings) => drop(Instant::now() + settings.bounds.grace_period),
        Err(error) => assert!(error.to_string().contains("boot.json"), "{error}"),
    }
}

#[test]
fn settings_are_parsed_or_refused_and_can_be_used() {
    boot::parse("boot.json", SETTINGS).unwrap();
    check("settings of the platform", |u| {
        check_settings(&draw_text(u, SETTINGS)?);
        Ok(())
    });
}
