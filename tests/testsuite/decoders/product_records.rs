//! Records of the product's own log, settings, sheets and idempotency keys.

use super::check;
use super::damage::{draw, draw_text};
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::config::record::{Activation, Body, Void, decode};
use limpetmux::core::config::{Change, Delta, Fold, LogRead, Position, Replica, Snapshot};
use limpetmux::core::once::{
    Declared, DeclaredHost, Guards, HostId, Incarnation, KeyId, KeyTime, Node, Record, Rules, Time,
};
use limpetmux::core::planner::{DutyFold, DutyRecord, PlanDelta};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::core::time::Moment;
use limpetmux::ops::sheet::Sheet;
use limpetmux::settings;
use limpetmux_test_support::changes::{change_id, change_record, first_change, record};
use limpetmux_test_support::{name, small_config};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const ENTRY: &str = include_str!("../../../examples/ph-luzon/entry.jsonc");
const SIDECAR: &str = include_str!("../../../examples/ph-luzon/sidecar.jsonc");
const SHEET: &str = include_str!("../../../examples/sheets/ph-luzon-weekday.csv");
const KEYS: [&str; 4] =
    ["0190163d-8694-739b-aea5-966c26f8ad91", "f47ac10b-58cc-4372-a567-0e02b2c3d479", "k", ""];

/// Returns a configuration record of each kind.
fn config_records() -> Vec<Vec<u8>> {
    let change: Change = first_change(&small_config());
    let (id, author) = (change_id(7), name("ana"));
    let mut fold = Fold::new();
    fold.step(Offset(0), &change_record(change.clone())).unwrap();
    let activation = Activation { id, format: 1, author: author.clone(), submitted_ms: 5 };
    vec![
        change_record(change),
        record(&Body::Snapshot(Box::new(fold.snapshot()))),
        record(&Body::Format(activation)),
        record(&Body::Void(Void { id, author, submitted_ms: 5 })),
    ]
}

/// Draws an offset that is small or at the end of the range.
fn draw_offset(u: &mut Unstructured<'_>) -> Result<Offset> {
    let near = u.int_in_range(0..=3)?;
    Ok(Offset(if u.ratio(1, 4)? { u64::MAX - near } else { near }))
}

/// Folds a record that the log and a peer state to have at an offset.
pub(super) fn check_config_record(offset: Offset, data: &[u8]) {
    if let Ok(body) = decode(data) {
        assert_eq!(decode(&record(&body)).unwrap(), body);
    }
    let mut replica = Replica::new();
    let read = LogRead { from: Offset(0), next: Offset(0) };
    let _ = replica.on_page(read, (offset, offset), [(offset, data)].into_iter());
    let _ = replica.delta_for(Position { next: offset, digest: 0 });
    let peer = Position { next: offset, digest: 1 };
    let records = vec![Arc::from(data), Arc::from(data)];
    let _ = Replica::new().on_delta(peer, &Delta::Records { first: offset, records });
    let _ = Replica::new().on_delta(peer, &Delta::Snapshot(data.into()));
}

#[test]
fn configuration_records_are_folded_or_refused_at_any_offset() {
    let valid = config_records();
    assert!(valid.iter().all(|data| decode(data).is_ok()));
    check("configuration records", |u| {
        let valid = u.choose(&valid)?;
        let data = draw(u, valid)?;
        check_config_record(draw_offset(u)?, &data);
        Ok(())
    });
}

/// Adopts a snapshot whose checksum is right, and folds a record after it.
pub(super) fn check_snapshot(mut snapshot: Snapshot) {
    snapshot.checksum = snapshot.compute_checksum();
    let next = snapshot.next;
    let data: Arc<[u8]> = record(&Body::Snapshot(Box::new(snapshot))).into();
    let mut replica = Replica::new();
    let peer = Position { next, digest: 0 };
    let _ = replica.on_delta(peer, &Delta::Snapshot(data));
    let first = replica.position().next;
    let records = vec![change_record(first_change(&small_config())).into()];
    let _ = replica.on_delta(peer, &Delta::Records { first, records });
    assert!(replica.position().next >= first);
    let _ = replica.delta_for(Position { next: Offset(0), digest: 0 });
}

#[test]
fn snapshots_with_a_right_checksum_are_adopted_or_refused() {
    let mut fold = Fold::new();
    fold.step(Offset(0), &change_record(first_change(&small_config()))).unwrap();
    let valid = serde_json::to_vec(&fold.snapshot()).unwrap();
    check("snapshots of the configuration", |u| {
        let data = draw(u, &valid)?;
        let Ok(mut snapshot) = serde_json::from_slice::<Snapshot>(&data) else { return Ok(()) };
        if u.ratio(1, 2)? {
            snapshot.next = draw_offset(u)?;
        }
        check_snapshot(snapshot);
        Ok(())
    });
}

