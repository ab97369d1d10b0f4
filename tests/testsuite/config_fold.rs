//! The fold gives each record exactly one verdict.

use limpetmux::core::config::record::{Activation, Body, Void};
use limpetmux::core::config::{
    Change, ConfigError, Danger, Edit, Fold, FoldError, FoldOutcome, Object, ObjectKind, Rejection,
    Verdict, WINDOW_RECORDS,
};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux_test_support::changes::{
    change, change_id, change_record, first_change, record, weight_edit, zone_edit,
};
use limpetmux_test_support::{name, small_config};

/// Returns a fold of the small configuration, declared by the record at offset 0.
fn declared() -> Fold {
    let mut fold = Fold::new();
    push(&mut fold, first_change(&small_config()));
    assert_eq!(fold.revision(), Revision(1));
    fold
}

fn push(fold: &mut Fold, change: Change) -> Verdict {
    push_bytes(fold, &change_record(change))
}

fn push_bytes(fold: &mut Fold, data: &[u8]) -> Verdict {
    match fold.step(fold.next(), data) {
        Ok(FoldOutcome::Verdict(verdict)) => verdict,
        other => panic!("{other:?}"),
    }
}

/// Returns a change of one workspace, made when the log ended at its base.
fn weight(number: u128, base: u64, workspace: &str, weight: u32) -> Change {
    let edit = weight_edit(&small_config(), workspace, weight);
    change(number, Revision(base), Offset(base), vec![edit])
}

#[test]
fn accepts_change_at_its_offset() {
    let mut fold = declared();

    let verdict = push(&mut fold, weight(1, 1, "trial", 9));

    assert_eq!(verdict, Verdict::Accepted);
    assert_eq!(fold.revision(), Revision(2));
    assert_eq!(fold.config().workspaces["trial"].weight, 9);
}

#[test]
fn rejects_second_of_two_racing_operators() {
    let mut fold = declared();
    let (ana, ben) = (weight(1, 1, "trial", 2), weight(2, 1, "trial", 3));

    let verdicts = [push(&mut fold, ana), push(&mut fold, ben)];

    let object = Object { kind: ObjectKind::Workspace, name: name("trial") };
    let stale = Rejection::Stale { object, revision: Revision(2) };
    assert_eq!(verdicts, [Verdict::Accepted, Verdict::Rejected(stale)]);
    assert_eq!(fold.config().workspaces["trial"].weight, 2);
}

#[test]
fn accepts_both_racing_operators_on_different_objects() {
    let mut fold = declared();
    let (ana, ben) = (weight(1, 1, "trial", 2), weight(2, 1, "retail", 3));

    let verdicts = [push(&mut fold, ana), push(&mut fold, ben)];

    assert_eq!(verdicts, [Verdict::Accepted, Verdict::Accepted]);
}

#[test]
fn rejects_racing_removal_of_both_zones() {
    let mut fold = declared();
    let zone_out = |number, zone| {
        let edits = vec![zone_edit(&small_config(), zone, false)];
        Change { force: number == 1, ..change(number, Revision(1), Offset(1), edits) }
    };

    let verdicts = [push(&mut fold, zone_out(1, "mnl-a")), push(&mut fold, zone_out(2, "mnl-b"))];

    let danger = Danger::NoServer { service: name("billing") };
    assert_eq!(verdicts, [Verdict::Accepted, Verdict::Rejected(Rejection::Dangerous(danger))]);
    assert!(fold.config().zones["mnl-b"].serving);
}

#[test]
fn rejects_repeated_change_id_with_first_verdict_kept() {
    let mut fold = declared();
    let change = weight(1, 1, "trial", 2);
    let again = Change { base: Revision(2), ..change.clone() };
    push(&mut fold, change);

    let verdict = push(&mut fold, again);

    assert_eq!(verdict, Verdict::Rejected(Rejection::Duplicate { first: Offset(1) }));
    assert!(fold.ledger().find(change_id(1)).unwrap().verdict.is_accepted());
}

#[test]
fn keeps_rejected_change_rejected_when_it_arrives_again() {
    let mut fold = declared();
    let mut host = fold.config().hosts["billing-0"].clone();
    host.zone = name("cebu-a");
    let edits = vec![Edit::Host(name("billing-0"), Some(host))];
    let invalid = change(1, Revision(1), Offset(1), edits);
    push(&mut fold, invalid.clone());
    let zone = Edit::Zone(name("cebu-a"), Some(fold.config().zones["mnl-a"].clone()));
    push(&mut fold, change(2, Revision(1), Offset(2), vec![zone]));

    let verdict = push(&mut fold, invalid);

    assert_eq!(verdict, Verdict::Rejected(Rejection::Duplicate { first: Offset(1) }));
}

