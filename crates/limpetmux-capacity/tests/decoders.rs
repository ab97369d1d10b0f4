//! Compares what decoders allocate with the length of their inputs.
//!
//! The inputs are those of the corpus in `tests/testsuite/decoders`, with lengths and numbers that
//! exceed their bytes. A single test runs all of them, because allocations are counted for the whole
//! process.

#![allow(clippy::expect_used, clippy::unwrap_used)]

use limpetmux::core::config::record;
use limpetmux::core::log_position::LogPosition;
use limpetmux::core::once::Record;
use limpetmux::core::planner::DutyRecord;
use limpetmux::platform::{boot, orders};
use limpetmux::wire::{fleet, once, peer, stage};
use limpetmux_capacity::measure;
use prost::Message;
use std::path::Path;

/// The bytes that a decoder may allocate for each byte of its input.
const FACTOR: usize = 64;
/// The bytes that a decoder may allocate in addition.
const ALLOWANCE: usize = 16 << 10;

/// Decodes an input with the decoder of its folder; the result is not needed.
fn decode(folder: &str, bytes: &[u8]) {
    match folder {
        "claims" => drop(Record::decode(bytes)),
        "config_records" => drop(record::decode(bytes)),
        "duties" => drop(DutyRecord::decode(bytes)),
        "frames" => drop(stage::Frame::decode(bytes)),
        "gossip" => drop(peer::Sync::decode(bytes)),
        "orders" => drop(orders::decode_config(bytes, LogPosition::START)),
        "piece_queues" => drop(fleet::StageDone::decode(bytes)),
        "placements" => drop(fleet::PlaceEngine::decode(bytes)),
        "platform_settings" => drop(boot::parse("boot", &String::from_utf8_lossy(bytes))),
        "tables" => drop(once::HandOverRequest::decode(bytes)),
        "views" => drop(fleet::PullReply::decode(bytes)),
        other => panic!("no decoder reads {other}"),
    }
}

#[test]
fn decoders_allocate_in_proportion_to_their_inputs() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/testsuite/decoders/corpus");
    let folders = [
        "claims",
        "config_records",
        "duties",
        "frames",
        "gossip",
        "orders",
        "piece_queues",
        "placements",
        "platform_settings",
        "tables",
        "views",
    ];
    let mut exceeded = Vec::new();
    for folder in folders {
        for file in std::fs::read_dir(root.join(folder)).unwrap() {
            let path = file.unwrap().path();
            let bytes = std::fs::read(&path).unwrap();

            let ((), stats) = measure(|| decode(folder, &bytes));

            println!("{}: {} bytes, {} allocated", path.display(), bytes.len(), stats.total);
            if stats.total > bytes.len() * FACTOR + ALLOWANCE {
                exceeded.push(path);
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