fn draw_duty(u: &mut Unstructured<'_>) -> Result<DutyRecord> {
    let hosts = BTreeSet::from(["a".to_owned(), draw_text(u, "generate-0")?]);
    Ok(match u.int_in_range(0..=2)? {
        0 => DutyRecord::Grant { holder: draw_text(u, "a")?, previous: Some(draw_offset(u)?) },
        1 => {
            let delta = PlanDelta { wake: hosts.clone(), sleep: hosts };
            DutyRecord::Plan { fence: draw_offset(u)?, delta }
        }
        _ => DutyRecord::Snapshot { lease: None, asleep: hosts, covers: draw_offset(u)? },
    })
}

#[test]
fn duties_are_read_back_and_folded_at_any_offset() {
    check("duty records", |u| {
        let (duty, offset) = (draw_duty(u)?, draw_offset(u)?);
        let encoded = duty.clone().encode().unwrap();
        assert_eq!(DutyRecord::decode(&encoded).unwrap(), duty);
        check_duty(offset, &draw(u, &encoded)?);
        Ok(())
    });
}

/// Folds a duty record at an offset.
pub(super) fn check_duty(offset: Offset, data: &[u8]) {
    let mut fold = DutyFold::new(Offset(0));
    match DutyRecord::decode(data) {
        Ok(duty) => drop(fold.fold(offset, &duty)),
        Err(_) => fold.skip(offset),
    }
    assert!(fold.next() > offset || offset == Offset(u64::MAX));
}

fn draw_claim(u: &mut Unstructured<'_>) -> Result<Record> {
    let (home, by) = (HostId::of("a"), HostId(u.arbitrary()?));
    let incarnation = Incarnation(u.arbitrary()?);
    Ok(match u.int_in_range(0..=3)? {
        0 => {
            // Six bytes of a record hold the time.
            let time = u.int_in_range(1..=(1 << 48) - 1)?;
            let key = KeyId::from_digest(u.arbitrary()?, Some(KeyTime(time)));
            let keys = vec![key, KeyId::from_digest(u.arbitrary()?, None)];
            Record::Claims { home, incarnation, keys }
        }
        1 => Record::Takeover { home, by, incarnation },
        2 => Record::Return { home, by, incarnation },
        _ => {
            let hosts = vec![DeclaredHost { name: draw_text(u, "a")?, zone: draw_text(u, "z")? }];
            let revision = Revision(draw_offset(u)?.0);
            let declared = Arc::new(Declared { group: u.arbitrary()?, revision, hosts });
            Record::Declared { host: home, incarnation, declared }
        }
    })
}

/// Applies a claim record at an offset, late in the range of both clocks.
pub(super) fn check_claim(offset: Offset, data: &[u8]) {
    let Ok(claim) = Record::decode(data) else { return };
    let time = Time { now: Moment::MAX, wall: KeyTime(u64::MAX) };
    let (id, rules) = (HostId::of("a"), Rules::default());
    let mut node = Node::new(id, Incarnation(1), rules, Guards::default(), time);
    node.observe(offset, &claim, time);
    node.sweep(time.wall);
    assert!(node.table().len() <= data.len());
}

#[test]
fn claims_are_read_back_and_applied_at_any_offset() {
    check("claim records", |u| {
        let (claim, offset) = (draw_claim(u)?, draw_offset(u)?);
        let encoded = claim.encode().unwrap();
        assert_eq!(Record::decode(&encoded).unwrap(), claim);
        check_claim(offset, &draw(u, &encoded)?);
        Ok(())
    });
}

#[test]
fn any_idempotency_key_has_one_digest_and_at_most_one_time() {
    check("idempotency keys", |u| {
        let valid = u.choose(&KEYS)?;
        let text = draw_text(u, valid)?;
        let key = KeyId::new(&draw_text(u, "w")?, "p", u.arbitrary()?, &text);

        let again = KeyId::from_digest(key.digest(), key.created());

        assert_eq!(again, key);
        // The time of a key is a number of 48 bits, so that sums with it stay in range.
        let end = key.created().map(|t| t + Duration::MAX);
        assert!(end.is_none_or(|end| end == KeyTime(u64::MAX)));
        assert!(key.created().is_none_or(|t| t.0 < 1 << 48));
        Ok(())
    });
}

/// Parses settings; an error of any kind can be shown.
pub(super) fn check_settings(text: &str) {
    let Err(error) = settings::parse("entry.jsonc", text) else { return };
    let mut shown = String::new();
    miette::NarratableReportHandler::new().render_report(&mut shown, &error).unwrap();
    assert!(!shown.is_empty());
}

#[test]
fn settings_are_parsed_or_refused_with_a_report() {
    check("settings", |u| {
        let valid = u.choose(&[ENTRY, SIDECAR])?;
        check_settings(&draw_text(u, valid)?);
        Ok(())
    });
}

/// Parses a sheet and resolves it; an error of any kind can be shown.
pub(super) fn check_sheet(text: &str) {
    let resolved = Sheet::parse("sheet.csv", text).and_then(|s| s.resolve(&small_config()));
    let Err(error) = resolved else { return };
    let mut shown = String::new();
    miette::NarratableReportHandler::new().render_report(&mut shown, &error).unwrap();
    assert!(!shown.is_empty());
}

#[test]
fn sheets_are_resolved_or_refused_with_a_report() {
    check("sheets", |u| {
        check_sheet(&draw_text(u, SHEET)?);
        Ok(())
    });
}
