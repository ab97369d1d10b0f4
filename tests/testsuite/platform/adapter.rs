//! The adapter decodes the platform's settings, requests, answers and records, and reports invalid
//! ones.

use super::pos;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use limpetmux::core::answer_proof::AnswerOwner;
use limpetmux::core::pieces::{CallEnd, CallItem, PieceError, PieceOutcome, Source};
use limpetmux::core::prompt_part::PartId;
use limpetmux::core::server_limits::{LimitNotice, RequestRate};
use limpetmux::core::server_notices::MAX_HOLD;
use limpetmux::platform::boot::{self, BootError};
use limpetmux::platform::caller::{BadRequest, Prompt, decode};
use limpetmux::platform::store::Record;
use limpetmux::platform::{server, servers, stage};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

pub(super) const SETTINGS: &str = r#"{
  "node-id": "edge-mnl-a-1", "role": "entry", "machine-class": "edge",
  "serves": ["edge", "control_plane"], "ip": "10.1.0.41", "zone": "mnl-a", "region": "ph-luzon",
  "listen": {"front": "10.1.0.41:8625", "readiness": "10.1.0.41:8621"},
  "internal-ports": [7740, 7755], "seeds": ["10.2.0.25:8628"], "a-new-field": {"x": 1},
  "limits": {"memory-mb": 260, "max-fds": 4100},
  "bounds": {"drain-ms": 2000, "grace-s": 8, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
             "retry-budget-slack": 56, "budget-window-s": 10},
  "platform": {"address": "10.200.1.7:8624"}
}"#;

