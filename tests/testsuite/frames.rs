//! Handling of late, crossed, doubled, reordered and truncated frames of an attempt.

use limpetmux::core::frames::{
    Assembler, AttemptKey, Close, Dropped, FrameAction, FrameFault, RequestId,
};
use limpetmux::core::keys::StageIndex;
use limpetmux::util::hash::hash_bytes;
use limpetmux_test_support::check_cases;
use uuid::Uuid;

const OWN: AttemptKey = key(1, 2, 0);

const fn key(request: u128, stage: u8, attempt: u32) -> AttemptKey {
    AttemptKey { request: RequestId(Uuid::from_u128(request)), stage: StageIndex(stage), attempt }
}

/// Returns an assembler that has received the given pieces.
fn assembler_after(pieces: &[&str]) -> Assembler {
    let mut assembler = Assembler::new(OWN);
    for (sequence, piece) in (0..).zip(pieces) {
        assert_eq!(assembler.data(OWN, sequence, piece.as_bytes()), FrameAction::Deliver);
    }
    assembler
}

fn close(count: u64, text: &str) -> Close {
    Close { count, checksum: hash_bytes(text.as_bytes()) }
}

#[test]
fn whole_answer_is_complete() {
    let mut assembler = assembler_after(&["a", "b", "c"]);

    let action = assembler.close(OWN, close(3, "abc"));

    assert_eq!((action, assembler.end()), (FrameAction::Complete, None));
}

#[test]
fn crossed_frame_is_dropped() {
    for other in [key(9, 2, 0), key(1, 3, 0), key(1, 2, 1)] {
        let mut assembler = assembler_after(&["a"]);

        assert_eq!(assembler.data(other, 1, b"x"), FrameAction::Drop(Dropped::Crossed));
        assert_eq!(assembler.close(other, close(1, "a")), FrameAction::Drop(Dropped::Crossed));
        assert_eq!(assembler.refused(other, 1), FrameAction::Drop(Dropped::Crossed));
        assert_eq!(assembler.close(OWN, close(1, "a")), FrameAction::Complete);
    }
}

#[test]
fn doubled_frame_is_dropped() {
    let mut assembler = assembler_after(&["a", "b"]);

    assert_eq!(assembler.data(OWN, 0, b"a"), FrameAction::Drop(Dropped::Doubled));
    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Doubled));
    assert_eq!(assembler.close(OWN, close(2, "ab")), FrameAction::Complete);
}

#[test]
fn late_frame_is_dropped() {
    let mut assembler = assembler_after(&["a"]);
    assembler.close(OWN, close(1, "a"));

    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Late));
    assert_eq!(assembler.close(OWN, close(1, "a")), FrameAction::Drop(Dropped::Late));
    assert_eq!(assembler.refused(OWN, 1), FrameAction::Drop(Dropped::Late));
}

#[test]
fn reordered_frame_fails_the_attempt() {
    let mut assembler = assembler_after(&["a"]);

    let action = assembler.data(OWN, 2, b"c");

    assert_eq!(action, FrameAction::Fail(FrameFault::Gap { expected: 1, got: 2 }));
    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Late));
}

#[test]
fn refusal_that_does_not_follow_the_last_data_frame_fails_the_attempt() {
    // Guards against a refusal that is believed although data frames before it are missing.
    for (sequence, expected) in [(0, 1), (2, 1)] {
        let action = assembler_after(&["a"]).refused(OWN, sequence);

        assert_eq!(action, FrameAction::Fail(FrameFault::Gap { expected, got: sequence }));
    }
    assert_eq!(assembler_after(&["a"]).refused(OWN, 1), FrameAction::Complete);
}

#[test]
fn truncated_answer_fails_the_attempt() {
    assert_eq!(assembler_after(&["a"]).end(), Some(FrameFault::Truncated { got: 1 }));
    let short = assembler_after(&["a"]).close(OWN, close(2, "ab"));
    assert_eq!(short, FrameAction::Fail(FrameFault::Count { count: 2, got: 1 }));
}

#[test]
fn altered_payload_fails_the_attempt() {
    let action = assembler_after(&["a", "x"]).close(OWN, close(2, "ab"));

    assert_eq!(action, FrameAction::Fail(FrameFault::Checksum));
}

#[test]
fn any_mixture_of_frames_delivers_a_prefix_and_completes_only_when_whole() {
    check_cases(500, |u| {
        let text: Vec<u8> = (0..u.int_in_range(0..=8)?).collect();
        let mut assembler = Assembler::new(OWN);
        let mut delivered = Vec::new();
        for _ in 0..24 {
            let sender = if u.ratio(1, 8)? { key(1, 2, 1) } else { OWN };
            let action = if u.ratio(1, 6)? {
                let checksum = hash_bytes(&text);
                assembler.close(sender, Close { count: text.len() as u64, checksum })
            } else {
                let first = assembler.delivered().saturating_sub(1);
                let sequence = u.int_in_range(first..=first + 2)?;
                let Some(byte) = text.get(sequence as usize) else { continue };
                let action = assembler.data(sender, sequence, &[*byte]);
                if action == FrameAction::Deliver {
                    delivered.push(*byte);
                }
                action
            };
            assert!(text.starts_with(&delivered));
            if action == FrameAction::Complete {
                assert_eq!(delivered, text);
            }
        }
        Ok(())
    });
}
