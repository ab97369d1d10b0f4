//! Inputs that failed once, and inputs that are hard to decode, are decoded or refused.
//!
//! `corpus/` has a folder for each decoder; each file is one input. An input that a property finds
//! is added there with the change that mends the decoder.

use super::{
    answers, callers, platform_records, product_answers, product_messages, product_records,
    stage_messages, store,
};
use hyper::StatusCode;
use limpetmux::core::revision::Offset;
use std::path::{Path, PathBuf};

/// Returns the files of a folder with their content, in the order of their names.
fn inputs(folder: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let files = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let mut inputs: Vec<_> = files.map(|f| (f.clone(), std::fs::read(f).unwrap())).collect();
    inputs.sort();
    inputs
}

/// Decodes an input with the decoder of its folder.
fn decode(decoder: &str, bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let last = Offset(u64::MAX);
    let single = || bytes.iter().map(|b| vec![*b]).collect::<Vec<_>>();
    match decoder {
        "answers" => answers::check_answer(bytes, single()),
        "callers" => callers::check_requests(bytes, single()),
        "claims" => product_records::check_claim(last, bytes),
        "completions" => product_answers::check_completion(bytes, single()),
        "config_records" => product_records::check_config_record(last, bytes),
        "duties" => product_records::check_duty(last, bytes),
        "events" => answers::check_events(bytes, &single()),
        "key_calls" => stage_messages::check_once(bytes),
        "leaving_nodes" => stage_messages::check_leaving(bytes),
        "stage_runs" => stage_messages::check_stage_run(bytes),
        "run_requests" => stage_messages::check_run(bytes),
        "frames" => product_messages::check_frame(bytes),
        "gossip" => product_messages::check_sync(bytes),
        "hosts" => product_answers::fixture().check_hosts(bytes),
        "log_pages" => product_answers::fixture().check_log(bytes),
        "orders" => platform_records::check_config(bytes),
        "pieces" => platform_records::check_pieces(StatusCode::OK, false, bytes),
        "piece_queues" => product_messages::check_stage_done(bytes),
        "plain_answers" => product_answers::fixture().check_plain(bytes),
        "placements" => product_messages::check_place(bytes),
        "platform_settings" => platform_records::check_settings(&text),
        "settings" => product_records::check_settings(&text),
        "sheets" => product_records::check_sheet(&text),
        "servers" => platform_records::check_server(u64::MAX, "i-1", bytes),
        "store_lists" => store::fixture().check_newest(bytes),
        "store_pages" => store::fixture().check_page(0, bytes),
        "tables" => product_messages::check_table(bytes),
        "views" => product_messages::check_pull(bytes),
        other => panic!("no decoder reads {other}"),
    }
}

#[test]
fn known_inputs_are_decoded_or_refused() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/testsuite/decoders/corpus");
    let mut count = 0;
    for folder in std::fs::read_dir(root).unwrap().map(|f| f.unwrap()) {
        let decoder = folder.file_name().into_string().unwrap();
        for (path, bytes) in inputs(&folder.path()) {
            println!("{}", path.display());
            decode(&decoder, &bytes);
            count += 1;
        }
    }
    assert!(count > 0, "the corpus is found");
}