/// Writes settings to a temporary file of this test and loads them.
fn load(name: &str, text: &str) -> Result<limpetmux::serve::settings::NodeSettings, BootError> {
    let path: PathBuf =
        std::env::temp_dir().join(format!("limpetmux-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let result = boot::load(&path);
    std::fs::remove_file(&path).unwrap();
    result
}

fn head(headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().method("POST").uri("/a/b?x=1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

/// Returns a valid request head with additional headers.
fn valid_head(extra: &[(&str, &str)]) -> Parts {
    let mut headers = vec![("host", "a.example"), ("x-limpetmux-request-id", "1f")];
    headers.extend_from_slice(extra);
    head(&headers)
}

#[test]
fn settings_are_read_with_units_and_unknown_fields_are_ignored() {
    let settings = load("good", SETTINGS).unwrap();

    assert_eq!(settings.caller_addr, Some("10.1.0.41:8625".parse().unwrap()));
    assert_eq!(settings.node_addr, "10.1.0.41:7740".parse().unwrap());
    assert_eq!(settings.seeds, ["10.2.0.25:7740".parse().unwrap()]);
    assert_eq!(settings.bounds.grace_period, Duration::from_secs(8));
    assert_eq!(settings.bounds.revoke_bound, Duration::from_secs(5));
}

#[test]
fn settings_of_a_sidecar_have_no_caller_address() {
    let settings = load("side", &SETTINGS.replace(r#""edge", "control_plane""#, r#""side""#));

    assert_eq!(settings.unwrap().caller_addr, None);
}

#[test]
fn error_of_invalid_settings_names_file_and_field() {
    let cases = [
        (SETTINGS.replace(r#""node-id": "edge-mnl-a-1""#, r#""node-id": """#), "node-id"),
        (SETTINGS.replace("[7740, 7755]", "[7755, 7740]"), "internal-ports"),
        (SETTINGS.replace(r#""front": "10.1.0.41:8625", "#, ""), "listen.front"),
        (SETTINGS.replace(r#""revoke-ms": 5000"#, r#""revoke-ms": 0"#), "bounds.revoke-ms"),
    ];

    for (text, field) in cases {
        let error = load("broken", &text).unwrap_err().to_string();
        assert!(error.contains(field) && error.contains("limpetmux-"), "{field}: {error}");
    }
    let missing = load("missing", &SETTINGS.replace(r#""zone": "mnl-a","#, "")).unwrap_err();
    assert!(format!("{missing:?}").contains("zone"), "{missing:?}");
}

#[test]
fn request_head_is_decoded_into_fields() {
    let request = decode(&valid_head(&[
        ("x-limpetmux-deadline-ms", "6000"),
        ("x-limpetmux-token-usage", "1460,80"),
        ("x-limpetmux-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("x-limpetmux-pieces", "2,0,8"),
        ("authorization", "Bearer k1"),
    ]))
    .unwrap();

    assert_eq!((request.id.as_str(), request.target.as_str()), ("1f", "/a/b?x=1"));
    assert_eq!(request.deadline, Duration::from_secs(6));
    assert_eq!((request.prompt_tokens, request.pieces.clone()), (1_460, vec![2, 0, 8]));
    assert_eq!(request.api_key.as_deref(), Some("k1"));
    // Prompts that differ only in their last part have the same prefix.
    let similar = valid_head(&[("x-limpetmux-prompt-prefix", "5c1e07a2:800,91bd3f06:410,aaaa:9")]);
    let prompt = Prompt::decode(&request);
    assert_eq!(prompt.prefix(), Prompt::decode(&decode(&similar).unwrap()).prefix());
    assert!(prompt.prefix().is_some());
    let tokens: Vec<u32> = prompt.parts.iter().map(|p| p.tokens).collect();
    assert_eq!(tokens, [800, 410, 250]);
}

#[test]
fn headers_that_only_the_system_sets_are_not_forwarded() {
    let forged = [
        "x-limpetmux-tenant-id",
        "x-limpetmux-expected-instance",
        "x-limpetmux-hold",
        "x-limpetmux-pin-ms",
        "x-limpetmux-kv-backup",
        "kv-from",
        "x-limpetmux-inputs",
        "x-limpetmux-request-priority",
        "authorization",
        "connection",
        "x-hop",
    ];
    let mut headers: Vec<(&str, &str)> = forged.iter().map(|n| (*n, "forged")).collect();
    headers.retain(|(n, _)| *n != "connection");
    headers.extend([("connection", "x-hop"), ("x-kept", "yes")]);

    let request = decode(&valid_head(&headers)).unwrap();

    let forwarded: Vec<&str> =
        forged.into_iter().filter(|n| request.headers.contains_key(*n)).collect();
    assert_eq!(forwarded, Vec::<&str>::new());
    assert!(request.headers.contains_key("x-kept"));
}

#[test]
fn ambiguous_requests_are_rejected() {
    let repeated = [("content-length", "5"), ("content-length", "5")];
    let both = [("content-length", "5"), ("transfer-encoding", "chunked")];
    let error = |parts: Parts| decode(&parts).err();

    assert_eq!(error(valid_head(&repeated)), Some(BadRequest::Length));
    assert_eq!(error(valid_head(&both)), Some(BadRequest::Length));
    assert_eq!(error(head(&[("host", "a")])), Some(BadRequest::Id));
    assert_eq!(error(head(&[("x-limpetmux-request-id", "1")])), Some(BadRequest::Host));
    assert_eq!(error(valid_head(&[("x-limpetmux-pieces", "2,x")])), Some(BadRequest::Pieces));
    assert_eq!(
        error(valid_head(&[("x-limpetmux-pieces", "2,99999999")])),
        Some(BadRequest::Pieces)
    );
    assert_eq!(
        error(valid_head(&[("x-limpetmux-deadline-ms", "soon")])),
        Some(BadRequest::Deadline)
    );
    assert_eq!(error(valid_head(&[("x-limpetmux-deadline-ms", "-1")])), Some(BadRequest::Deadline));
}

#[test]
fn answer_to_another_request_is_detected() {
    let answer = |id: &str| {
        hyper::Response::builder()
            .header("x-limpetmux-request-id", id)
            .header("x-limpetmux-response-signature", "s")
            .header("keep-alive", "timeout=4, max=9")
            .body(())
            .unwrap()
    };

    let own = server::head("1f", &answer("1f"));
    let other = server::head("1f", &answer("2a"));

    assert!(own.owner == AnswerOwner::Sent && own.signed && !own.not_run);
    assert_eq!(own.keep_alive, Some(Duration::from_secs(4)));
    assert_eq!(other.owner, AnswerOwner::Another);
}

#[test]
fn invalid_server_record_is_decoded_without_a_server() {
    let record = |value: &str| Record {
        position: pos(3),
        key: "i-1".to_owned(),
        value: value.to_owned().into(),
    };
    let good = r#"{"service":"s","address":"10.1.0.9:80","zone":"z","state":"draining","born":7}"#;

    let (entry, error) = servers::decode(record(good));
    assert!(error.is_none());
    assert!(entry.server.is_some_and(|s| s.draining && s.started_ms == 7));
    for bad in [
        r#"{"service":"s"}"#,
        "\u{1}\u{2}",
        r#"{"service":"s","address":"x","zone":"z","state":"ready"}"#,
        r#"{"service":"s","address":"10.1.0.9:80","zone":"z","state":"resting"}"#,
    ] {
        let (entry, error) = servers::decode(record(bad));
        assert!(entry.server.is_none() && error.is_some(), "{bad}");
    }
}

#[test]
fn answers_to_calls_for_pieces_are_decoded_item_by_item() {
    let body = br#"{"items":[{"handle":"10.1.0.9:80/a"},{"reason":"room"},{"reason":"gone"},{"reason":"odd"},{}]}"#;
    let ok = hyper::StatusCode::OK;

    let end = stage::decode(ok, false, body);

    let failed = |error| PieceOutcome::Failed(error);
    let expected = vec![
        PieceOutcome::Completed("10.1.0.9:80/a".into()),
        failed(PieceError::NoRoom),
        failed(PieceError::InputMissing),
        failed(PieceError::ServerFailed),
        failed(PieceError::ServerFailed),
    ];
    assert_eq!(end, CallEnd::Answered(expected));
    assert_eq!(stage::decode(ok, false, b"{"), CallEnd::Lost);
    assert_eq!(stage::decode(ok, true, b""), CallEnd::Refused);
    assert_eq!(
        stage::decode(hyper::StatusCode::MISDIRECTED_REQUEST, true, b""),
        CallEnd::WrongServer
    );
}

#[test]
fn call_for_pieces_carries_a_key_or_inputs() {
    let item = |source| CallItem {
        request: "1f".into(),
        stage: 1,
        piece: 2,
        source,
        remaining: Duration::from_millis(900),
    };
    let addr = "127.0.0.1:80".parse().unwrap();
    let items = [item(Source::Key("k".into())), item(Source::Inputs(vec!["h".into()]))];

    let request = stage::run("i-1", addr, &items).unwrap();

    assert_eq!(request.headers()["x-limpetmux-expected-instance"], "i-1");
    assert_eq!(stage::holder("10.1.0.9:80/a"), Some("10.1.0.9:80".parse().unwrap()));
    assert_eq!(stage::holder("nowhere"), None);
}

#[test]
fn shared_parts_are_named_alike_wherever_they_stand_in_a_prompt() {
    // Guards against evidence about a part that is collected under several names.
    let parse = |text: &'static str| {
        let request = Request::post("/x")
            .header("host", "a.example")
            .header("x-limpetmux-request-id", "1f")
            .header("x-limpetmux-prompt-prefix", text);
        Prompt::decode(&decode(&request.body(()).unwrap().into_parts().0).unwrap()).shared
    };

    let (first, later) = (parse("5c1e07a2:800,91bd:410,e4:250"), parse("7:1, 5c1e07a2:9,e4:250"));

    assert_eq!(first, [PartId::new(0x5c1e_07a2), PartId::new(0x91bd)]);
    assert_eq!(later, [PartId::new(7), PartId::new(0x5c1e_07a2)]);
    assert_eq!(parse("e4:250"), []);
}

#[test]
fn odd_record_of_another_writer_names_no_server() {
    // Guards against a record whose server cannot be sent to: its requests were refused as invalid, or
    // the process ended.
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let record = |id: &str, changes: &[(&str, &str)]| {
        let mut fields = BTreeMap::from([
            ("service", "\"s\""),
            ("address", "\"127.0.0.1:80\""),
            ("zone", "\"z\""),
            ("slots", "4"),
            ("state", "\"ready\""),
            ("cold-remaining-ms", "0"),
            ("born", "5"),
            ("sequence", "1"),
        ]);
        fields.extend(changes.iter().copied());
        let fields: Vec<String> = fields.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
        let value = format!("{{{}}}", fields.join(",")).into();
        Record { position: pos(3), key: id.to_owned(), value }
    };
    let is_usable = |record: Record| servers::decode(record).0.server.is_some();

    assert!(is_usable(record("i-1", &[])));
    assert!(is_usable(record("i-1", &[("a-new-field", &nested)])));
    for id in ["", "a\nb", "\u{e9}", "a b"] {
        assert!(!is_usable(record(id, &[])), "{id:?}");
    }
    for (name, value) in [
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"0.0.0.0:80\""),
        ("address", "\"224.0.0.1:80\""),
        ("address", nested.as_str()),
        ("zone", nested.as_str()),
        ("slots", "1e30"),
        ("slots", "-1"),
        ("state", "\"asleep\""),
        ("cold-remaining-ms", "1e400"),
        ("cold-remaining-ms", "-1"),
        ("born", "1e300"),
        ("born", "1.5"),
        ("sequence", "99999999999999999999999"),
    ] {
        let decoded = record("i-1", &[(name, value)]);
        assert!(!is_usable(decoded), "{name} {}", &value[..value.len().min(30)]);
    }
    servers::decode(record("i-1", &[("cold-remaining-ms", "1e300")]));
}

#[test]
fn answer_states_that_its_server_leaves_or_wants_no_requests() {
    let notice = |status: u16, headers: &[(&str, &str)]| {
        let mut answer = Response::builder().status(status);
        for (name, value) in headers {
            answer = answer.header(*name, *value);
        }
        server::head("9c41", &answer.body(()).expect("an answer")).notice
    };
    let hold = |value| notice(503, &[("Retry-After", value)]).hold;
    let leaving = [("Server-Leaving", "1")];

    assert_eq!([200, 500, 503].map(|status| notice(status, &leaving).leaving), [true; 3]);
    assert!(!notice(421, &leaving).leaving, "another server runs at the address");
    assert!(!notice(200, &[("Server-Leaving", "0")]).leaving);
    assert_eq!(hold("3"), Some(Duration::from_secs(3)));
    assert_eq!(hold(" 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(hold("1e300"), Some(MAX_HOLD));
    for value in ["", "soon", "-1", "0", "nan", "inf", "Sat, 05 Dec 2026 02:16:31 GMT"] {
        assert_eq!(hold(value), None, "{value:?}");
    }
    assert_eq!(notice(429, &[("Retry-After", "3")]).hold, None);
}

#[test]
fn answer_names_the_limit_of_its_server() {
    // Guards against a value that is no rate, or an answer of another server or request, that sets or
    // ends a limit.
    let stated = |status: u16, values: &[&str], id: &str| {
        let mut answer = Response::builder().status(status).header("x-limpetmux-request-id", id);
        for value in values {
            answer = answer.header("Server-Limit", *value);
        }
        server::head("9c41", &answer.body(()).expect("an answer")).notice.limit
    };
    let limited = |rate| RequestRate::per_second(rate).map(LimitNotice::Limited).expect("a rate");

    assert_eq!(stated(200, &["1"], "9c41"), limited(1.0));
    assert_eq!(stated(503, &[" 0.25 "], "9c41"), limited(0.25));
    assert_eq!(stated(200, &["0"], "9c41"), LimitNotice::Limited(RequestRate::MIN));
    assert_eq!(stated(200, &["1e300"], "9c41"), LimitNotice::Limited(RequestRate::MAX));
    assert_eq!(stated(200, &[], "9c41"), LimitNotice::Unlimited);
    for value in ["", "soon", "-1", "nan", "inf", "1,2", "1 2"] {
        assert_eq!(stated(200, &[value], "9c41"), LimitNotice::Unstated, "{value:?}");
    }
    assert_eq!(stated(200, &["1", "2"], "9c41"), LimitNotice::Unstated);
    assert_eq!(stated(421, &["1"], "9c41"), LimitNotice::Unstated);
    assert_eq!(stated(200, &["1"], "2a"), LimitNotice::Unstated);
    assert_eq!(stated(200, &[], "2a"), LimitNotice::Unstated);
}
