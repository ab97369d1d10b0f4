//! A part that crashes backend servers is told from all others that were present at the crashes.

use super::{arc, at, ms};
use limpetmux::core::prompt_part::PartId;
use limpetmux::core::quarantine::{
    CRASHES, Change, Entries, Evidence, Quarantine, SETTLE_TIME, ServerRun, Verdict,
};
use limpetmux::core::time::Moment;
use std::sync::Arc;

const BAD: PartId = PartId::new(0xbad);
const FIRST: PartId = PartId::new(1);
const TOPIC: PartId = PartId::new(2);

fn run(number: u64) -> ServerRun {
    ServerRun { server: arc(&format!("e{number}")), started_ms: 1 }
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| arc(&format!("entry{n}"))).collect()
}

fn check(quarantine: &mut Quarantine, now: Moment, parts: &[PartId]) -> Verdict {
    let all = names(1);
    quarantine.check(now, parts, Entries { local: "entry0", all: &all })
}

fn is_held(quarantine: &mut Quarantine, now: Moment, part: PartId) -> bool {
    !matches!(check(quarantine, now, &[part]), Verdict::Sound)
}

/// Returns parts of requests that had no event of their answers.
fn early(parts: &[PartId]) -> Vec<(PartId, bool)> {
    parts.iter().map(|part| (*part, true)).collect()
}

/// Records crashes a second apart, the first at 0 ms, each with the same parts.
fn crash_series(quarantine: &mut Quarantine, count: u64, parts: &[PartId]) {
    for n in 0..count {
        quarantine.record_crash(at(n * 1_000), at(n * 1_000), run(n), &early(parts));
    }
}

/// The time at which the evidence of a series has settled.
fn settled(count: u64) -> Moment {
    at(count * 1_000) + SETTLE_TIME
}

#[test]
fn part_of_several_crashes_is_held_and_parts_with_completed_answers_are_not() {
    // Guards against requests with one part that crash one engine after the other (BUDGET), and against
    // the refusal of sound requests that share their other parts (LOST).
    let mut quarantine = Quarantine::new(0);
    quarantine.record_use(at(0), at(0), &[FIRST, TOPIC]);
    for n in 0..CRASHES as u64 {
        let now = at(1_000 + n * 1_000);
        quarantine.record_crash(now, now, run(n), &early(&[FIRST, TOPIC, BAD]));
        quarantine.record_use(now + ms(300), now + ms(100), &[FIRST, TOPIC]);
    }
    let now = settled(CRASHES as u64 + 1);

    assert!(is_held(&mut quarantine, now, BAD));
    assert!(!is_held(&mut quarantine, now, FIRST));
    assert!(!is_held(&mut quarantine, now, TOPIC));
}

#[test]
fn no_part_is_held_by_fewer_crashes() {
    // Guards against parts that are refused although they were only present.
    let mut quarantine = Quarantine::new(0);

    crash_series(&mut quarantine, CRASHES as u64 - 1, &[BAD]);

    assert!(!is_held(&mut quarantine, settled(100), BAD));
}

#[test]
fn backend_servers_that_end_together_count_as_one_crash() {
    // Guards against popular parts that are refused once a zone has lost its backend servers.
    let mut quarantine = Quarantine::new(0);
    let (popular, new) = (FIRST, TOPIC);
    quarantine.record_use(at(0), at(0), &[popular]);
    for n in 0..10 {
        let now = at(1_000 + n * 20);
        quarantine.record_crash(now, now, run(n), &early(&[popular, new]));
    }

    assert!(!is_held(&mut quarantine, settled(9), popular));
    assert!(!is_held(&mut quarantine, settled(9), new));
}

#[test]
fn parts_present_at_the_crashes_of_another_part_are_not_held() {
    // Guards against rare sound parts whose few requests all ran where a poison request did.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 2, &[BAD]);
    for n in 2..6 {
        let rare = [TOPIC, BAD];
        quarantine.record_crash(at(n * 1_000), at(n * 1_000), run(n), &early(&rare));
    }

    assert!(is_held(&mut quarantine, settled(7), BAD));
    assert!(!is_held(&mut quarantine, settled(7), TOPIC));
}

