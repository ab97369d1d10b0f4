//! Limits on answers of backend servers that an operator states are checked at the start and hold.

use super::adapter::SETTINGS;
use super::endless_answers::{LONG_MS, drain};
use super::endless_server::{Asked, EndlessServers, Part, chunk, endless_servers_within};
use limpetmux::core::answer_limits::{
    AnswerLimits, LimitError, LimitName, MIN_EVENT_BYTES, StatedLimits,
};
use limpetmux::core::read_limits::HELD_ANSWER_BYTES;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Limits that differ from the defaults and from each other, in bytes.
const LIMITS: AnswerLimits = AnswerLimits { plain: 300_000, stream: 600_000, event: 20_000 };
/// The memory of a process in the tests of the check, in bytes.
const MEMORY_BYTES: u64 = 200_000_000;

/// Servers whose answers exceed the limits by far, although their ends come within the defaults.
async fn servers(body: fn() -> Vec<u8>) -> EndlessServers {
    let script = move |asked: &Asked| match asked.id.starts_with('f') {
        true => asked.served(),
        false => vec![asked.chunked_head(), Part::Once(body()), Part::Once(b"0\r\n\r\n".to_vec())],
    };
    let servers = endless_servers_within(LIMITS, script).await;
    servers.raise_timeouts().await;
    servers
}

