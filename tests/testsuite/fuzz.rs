//! Input from outside never crashes the process: it is parsed or refused.
//!
//! Each property sees arbitrary bytes and valid inputs with a few bytes changed, from fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use limpetmux::adapters::backend_http::token_stream;
use limpetmux::core::answer_limits::AnswerLimits;
use limpetmux::core::config::{Config, Fold, record};
use limpetmux::core::planner::{DutyFold, DutyRecord};
use limpetmux::core::revision::Offset;
use limpetmux::ops::sheet::Sheet;
use limpetmux_test_support::changes::{change_record, first_change};
use limpetmux_test_support::{check_cases, small_config};

const CASES: u64 = 400;

/// Draws arbitrary bytes, or a valid input with up to eight bytes changed or cut off.
fn mutate(u: &mut Unstructured<'_>, valid: &[u8]) -> Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return u.arbitrary();
    }
    let mut data = valid.to_vec();
    for _ in 0..u.int_in_range(0..=8)? {
        let at = u.choose_index(data.len())?;
        data[at] = u.arbitrary()?;
    }
    if u.ratio(1, 4)? {
        data.truncate(u.choose_index(data.len())?);
    }
    Ok(data)
}

#[test]
fn fold_gives_a_verdict_on_any_record() {
    let valid = change_record(first_change(&small_config()));
    check_cases(CASES, |u| {
        let mut fold = Fold::new();
        let data = mutate(u, &valid)?;

        let step = fold.step(Offset(0), &data);

        let decoded = record::decode(&data);
        assert_eq!(fold.next(), Offset(u64::from(step.is_ok())), "{decoded:?}");
        Ok(())
    });
}

#[test]
fn duties_are_parsed_or_refused() {
    let grant = DutyRecord::Grant { holder: "a".to_owned(), previous: None };
    let valid = grant.encode().unwrap();
    check_cases(CASES, |u| {
        let data = mutate(u, &valid)?;
        let mut fold = DutyFold::new(Offset(0));

        match DutyRecord::decode(&data) {
            Ok(record) => drop(fold.fold(Offset(0), &record)),
            Err(_) => fold.skip(Offset(0)),
        }

        assert_eq!(fold.next(), Offset(1));
        Ok(())
    });
}

#[test]
fn sheets_are_parsed_or_refused() {
    let valid = include_bytes!("../../examples/sheets/ph-luzon-weekday.csv");
    check_cases(CASES, |u| {
        let data = mutate(u, valid)?;
        let text = String::from_utf8_lossy(&data);

        let sheet = Sheet::parse("sheet.csv", &text);

        if let Err(error) = sheet {
            assert!(!error.to_string().is_empty());
        }
        Ok(())
    });
}

#[test]
fn declarations_are_parsed_or_refused() {
    let valid = serde_json::to_vec(&small_config()).unwrap();
    check_cases(CASES, |u| {
        let data = mutate(u, &valid)?;
        let text = String::from_utf8_lossy(&data);

        let config = limpetmux::util::jsonc::parse::<Config>("config.jsonc", &text, "declarations");

        if let Ok(config) = config {
            limpetmux::core::config::check(&config);
        }
        Ok(())
    });
}

/// Parses a completion's body that arrives in parts.
fn parse_parts(parts: Vec<Vec<u8>>) -> Vec<Result<Bytes, String>> {
    let body = stream::iter(parts.into_iter().map(|part| Ok(Bytes::from(part))));
    let tokens = token_stream(AnswerLimits::SIDECAR, body, false);
    let tokens = tokens.map(|t| t.map(|t| t.payload).map_err(|e| e.to_string()));
    tokens.collect().now_or_never().unwrap()
}

#[test]
fn completion_is_parsed_alike_however_it_is_split() {
    let valid = b"data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n\
        data: {\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    assert_eq!(parse_parts(vec![valid.to_vec()]), [Ok("a".into()), Ok("b".into())]);
    check_cases(CASES, |u| {
        let data = mutate(u, valid)?;
        let mut parts = Vec::new();
        let mut rest = data.as_slice();
        while !rest.is_empty() {
            let (part, remaining) = rest.split_at(u.int_in_range(1..=rest.len())?);
            parts.push(part.to_vec());
            rest = remaining;
        }

        let split = parse_parts(parts);

        assert_eq!(split, parse_parts(vec![data]));
        Ok(())
    });
}
