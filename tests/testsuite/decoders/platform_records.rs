//! Records, answers and settings of the users' platform.

use super::check;
use super::damage::{draw, draw_text};
use hyper::StatusCode;
use limpetmux::core::catalog::Catalog;
use limpetmux::core::chain;
use limpetmux::core::listing::Listing;
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::core::pieces::CallEnd;
use limpetmux::core::time::Moment;
use limpetmux::platform::store::Record;
use limpetmux::platform::{boot, orders, servers, stage};
use std::time::Instant;

pub(super) const CONFIG: &str = r#"{"version": 7, "routes": [
  {"name": "r", "host": "a.example", "path-prefix": "/a/", "kind": "non_idempotent",
   "timeout-ms": 3000, "target-latency-ms": 900.5, "priority": 2, "service": "plain",
   "max-attempts": 3, "public": false, "resumable": true,
   "stages": [{"service": "first", "size-bytes": 4000}, {"service": "first", "after": [0]},
              {"service": "first", "after": [0, 1], "size-bytes": 1e6}]},
  {"name": "s", "host": "a.example", "path-prefix": "/", "kind": "idempotent",
   "timeout-ms": 3000, "target-latency-ms": 900,
   "weighted-clusters": [{"service": "plain", "weight": 9}, {"service": "first", "weight": 1}]}],
 "services": [
  {"name": "plain", "max-connections": 8, "cold-start-s": 4.5, "cold-per-s": 2,
   "engine": {"slots": 4, "kv-capacity": 90000}},
  {"name": "first", "max-connections": 8, "cold-start-s": 4.5, "cold-per-s": 2,
   "pieces": {"slots": 2, "batch": 8, "call-ms": 30, "item-ms": 4.5, "headroom-mb": 64,
              "handle-s": 20}}],
 "limits": {"max-header-bytes": 8192, "max-body-bytes": 65536, "header-timeout-ms": 900,
            "idle-timeout-ms": 5000},
 "tenants": [{"name": "w", "api-keys": ["k1", "k2"], "priority": 3}]}"#;

pub(super) const SERVER: &str = r#"{"service": "plain", "address": "10.1.0.9:80", "zone": "mnl-a",
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

/// Returns a position in the first era of the store.
fn position(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra(0), offset)
}

fn record(key: &str, value: &[u8]) -> Record {
    Record { position: position(3), key: key.to_owned(), value: value.to_vec().into() }
}

/// Makes the computations on a configuration that a request makes.
fn use_catalog(catalog: &Catalog) {
    for (_, route) in catalog.routes.iter() {
        let pieces = vec![10_000; route.stages.len()];
        let zones = vec![String::new(); route.stages.len()];
        let times = chain::stage_times(catalog, route, &pieces);
        chain::downstream_times(route, &times);
        chain::start_times(route, &times);
        chain::chain_time(route, &times, &times);
        for stage in 0..route.stages.len() {
            chain::preferred_zone(route, stage, &pieces, &zones, "");
            chain::dependent_count(route, stage);
            chain::finished_inputs(route, &vec![None; route.stages.len()], stage);
        }
        let services = route.stages.iter().filter_map(|s| catalog.pool(&s.service)?.pieces);
        services.for_each(|p| assert!(p.result_ttl + p.call_time >= p.call_time));
        let _ = catalog.route(&route.host, &format!("{}x", route.prefix));
    }
}

/// Decodes a configuration and uses it if it is valid.
pub(super) fn check_config(value: &[u8]) {
    if let Ok(declared) = orders::decode_config(value, position(3)) {
        assert_eq!(&*declared.raw, value);
        use_catalog(&declared.catalog);
    }
}

#[test]
fn orders_are_decoded_or_refused_and_can_be_used() {
    use_catalog(&orders::decode_config(CONFIG.as_bytes(), position(3)).unwrap().catalog);
    check("operator's records", |u| {
        let value = draw(u, CONFIG.as_bytes())?;
        let key = if u.ratio(1, 8)? { draw_text(u, "evacuate/mnl-a")? } else { "config".into() };

        let _ = orders::decode(&record(&key, &value));

        check_config(&value);
        Ok(())
    });
}

/// Decodes the record of a backend server and puts it into a list that ends at an offset.
pub(super) fn check_server(end: u64, id: &str, value: &[u8]) {
    let (now, mut listing) = (Moment::MAX, Listing::default());

    let (entry, error) = servers::decode(record(id, value));

    assert_eq!(entry.server.is_some(), error.is_none() && !value.is_empty());
    assert_eq!(&*entry.raw, value);
    let cold = entry.server.as_ref().map(|s| s.cold);
    assert_eq!(now + cold.unwrap_or_default(), Moment::MAX);
    listing.apply(now, position(end), vec![entry]);
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
