//! The ends of events in a streamed answer, and how an answer states its end.

use limpetmux::core::event_stream::{EventScan, EventTail, Framing};
use limpetmux::platform::server;

fn scan(parts: &[&str]) -> EventScan {
    let mut scan = EventScan::default();
    parts.iter().for_each(|part| scan.push(part.as_bytes()));
    scan
}

#[test]
fn tail_tells_whether_a_stream_ends_inside_an_event() {
    let rows = [
        ("", EventTail::Empty),
        ("\n\n", EventTail::Empty),
        (": comment\n", EventTail::Empty),
        (": comm", EventTail::Partial),
        ("data: a", EventTail::Partial),
        ("data: a\n", EventTail::Partial),
        ("data: a\nid: 1\n", EventTail::Partial),
        ("data: a\n\n", EventTail::Whole),
        ("data: a\r\n\r\n", EventTail::Whole),
        ("data: a\r\n\r", EventTail::Whole),
        ("data: a\r\r", EventTail::Whole),
        ("data: a\r\n", EventTail::Partial),
        ("data: a\n\n: comment\n", EventTail::Whole),
        ("data: a\n\ni", EventTail::Partial),
        ("data: a\n\ndata: b\n", EventTail::Partial),
    ];

    for (text, tail) in rows {
        assert_eq!(scan(&[text]).tail(), tail, "{text:?}");
    }
}

#[test]
fn events_are_counted_wherever_the_parts_of_a_stream_are_split() {
    let text = "id: 1\ndata: a\n\n: comment\n\r\nid: 2\r\ndata: b\r\n\r\ndata: c\r\rdata: d\n";
    let splits = (0..=text.len()).flat_map(|first| (first..=text.len()).map(move |s| (first, s)));
    for (first, second) in splits {
        let split = scan(&[&text[..first], &text[first..second], &text[second..]]);

        assert_eq!((split.events(), split.tail()), (3, EventTail::Partial), "{first} {second}");
    }
}

#[test]
fn longest_event_does_not_depend_on_where_a_stream_is_split() {
    // Guards against a bound on events that a stream passes or not by chance of its chunks.
    let text = "id: 1\ndata: a\n\n: comment\n\r\ndata: long and longer\n\ndata: d\n: e";
    for split in 0..=text.len() {
        let (whole, parts) = (scan(&[text]), scan(&[&text[..split], &text[split..]]));

        assert_eq!((whole.longest(), whole), (parts.longest(), parts), "{split}");
    }
    assert_eq!(scan(&["data: a\n\n"]).longest(), 9);
    assert_eq!(scan(&["\n\n\n\n"]).longest(), 1);
    assert_eq!(scan(&["data: a\n\ndata: never ending"]).longest(), 18);
}

#[test]
fn framing_of_an_answer_follows_from_its_head() {
    let framing = |status: u16, headers: &[(&str, &str)]| {
        let answer = hyper::Response::builder().status(status);
        let answer = headers.iter().fold(answer, |a, (name, value)| a.header(*name, *value));
        server::head("1f", &answer.body(()).unwrap()).framing
    };

    assert_eq!(framing(200, &[("content-length", "7")]), Framing::Length);
    assert_eq!(framing(200, &[("transfer-encoding", "chunked")]), Framing::Chunked);
    assert_eq!(framing(200, &[("connection", "close")]), Framing::Connection);
    assert_eq!(framing(204, &[]), Framing::Length);
}

#[test]
fn stream_is_complete_after_a_whole_event_or_if_its_framing_states_that_it_is_empty() {
    // Guards against truncated streams that are taken for complete (inc1).
    let is_complete = |text: &str| {
        [Framing::Length, Framing::Chunked, Framing::Connection]
            .map(|f| scan(&[text]).is_complete(f))
    };

    assert_eq!(is_complete("data: a\n\n"), [true, true, true]);
    assert_eq!(is_complete("data: a\n\ndata: b\n"), [false, false, false]);
    assert_eq!(is_complete("data: a"), [false, false, false]);
    assert_eq!(is_complete(""), [true, true, false]);
}