#[test]
fn second_part_is_held_beside_the_first() {
    // Guards against a quarantine that stops at one part.
    let mut quarantine = Quarantine::new(0);
    let other = PartId::new(0xbad2);
    quarantine.record_use(at(0), at(0), &[FIRST]);
    crash_series(&mut quarantine, 4, &[BAD, FIRST]);
    for n in 10..14 {
        quarantine.record_crash(at(n * 1_000), at(n * 1_000), run(n), &early(&[other]));
    }

    assert!(is_held(&mut quarantine, settled(15), other));
    assert!(is_held(&mut quarantine, settled(15), BAD));
}

#[test]
fn part_that_was_harmless_before_is_held_after_it_turned_bad() {
    // Guards against a part that no crash can reach any more because answers were completed once.
    let mut quarantine = Quarantine::new(0);
    quarantine.record_use(at(0), at(0), &[BAD]);
    for n in 1..=5 {
        let now = at(n * 1_500);
        quarantine.record_crash(now, now, run(n), &early(&[BAD]));
    }

    assert!(is_held(&mut quarantine, settled(9), BAD));
}

#[test]
fn completed_answer_after_the_crashes_frees_a_part() {
    // Guards against a sound part that stays refused although an answer was completed with it.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[TOPIC]);
    assert!(is_held(&mut quarantine, settled(5), TOPIC));

    quarantine.record_use(settled(7), settled(6), &[TOPIC]);

    assert!(!is_held(&mut quarantine, settled(8), TOPIC));
    assert!(quarantine.take_changes().contains(&Change::Freed(TOPIC)));
}

#[test]
fn quarantine_does_not_end_by_time_and_trials_are_rare() {
    // Guards against a bad part that comes free by time alone, and against trials at many engines.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[BAD]);
    let mut trials = 0;

    for second in 0..7_200 {
        let now = settled(5) + ms(second * 1_000);
        match check(&mut quarantine, now, &[BAD]) {
            Verdict::Sound => panic!("free after {second} s"),
            Verdict::Trial(part) => {
                quarantine.begin_trial(now, part);
                trials += 1;
            }
            Verdict::Held { .. } => {}
        }
    }

    assert!((3..=5).contains(&trials), "{trials} trials in two hours");
}

#[test]
fn one_entry_at_a_time_may_try_a_part() {
    // Guards against a trial by each entry at the same time.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[BAD]);
    assert!(is_held(&mut quarantine, settled(5), BAD));
    let all = names(5);
    let now = settled(5) + ms(70_000);

    let tries = |local: &Arc<str>| {
        let entries = Entries { local, all: &all };
        matches!(quarantine.clone().check(now, &[BAD], entries), Verdict::Trial(_))
    };

    assert_eq!(all.iter().filter(|entry| tries(entry)).count(), 1);
}

#[test]
fn evidence_of_several_nodes_meets_at_a_node_that_starts_late() {
    // Guards against a verdict that only the nodes know which saw the crashes.
    let mut nodes = [Quarantine::new(0), Quarantine::new(0), Quarantine::new(0)];
    for n in 0..4 {
        nodes[n as usize % 3].record_crash(at(n * 500), at(n * 500), run(n), &early(&[BAD]));
    }
    let mut late = Quarantine::new(0);

    let now = settled(5);
    let told: Vec<Evidence> = nodes.iter().map(|node| node.evidence_since(now, 0)).collect();
    for evidence in told {
        late.merge(now, evidence);
    }

    assert!(is_held(&mut late, now, BAD));
}

