//! Settings files are checked with line and column.

use limpetmux::core::answer_limits::AnswerLimits;
use limpetmux::settings::{
    EntrySettings, LogSettings, MetricsSettings, PlatformSettings, Role, Settings, SettingsError,
    SidecarSettings, TlsSettings, load, parse,
};
use limpetmux_test_support::tls::Authority;
use miette::{Diagnostic, SourceSpan};
use serde::de::{DeserializeOwned, Error, Visitor};
use serde::{Deserializer, forward_to_deserialize_any};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const ENTRY: &str = include_str!("../../examples/ph-luzon/entry.jsonc");

/// Returns the message and the text under each label of the error that an edit causes.
fn error_of(from: &str, to: &str) -> (String, Vec<String>) {
    assert!(ENTRY.contains(from));
    let text = ENTRY.replace(from, to);
    let error = parse("entry.jsonc", &text).unwrap_err();
    let under = |span: &SourceSpan| text[span.offset()..span.offset() + span.len()].to_owned();
    let labels = error.labels().into_iter().flatten().map(|l| under(l.inner())).collect();
    (error.to_string(), labels)
}

fn examples() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let deployments = ["ph-luzon", "sierra-costa"];
    let files = deployments.iter().flat_map(|d| ["entry.jsonc", "sidecar.jsonc"].map(|f| (d, f)));
    files.map(|(deployment, file)| root.join(deployment).join(file)).collect()
}

#[test]
fn examples_are_valid() {
    for path in examples() {
        let settings = load(&path).unwrap();
        let role = if path.ends_with("entry.jsonc") { Role::Entry } else { Role::Sidecar };

        assert!(settings.require(role, &path).is_ok());
    }
}

#[test]
fn unknown_field_is_pointed_at() {
    let (message, labels) = error_of("\"ordinal\"", "\"ordnal\"");

    assert!(message.starts_with("unknown field `ordnal`"), "{message}");
    assert_eq!(labels, ["\"ordnal\""]);
}

#[test]
fn duration_with_a_unit_is_pointed_at() {
    let (message, labels) = error_of("30000", "\"30s\"");

    assert!(message.starts_with("invalid type: string \"30s\""), "{message}");
    assert_eq!(labels, ["\"30s\""]);
}

#[test]
fn clashing_addresses_are_both_pointed_at() {
    let (message, labels) = error_of("127.0.0.1:8080", "127.0.0.1:7100");

    assert_eq!(message, "two addresses clash: 127.0.0.1:7100");
    assert_eq!(labels, ["\"127.0.0.1:7100\"", "\"127.0.0.1:7100\""]);
}

#[test]
fn limit_on_answers_out_of_its_range_is_pointed_at() {
    let sidecar = include_str!("../../examples/ph-luzon/sidecar.jsonc");
    let cases = [
        ("answer_bytes", 0, 8_388_608),
        ("answer_bytes", 65_535, 8_388_608),
        ("answer_bytes", 8_388_609, 8_388_608),
        ("stream_bytes", 0, 16_777_216),
        ("stream_bytes", 16_777_217, 16_777_216),
    ];
    for (field, bytes, most) in cases {
        let text = sidecar.replace("\"backend\"", &format!("\"{field}\": {bytes}, \"backend\""));

        let error = parse("sidecar.jsonc", &text).unwrap_err();

        assert_eq!(error.to_string(), format!("{bytes} bytes are not between 65536 and {most}"));
        let label = error.labels().unwrap().next().unwrap();
        assert_eq!(text[label.offset()..label.offset() + label.len()], bytes.to_string());
    }
}

#[test]
fn limits_on_answers_have_defaults_and_can_be_set() {
    let sidecar = include_str!("../../examples/ph-luzon/sidecar.jsonc");
    let fields = "\"answer_bytes\": 65536, \"stream_bytes\": 70000, \"backend\"";
    let limits = |text: &str| parse("sidecar.jsonc", text).unwrap().sidecar.unwrap().limits();

    let (default, set) = (limits(sidecar), limits(&sidecar.replace("\"backend\"", fields)));

    assert_eq!(default, AnswerLimits::SIDECAR);
    assert_eq!(set, AnswerLimits { plain: 65_536, stream: 70_000, ..AnswerLimits::SIDECAR });
}

#[test]
fn missing_zone_is_named() {
    let (message, labels) = error_of("\"zone\": \"mnl-a\",", "");

    assert_eq!(message, "missing field `zone`");
    assert_eq!(labels, ["{"]);
}