#[test]
fn undoes_all_edits_of_invalid_change() {
    let mut fold = declared();
    let before = fold.config().clone();
    let edits = vec![
        weight_edit(&before, "trial", 7),
        weight_edit(&before, "trial", 8),
        Edit::Pipeline(name("voicemail"), None),
    ];

    let verdict = push(&mut fold, change(1, Revision(1), Offset(1), edits));

    let (workspace, pipeline) = (name("exchange"), name("voicemail"));
    let error = ConfigError::WorkspacePipeline { workspace, pipeline };
    assert_eq!(verdict, Verdict::Rejected(Rejection::Invalid(error)));
    assert_eq!(*fold.config(), before);
}

#[test]
fn rejects_bases_outside_window() {
    let mut fold = declared();
    let old = weight(1, 1, "trial", 2);
    let future = weight(2, 9, "trial", 2);

    let first = push(&mut fold, future);
    for number in 0..u128::from(WINDOW_RECORDS) {
        let base = fold.revision().0;
        push(&mut fold, weight(100 + number, base, "retail", 1));
    }
    let last = push(&mut fold, old);

    let revision = fold.revision();
    assert_eq!(first, Verdict::Rejected(Rejection::FutureBase { revision: Revision(1) }));
    assert_eq!(last, Verdict::Rejected(Rejection::Expired { revision }));
}

#[test]
fn rejects_undecodable_record_and_continues() {
    let mut fold = declared();

    let verdict = push_bytes(&mut fold, b"{\"version\":1,\"body\":{}}");

    assert_eq!(verdict, Verdict::Rejected(Rejection::Undecodable));
    assert_eq!(fold.next(), Offset(2));
}

#[test]
fn rejects_newer_format_until_it_is_activated() {
    let mut fold = declared();
    let newer = b"{\"version\":2,\"body\":{\"zone_weights\":[]}}";
    let activation =
        Activation { id: change_id(5), format: 2, author: name("ana"), submitted_ms: 0 };

    let early = push_bytes(&mut fold, newer);
    let active = push_bytes(&mut fold, &record(&Body::Format(activation)));
    let late = fold.step(fold.next(), newer);

    assert_eq!(early, Verdict::Rejected(Rejection::Format { version: 2 }));
    assert_eq!(active, Verdict::Accepted);
    assert_eq!(late, Err(FoldError::Unsupported { offset: Offset(3), version: 2 }));
    assert_eq!(fold.next(), Offset(3));
}

#[test]
fn rejects_voided_change() {
    let mut fold = declared();
    let void = Void { id: change_id(1), author: name("ana"), submitted_ms: 0 };
    let late = weight(1, 1, "trial", 2);

    let voided = push_bytes(&mut fold, &record(&Body::Void(void)));
    let verdict = push(&mut fold, late);

    assert_eq!(voided, Verdict::Accepted);
    assert_eq!(verdict, Verdict::Rejected(Rejection::Duplicate { first: Offset(1) }));
}

#[test]
fn reports_gap_and_keeps_state() {
    let mut fold = declared();
    let before = fold.clone();
    let later = change_record(weight(1, 1, "trial", 2));

    let step = fold.step(Offset(5), &later);

    assert_eq!(step, Err(FoldError::Gap { next: Offset(1), offset: Offset(5) }));
    assert_eq!(fold, before);
}

#[test]
fn refuses_damaged_or_older_snapshot() {
    let mut fold = declared();
    let older = fold.snapshot();
    push_bytes(&mut fold, b"{}");
    let mut newer = fold.clone();
    push(&mut newer, weight(1, 1, "trial", 2));
    let mut damaged = newer.snapshot();
    damaged.config.workspaces.clear();

    let results = [fold.adopt(older), fold.adopt(damaged), fold.adopt(newer.snapshot())];

    let refused = FoldError::Damaged { next: Offset(3) };
    assert_eq!(results, [Ok(false), Err(refused), Ok(true)]);
    assert_eq!(fold.snapshot(), newer.snapshot());
}