#[test]
fn what_nodes_tell_each_other_comes_to_an_end() {
    // Guards against nodes that tell each other the same evidence for ever.
    let mut nodes = [Quarantine::new(0), Quarantine::new(0)];
    nodes[0].record_use(at(0), at(0), &[FIRST]);
    crash_series(&mut nodes[1], 4, &[BAD, FIRST]);
    let mut seen = [0, 0];

    for turn in 0..6 {
        let (from, to) = (turn % 2, 1 - turn % 2);
        let now = settled(5 + turn as u64);
        let evidence = nodes[from].evidence_since(now, seen[from]);
        seen[from] = nodes[from].version();
        nodes[to].merge(now, evidence);
    }

    let now = settled(12);
    assert!(nodes.iter().zip(seen).all(|(n, seen)| n.evidence_since(now, seen).is_empty()));
    assert!(nodes.iter_mut().all(|n| is_held(n, now, BAD)));
}

#[test]
fn crash_after_the_first_event_counts_less() {
    // Guards against rare sound parts that are refused because their few answers were cut off by chance.
    let mut quarantine = Quarantine::new(0);
    for n in 0..CRASHES as u64 {
        quarantine.record_crash(
            at(n * 1_000),
            at(n * 1_000),
            run(n),
            &[(TOPIC, false), (BAD, true)],
        );
    }
    let late = |n: u64| [(PartId::new(0xfee1 + n), false)];
    for n in 10..15 {
        quarantine.record_crash(at(n * 1_000), at(n * 1_000), run(n), &late(0));
    }

    assert!(is_held(&mut quarantine, settled(4), BAD));
    assert!(!is_held(&mut quarantine, settled(15), TOPIC));
    assert!(!is_held(&mut quarantine, settled(15), late(0)[0].0));
    quarantine.record_crash(at(15_000), at(15_000), run(15), &late(0));
    assert!(is_held(&mut quarantine, settled(16), late(0)[0].0));
}

#[test]
fn part_is_not_held_by_some_of_many_crashes() {
    // Guards against sound parts that are present by chance where backend servers end all the time.
    let mut quarantine = Quarantine::new(0);
    for n in 0..12 {
        let other = PartId::new(0xfee1 + n);
        let part = if n % 4 == 0 { TOPIC } else { other };
        quarantine.record_crash(at(n * 500), at(n * 500), run(n), &early(&[part]));
    }

    assert!(!is_held(&mut quarantine, settled(9), TOPIC));
}

#[test]
fn parts_that_always_occur_together_are_held_together_only() {
    // Guards against sound requests that are refused because all poison requests had their first part.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[FIRST, BAD]);
    let now = settled(5);

    assert_ne!(check(&mut quarantine, now, &[FIRST, BAD, TOPIC]), Verdict::Sound);
    assert_eq!(check(&mut quarantine, now, &[FIRST, TOPIC]), Verdict::Sound);
    quarantine.record_use(now + ms(300), now + ms(100), &[FIRST, TOPIC]);
    assert_ne!(check(&mut quarantine, now + ms(400), &[BAD, TOPIC]), Verdict::Sound);
    assert_eq!(check(&mut quarantine, now + ms(400), &[FIRST, TOPIC]), Verdict::Sound);
}

#[test]
fn part_that_crashes_without_the_others_is_held_alone() {
    // Guards against poison requests that get through because they lack a part of the first ones.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[FIRST, BAD]);
    assert_eq!(check(&mut quarantine, settled(5), &[BAD]), Verdict::Sound);

    quarantine.record_crash(settled(6), settled(6), run(9), &early(&[BAD, TOPIC]));

    assert_ne!(check(&mut quarantine, settled(7), &[BAD]), Verdict::Sound);
}

#[test]
fn parts_held_together_can_be_tried() {
    // Guards against a sound pair of parts that is refused for ever.
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[FIRST, TOPIC]);
    let parts = [FIRST, TOPIC];
    assert_ne!(check(&mut quarantine, settled(5), &parts), Verdict::Sound);

    let later = settled(70);
    let Verdict::Trial(part) = check(&mut quarantine, later, &parts) else { panic!("no trial") };
    quarantine.begin_trial(later, part);
    quarantine.record_use(later + ms(500), later, &parts);

    assert_eq!(check(&mut quarantine, later + ms(600), &parts), Verdict::Sound);
}