/// Returns the bytes of an answer that were passed on, and how often the bound ended an answer.
async fn cut(servers: &EndlessServers, path: &str, bound: &str) -> (usize, u64) {
    let answer = servers.post(path, "1f", LONG_MS).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let (length, complete) = drain(answer, Duration::ZERO).await;
    assert!(!complete, "{length} bytes passed on as a whole answer");
    assert_eq!(servers.arrivals("1f"), 1);
    (length, servers.stops(bound).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_is_cut_at_the_stated_limit() {
    // Guards against a limit that is accepted and has no effect.
    let servers = servers(|| chunk(&[b'a'; 10_000]).repeat(200)).await;

    let (length, stops) = cut(&servers, "/once/x", "body").await;

    assert!(length <= LIMITS.plain, "{length}");
    assert_eq!(stops, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_that_states_more_than_the_stated_limit_fails_at_once() {
    // Guards against a limit that holds only for answers that do not state their length.
    let servers = endless_servers_within(LIMITS, |asked: &Asked| {
        let body = vec![b'a'; LIMITS.plain + usize::from(asked.id == "1f")];
        vec![Part::Once(asked.with_length(200, &body))]
    })
    .await;

    let beyond = servers.post("/once/x", "1f", 2_000).send().await.unwrap().status();
    let within = servers.post("/once/x", "2f", 2_000).send().await.unwrap();

    assert_eq!((beyond.as_u16(), within.status().as_u16()), (502, 200));
    assert_eq!(drain(within, Duration::ZERO).await, (LIMITS.plain, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_is_cut_at_the_stated_limit() {
    // Guards against a limit on streams that is accepted and has no effect.
    let servers = servers(|| {
        let event = [b"id: 1\ndata: ", &[b'x'; 1_000][..], b"\n\n"].concat();
        chunk(&event).repeat(2_000)
    })
    .await;

    let (length, stops) = cut(&servers, "/stream/x", "body").await;

    assert!(length <= LIMITS.stream, "{length}");
    assert_eq!(stops, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn event_is_cut_at_the_stated_limit() {
    // Guards against a limit on events that is accepted and has no effect.
    let servers = servers(|| {
        let event = [b"id: 1\ndata: ", &[b'x'; 100_000][..], b"\n\n"].concat();
        event.chunks(1_000).flat_map(chunk).collect()
    })
    .await;

    let (length, stops) = cut(&servers, "/stream/x", "event").await;

    assert!(length <= LIMITS.event, "{length}");
    assert_eq!(stops, 1);
}

#[test]
fn limits_that_cannot_be_used_are_errors() {
    let plain = |bytes| StatedLimits { plain: Some(bytes), ..StatedLimits::default() };
    let stream = |bytes| StatedLimits { stream: Some(bytes), ..StatedLimits::default() };
    let event = |bytes| StatedLimits { event: Some(bytes), ..StatedLimits::default() };
    let small = |name, bytes, least| LimitError::Small { name, bytes, least };
    let memory = |name, bytes| LimitError::Memory { name, bytes, memory: MEMORY_BYTES };
    let cases = [
        (plain(0), small(LimitName::Plain, 0, HELD_ANSWER_BYTES)),
        (plain(HELD_ANSWER_BYTES - 1), small(LimitName::Plain, 65_535, HELD_ANSWER_BYTES)),
        (plain(200_000_001), memory(LimitName::Plain, 200_000_001)),
        (stream(0), small(LimitName::Stream, 0, MIN_EVENT_BYTES)),
        (stream(5_000), LimitError::Event { event: 256 * 1024, stream: 5_000 }),
        (event(0), small(LimitName::Event, 0, MIN_EVENT_BYTES)),
        (event(200_000_001), memory(LimitName::Event, 200_000_001)),
    ];

    for (stated, error) in cases {
        assert_eq!(stated.check(MEMORY_BYTES), Err(error), "{error}");
    }
}

#[test]
fn limits_at_the_ends_of_their_ranges_can_be_used() {
    let least = StatedLimits {
        plain: Some(HELD_ANSWER_BYTES),
        stream: Some(MIN_EVENT_BYTES),
        event: Some(MIN_EVENT_BYTES),
    };
    let most = StatedLimits { plain: Some(200_000_000), stream: Some(usize::MAX), event: None };

    let (least, most) = (least.check(MEMORY_BYTES), most.check(MEMORY_BYTES));

    let (stream, event) = (MIN_EVENT_BYTES, MIN_EVENT_BYTES);
    assert_eq!(least, Ok(AnswerLimits { plain: HELD_ANSWER_BYTES, stream, event }));
    assert_eq!(most.map(|l| (l.plain, l.stream)), Ok((200_000_000, usize::MAX)));
    // The settings of a process with little memory can be used without any limit stated.
    assert_eq!(StatedLimits::default().check(0), Ok(AnswerLimits::default()));
}

/// Runs `limpetmux node --check` and returns whether it succeeded, and what it printed.
fn check(name: &str, options: &[&str]) -> (bool, String) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, SETTINGS).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetmux"));
    let output = command.args(["node", "--check"]).args(options).arg(&path).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn check_of_a_node_shows_its_limits() {
    let options = ["--answer-bytes", "1000000", "--stream-bytes", "5000000"];

    let (default, stated) = (check("limits_default", &[]), check("limits_stated", &options));

    let lines = [
        "answers: 16777216 bytes plain, 268435456 bytes streamed, 262144 bytes an event",
        "answers: 1000000 bytes plain, 5000000 bytes streamed, 262144 bytes an event",
    ];
    assert!(default.0 && default.1.contains(lines[0]), "{}", default.1);
    assert!(stated.0 && stated.1.contains(lines[1]), "{}", stated.1);
}

#[test]
fn node_does_not_start_with_a_limit_that_cannot_be_used() {
    let cases = [
        ("0", "the limit on plain answers of 0 bytes is less than 65536 bytes"),
        ("260000001", "exceeds the 260000000 bytes"),
        ("16MiB", "16MiB"),
    ];

    for (value, message) in cases {
        let (is_accepted, text) = check(&format!("limits_{value}"), &["--answer-bytes", value]);
        // The report is wrapped, and each of its lines begins with a bar.
        let words = text.split_whitespace().filter(|w| !w.starts_with('│'));
        let text = words.collect::<Vec<_>>().join(" ");
        assert!(!is_accepted && text.contains(message), "{value}: {text}");
    }
}
