//! Frames of one attempt: late, crossed, doubled, reordered and truncated ones, one by one.

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

/// Returns an assembler that has taken the given pieces.
fn taken(pieces: &[&str]) -> Assembler {
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
    let mut assembler = taken(&["a", "b", "c"]);

    let step = assembler.close(OWN, close(3, "abc"));

    assert_eq!((step, assembler.end()), (FrameAction::Complete, None));
}

#[test]
fn crossed_frame_is_dropped() {
    for other in [key(9, 2, 0), key(1, 3, 0), key(1, 2, 1)] {
        let mut assembler = taken(&["a"]);

        assert_eq!(assembler.data(other, 1, b"x"), FrameAction::Drop(Dropped::Crossed));
        assert_eq!(assembler.close(other, close(1, "a")), FrameAction::Drop(Dropped::Crossed));
        assert_eq!(assembler.refused(other), Some(Dropped::Crossed));
        assert_eq!(assembler.close(OWN, close(1, "a")), FrameAction::Complete);
    }
}

#[test]
fn doubled_frame_is_dropped() {
    let mut assembler = taken(&["a", "b"]);

    assert_eq!(assembler.data(OWN, 0, b"a"), FrameAction::Drop(Dropped::Doubled));
    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Doubled));
    assert_eq!(assembler.close(OWN, close(2, "ab")), FrameAction::Complete);
}

#[test]
fn late_frame_is_dropped() {
    let mut assembler = taken(&["a"]);
    assembler.close(OWN, close(1, "a"));

    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Late));
    assert_eq!(assembler.close(OWN, close(1, "a")), FrameAction::Drop(Dropped::Late));
    assert_eq!(assembler.refused(OWN), Some(Dropped::Late));
}

#[test]
fn reordered_frame_fails_the_attempt() {
    let mut assembler = taken(&["a"]);

    let step = assembler.data(OWN, 2, b"c");

    assert_eq!(step, FrameAction::Fail(FrameFault::Gap { expected: 1, got: 2 }));
    assert_eq!(assembler.data(OWN, 1, b"b"), FrameAction::Drop(Dropped::Late));
}

#[test]
fn truncated_answer_fails_the_attempt() {
    assert_eq!(taken(&["a"]).end(), Some(FrameFault::Truncated { got: 1 }));
    let short = taken(&["a"]).close(OWN, close(2, "ab"));
    assert_eq!(short, FrameAction::Fail(FrameFault::Count { count: 2, got: 1 }));
}

#[test]
fn altered_payload_fails_the_attempt() {
    let step = taken(&["a", "x"]).close(OWN, close(2, "ab"));

    assert_eq!(step, FrameAction::Fail(FrameFault::Checksum));
}

#[test]
fn any_mixture_of_frames_delivers_a_prefix_and_completes_only_whole() {
    check_cases(500, |u| {
        let text: Vec<u8> = (0..u.int_in_range(0..=8)?).collect();
        let mut assembler = Assembler::new(OWN);
        let mut delivered = Vec::new();
        for _ in 0..24 {
            let sender = if u.ratio(1, 8)? { key(1, 2, 1) } else { OWN };
            let step = if u.ratio(1, 6)? {
                let checksum = hash_bytes(&text);
                assembler.close(sender, Close { count: text.len() as u64, checksum })
            } else {
                let near = assembler.delivered().saturating_sub(1);
                let sequence = u.int_in_range(near..=near + 2)?;
                let Some(byte) = text.get(sequence as usize) else { continue };
                let step = assembler.data(sender, sequence, &[*byte]);
                if step == FrameAction::Deliver {
                    delivered.push(*byte);
                }
                step
            };
            assert!(text.starts_with(&delivered));
            if step == FrameAction::Complete {
                assert_eq!(delivered, text);
            }
        }
        Ok(())
    });
}