#[test]
fn verdict_of_a_node_that_knew_too_little_is_taken_back() {
    // Guards against a sound part that stays refused because a node that was cut off saw it, and not the
    // bad one, at three crashes.
    let (mut cut, mut other) = (Quarantine::new(0), Quarantine::new(0));
    crash_series(&mut other, 7, &[BAD]);
    for n in 0..3 {
        cut.record_crash(at(n * 1_000), at(n * 1_000), run(n), &early(&[TOPIC]));
    }
    assert!(is_held(&mut cut, settled(4), TOPIC) && is_held(&mut other, settled(8), BAD));

    cut.merge(settled(9), other.evidence_since(settled(9), 0));

    assert!(!is_held(&mut cut, settled(10), TOPIC));
    assert!(is_held(&mut cut, settled(10), BAD));
}

#[test]
fn bad_part_does_not_come_free_because_of_a_popular_one() {
    // Guards against a bad part that is released because a node without evidence of harmless uses took a
    // popular part for the cause (model seed 1299).
    let mut quarantine = Quarantine::new(0);
    crash_series(&mut quarantine, 4, &[BAD]);
    assert!(is_held(&mut quarantine, settled(5), BAD));
    let mut other = Quarantine::new(0);
    other.record_use(at(0), at(0), &[FIRST]);
    for n in 0..12 {
        other.record_crash(at(n * 600), at(n * 600), run(n), &early(&[FIRST]));
    }
    assert!(is_held(&mut other, settled(9), FIRST));

    quarantine.merge(settled(10), other.evidence_since(settled(10), 0));

    assert!(is_held(&mut quarantine, settled(11), BAD));
}

#[test]
fn node_that_learns_nothing_of_its_own_has_nothing_to_tell_back() {
    // Guards against evidence that each of many nodes sends back to the one that told it.
    let mut knows = Quarantine::new(0);
    knows.record_use(at(0), at(0), &[FIRST]);
    let mut told = Quarantine::new(0);
    crash_series(&mut told, 2, &[BAD, FIRST]);
    let evidence = told.evidence_since(settled(2), 0);

    assert!(!Quarantine::new(0).merge(settled(2), evidence.clone()));
    assert!(knows.merge(settled(2), evidence), "the completed answers are news");
}

#[test]
fn flood_of_distinct_parts_does_not_fill_a_node() {
    // Guards against callers that fill a node's memory, or drown the evidence against a bad part, by
    // requests with thousands of parts of their own.
    let mut quarantine = Quarantine::new(0);
    let parts = |n: u64, count: u64| (0..count).map(move |p| PartId::new((n << 32) + p + 10));
    for n in 0..100 {
        let used: Vec<PartId> = parts(n + 1_000, 1_000).collect();
        quarantine.record_use(at(n * 10), at(n * 10), &used);
    }
    for n in 0..200 {
        let mut ran: Vec<(PartId, bool)> = parts(n, 3_900).map(|part| (part, true)).collect();
        ran.push((BAD, true));
        quarantine.record_crash(at(n * 1_000), at(n * 1_000), run(n), &ran);
    }

    let evidence = quarantine.evidence_since(settled(200), 0);
    let remembered: usize = evidence.crashes.iter().map(|c| c.parts.len()).sum();
    assert!(evidence.crashes.len() <= 128 && remembered <= 20_000, "{remembered} parts");
    assert!(quarantine.known_parts() <= 8_192, "{} known parts", quarantine.known_parts());
    assert!(is_held(&mut quarantine, settled(200), BAD));
}

#[test]
fn verdicts_are_bounded() {
    // Guards against a list of verdicts that grows for ever.
    let mut quarantine = Quarantine::new(0);
    for n in 0..2_000 {
        let part = [PartId::new(10 + n / 3)];
        let now = at(n * 1_000);
        quarantine.record_crash(now, now, run(n), &early(&part));
        check(&mut quarantine, now + SETTLE_TIME, &part);
    }

    assert!(quarantine.evidence_since(settled(2_000), 0).holds.len() <= 512);
    assert!(is_held(&mut quarantine, settled(2_000), PartId::new(10 + 1_997 / 3)));
}