#[test]
fn malformed_url_is_pointed_at() {
    let (message, labels) = error_of("http://127.0.0.1:9000", "127.0.0.1:9000");

    assert_eq!(message, "`127.0.0.1:9000` is not an http URL");
    assert_eq!(labels, ["\"127.0.0.1:9000\""]);
}

/// Returns the cause of the error of a `tls` section, and the text that it points at.
fn tls_error_of(tls: &serde_json::Value) -> (String, Vec<String>) {
    let section = format!("\"tls\": {tls}, \"log\"");
    let text = ENTRY.replace("\"log\": {", &format!("{section}: {{"));
    let error = parse("entry.jsonc", &text).unwrap_err();
    let under = |span: &SourceSpan| text[span.offset()..span.offset() + span.len()].to_owned();
    let labels = error.labels().into_iter().flatten().map(|l| under(l.inner())).collect();
    let cause = std::error::Error::source(&error).map_or(error.to_string(), ToString::to_string);
    (cause, labels)
}

#[test]
fn key_of_another_certificate_is_pointed_at() {
    let (dir, authority) = (Path::new(env!("CARGO_TARGET_TMPDIR")), Authority::new());
    let mut tls = authority.write_files(dir, "settings_pair");
    let other = authority.write_files(dir, "settings_other");
    tls["key"] = other["key"].clone();

    let (cause, labels) = tls_error_of(&tls);

    assert_eq!(cause, "the key cannot be used with the certificate");
    assert_eq!(labels, [other["key"].to_string()]);
}

#[test]
fn missing_and_malformed_certificates_are_pointed_at() {
    let (dir, authority) = (Path::new(env!("CARGO_TARGET_TMPDIR")), Authority::new());
    let good = authority.write_files(dir, "settings_files");
    let garbage = dir.join("settings_garbage.pem");
    std::fs::write(&garbage, "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
        .unwrap();
    let with = |field: &str, path: &Path| {
        let mut tls = good.clone();
        tls[field] = serde_json::json!(path);
        (tls_error_of(&tls), vec![tls[field].to_string()])
    };

    let (missing, at_missing) = with("certificate", &dir.join("settings_nowhere.pem"));
    let (swapped, at_swapped) = with("certificate", Path::new(good["key"].as_str().unwrap()));
    let (malformed, at_malformed) = with("authority", &garbage);
    let mut without = good.clone();
    without.as_object_mut().unwrap().remove("key");

    assert_eq!(missing, ("cannot read the file of `certificate`".to_owned(), at_missing));
    let message = "the file of `certificate` holds no PEM block of a certificate";
    assert_eq!(swapped, (message.to_owned(), at_swapped));
    let message = "the authority's certificate cannot be used";
    assert_eq!(malformed, (message.to_owned(), at_malformed));
    assert_eq!(tls_error_of(&without).0, "missing field `key`");
}

#[test]
fn role_without_its_section_is_refused() {
    let path = &examples()[0];

    let error = load(path).unwrap().require(Role::Sidecar, path).unwrap_err();

    assert!(matches!(error, SettingsError::MissingSection { role: Role::Sidecar, .. }));
}

/// Collects the field names of a settings struct, which its `Deserialize` asks for.
struct Fields<'a>(&'a mut Vec<&'static str>);

impl<'de> Deserializer<'de> for Fields<'_> {
    type Error = serde::de::value::Error;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Self::Error> {
        Err(Self::Error::custom("not a struct"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error> {
        self.0.extend(fields);
        self.deserialize_any(visitor)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}

/// Returns the names of a section's fields, each with the section's prefix.
fn fields<T: DeserializeOwned>(prefix: &str) -> Vec<String> {
    let mut names = Vec::new();
    let _ = T::deserialize(Fields(&mut names));
    names.into_iter().map(|field| format!("{prefix}{field}")).collect()
}

#[test]
fn table_of_settings_equals_code() {
    let page = include_str!("../../docs/OPERATIONS.md");
    let section = page.split("## Settings").nth(1).unwrap().split("\n## ").next().unwrap();
    let row = |line: &str| Some(line.strip_prefix("| `")?.split('`').next()?.to_owned());
    let listed: BTreeSet<String> = section.lines().filter_map(row).collect();

    let all = [
        fields::<Settings>(""),
        fields::<PlatformSettings>("platform."),
        fields::<TlsSettings>("tls."),
        fields::<EntrySettings>("entry."),
        fields::<SidecarSettings>("sidecar."),
        fields::<LogSettings>("log."),
        fields::<MetricsSettings>("metrics."),
    ];
    let sections = ["platform", "tls", "entry", "sidecar", "log", "metrics"];
    let known = all.concat().into_iter().filter(|f| !sections.contains(&f.as_str())).collect();

    assert_eq!(listed, known);
}
