//! Golden files of the sheet's diagnostics, and the example sheets.
//!
//! `UPDATE_EXPECT=1 cargo test --test testsuite sheet` rewrites the files.

use expect_test::{ExpectFile, expect_file};
use limpetmux::core::config::{Config, Fold, Ownership, check};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::ops::config::Plan;
use limpetmux::ops::sheet::{Sheet, SheetError};
use limpetmux::ops::{config_files, sheet_plan};
use limpetmux_test_support::changes::{change_record, first_change};
use limpetmux_test_support::small_config;
use miette::{GraphicalReportHandler, GraphicalTheme};
use std::path::{Path, PathBuf};

const WIDTH: usize = 100;
const DEPLOYMENTS: [&str; 2] = ["ph-luzon", "sierra-costa"];

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples")
}

fn assert_report(error: &SheetError, golden: &ExpectFile) {
    let theme = GraphicalTheme::unicode_nocolor();
    let mut report = String::new();
    GraphicalReportHandler::new_themed(theme)
        .with_width(WIDTH)
        .with_links(false)
        .render_report(&mut report, error)
        .unwrap();
    golden.assert_eq(&report);
}

/// Returns a sheet in which all zones and hosts of a configuration run, with text replaced.
fn sheet(config: &Config, replaced: &[(&str, &str)]) -> String {
    let zones = config.zones.keys().map(|z| format!("zone,{z},in"));
    let hosts = config.hosts.keys().map(|h| format!("host,{h},run"));
    let rows: Vec<String> = ["kind,name,state".into(), "configuration,revision,r1".into()]
        .into_iter()
        .chain(zones)
        .chain(hosts)
        .collect();
    let replace = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
    replaced.iter().fold(rows.join("\n") + "\n", replace)
}

fn resolve(text: &str) -> Result<Config, SheetError> {
    Sheet::parse("sheet.csv", text)?.resolve(&small_config())
}

#[test]
fn points_at_each_faulty_cell() {
    let text = "kind,name,state\n\
                # a comment\n\
                zone,mnl-a,in\n\
                zone,mnl-a,out\n\
                zone,mnl-b,in\n\
                zone,mnl-b,in\n\
                zone,mnl-c,open\n\
                rack,r1,on\n\
                host,\"Billing, first\",run\n\
                host,billing-0\n\
                configuration,revision,12\n\
                configuration,ph-luzon,xxh64:12\n\
                configuration,revision,r1\n\
                configuration,revision,r2\n";

    let error = Sheet::parse("sheet.csv", text).unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/cells.txt"]);
}

#[test]
fn points_at_wrong_header() {
    let error = Sheet::parse("sheet.csv", "kind;name;state\nzone;mnl-a;in\n").unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/header.txt"]);
}

#[test]
fn lists_unknown_and_missing_objects() {
    let changes = [("zone,mnl-b,in", "zone,cebu-a,in"), ("host,billing-1,", "host,biling-1,")];
    let text = sheet(&small_config(), &changes);

    let error = resolve(&text).unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/objects.txt"]);
}

#[test]
fn points_at_row_that_removes_last_backend_server() {
    let text = sheet(
        &small_config(),
        &[("zone,mnl-b,in", "zone,mnl-b,out"), ("billing-0,run", "billing-0,off")],
    );

    let error = resolve(&text).unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/no_server.txt"]);
}

#[test]
fn refuses_other_revision_than_planned() {
    let text = sheet(&small_config(), &[]);

    let error = Sheet::parse("sheet.csv", &text).unwrap().check_revision(Revision(7)).unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/revision.txt"]);
}

#[test]
fn refuses_sheet_without_configuration() {
    let text = sheet(&small_config(), &[("configuration,revision,r1\n", "")]);

    let error = Sheet::parse("sheet.csv", &text).unwrap_err();

    assert_report(&error, &expect_file!["golden/sheet/no_configuration.txt"]);
}

#[test]
fn plans_zone_out_as_one_dangerous_edit() {
    let mut fold = Fold::new();
    fold.step(Offset(0), &change_record(first_change(&small_config()))).unwrap();
    let text = sheet(&small_config(), &[("zone,mnl-b,in", "zone,mnl-b,out")]);

    let plan = Plan::new(&fold, &resolve(&text).unwrap(), Ownership::Declared);

    expect_file!["golden/sheet/zone_out.txt"].assert_eq(&plan.report());
    assert_eq!(plan.edits.len(), 1);
}

#[test]
fn example_sheets_fit_their_declarations() {
    for deployment in DEPLOYMENTS {
        let declared = config_files::load(&examples().join("config").join(deployment)).unwrap();
        assert_eq!(check(&declared), []);

        for day in ["weekday", "zone-out"] {
            let path = examples().join(format!("sheets/{deployment}-{day}.csv"));
            let target = sheet_plan::target(&path, None).unwrap();

            let stopped =
                declared.hosts.len() - target.hosts.values().filter(|h| h.running).count();
            assert!(stopped > 0, "{deployment} {day}");
        }
    }
}
