//! Reads and checks a settings file; errors point to the position in the file.

use super::{Role, Settings, TlsSettings};
use crate::adapters::tls::TlsError;
use crate::core::answer_limits::{MAX_SIDECAR_BYTES, MIN_SIDECAR_BYTES};
use crate::core::memory::MIN_CALLER_BYTES;
use crate::core::read_limits::MAX_TOKENS_BYTES;
use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use miette::{NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use std::path::Path;
use std::sync::Arc;

/// The help text for a value of the wrong type, mostly a duration written with a unit.
const UNIT_HELP: &str = "durations and sizes are whole numbers of the unit in the field's name";

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings file {path}")]
    Read {
        /// The file.
        path: String,
        /// Why it cannot be read.
        #[source]
        source: std::io::Error,
    },
    /// The text is not JSON with comments, or a field is unknown, missing or of another type.
    #[error("{message}")]
    Parse {
        /// What is wrong.
        message: String,
        /// How to fix it, if known.
        #[help]
        help: Option<&'static str>,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The position of the error.
        #[label("here")]
        span: SourceSpan,
    },
    /// Two addresses of the process are the same.
    #[error("two addresses clash: {address}")]
    AddressClash {
        /// The address.
        address: String,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The first use.
        #[label("used here")]
        first: SourceSpan,
        /// The second use.
        #[label("and here")]
        second: SourceSpan,
    },
    /// A base URL is not an http or https URL.
    #[error("`{value}` is not an http URL")]
    Url {
        /// The value.
        value: String,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The field.
        #[label("here")]
        span: SourceSpan,
    },
    /// A size is out of its range.
    #[error("{bytes} bytes are not between {least} and {most}")]
    Size {
        /// The value.
        bytes: usize,
        /// The least value that can be used.
        least: usize,
        /// The highest value that can be used.
        most: usize,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The field.
        #[label("here")]
        span: SourceSpan,
    },
    /// A certificate or a key cannot be used.
    #[error("the certificates cannot be used")]
    Tls {
        /// The file, and why it cannot be used.
        #[source]
        error: TlsError,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The field that names the file.
        #[label("here")]
        span: SourceSpan,
    },
    /// The section that a role needs is missing.
    #[error("a process that runs as {role} needs a `{role}` section")]
    MissingSection {
        /// The role.
        role: Role,
        /// The file's name and text.
        #[source_code]
        text: Arc<NamedSource<String>>,
    },
}

/// The name and text of a settings file.
struct Source<'a> {
    name: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn named_source(&self) -> Arc<NamedSource<String>> {
        Arc::new(NamedSource::new(self.name, self.text.to_owned()).with_language("json"))
    }

    /// Returns the span of a field's value, or the whole file if the field is absent.
    fn span(&self, path: &[&str]) -> SourceSpan {
        let ast = parse_to_ast(self.text, &CollectOptions::default(), &ParseOptions::default());
        let value = ast.ok().and_then(|ast| ast.value);
        let range = value.as_ref().and_then(|v| find_range(v, path));
        range.map_or_else(|| (0, self.text.len()).into(), to_span)
    }
}

fn to_span(range: Range) -> SourceSpan {
    (range.start, range.end.saturating_sub(range.start).max(1)).into()
}

fn find_range(value: &Value<'_>, path: &[&str]) -> Option<Range> {
    let Some((first, rest)) = path.split_first() else { return Some(value.range()) };
    match value {
        Value::Object(object) => find_range(&object.get(first)?.value, rest),
        Value::Array(array) => find_range(array.elements.get(first.parse::<usize>().ok()?)?, rest),
        _ => None,
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns [`SettingsError`] for the first error found.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let (name, text) = read(path)?;
    parse(&name, &text)
}

/// Reads and checks a file that holds only a `tls` section, as operators' commands use it.
///
/// # Errors
/// Returns [`SettingsError`] for the first error found.
pub fn load_tls(path: &Path) -> Result<TlsSettings, SettingsError> {
    let (name, text) = read(path)?;
    let source = Source { name: &name, text: &text };
    let tls: TlsSettings = parse_section(&source)?;
    check_tls(&source, &tls, &[])?;
    Ok(tls)
}

fn read(path: &Path) -> Result<(String, String), SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(source) => Err(SettingsError::Read { path: name, source }),
    }
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// Returns [`SettingsError`] for the first error found.
pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
    let source = Source { name, text };
    let settings: Settings = parse_section(&source)?;
    check_addresses(&source, &settings)?;
    check_urls(&source, &settings)?;
    check_sizes(&source, &settings)?;
    if let Some(tls) = &settings.tls {
        check_tls(&source, tls, &["tls"])?;
    }
    Ok(settings)
}

fn parse_section<T: DeserializeOwned>(source: &Source<'_>) -> Result<T, SettingsError> {
    parse_to_serde_value(source.text, &ParseOptions::default())
        .map_err(|error| parse_error(source, &error))
}

/// Checks the files that the `tls` section at `path` names.
fn check_tls(source: &Source<'_>, tls: &TlsSettings, path: &[&str]) -> Result<(), SettingsError> {
    let Err(error) = tls.channels() else { return Ok(()) };
    let field: &str = error.field().into();
    let span = source.span(&[path, &[field]].concat());
    Err(SettingsError::Tls { error, text: source.named_source(), span })
}

impl Settings {
    /// Checks that the settings have the section that a role needs.
    ///
    /// # Errors
    /// Returns [`SettingsError::MissingSection`] if the section is missing.
    pub fn require(&self, role: Role, path: &Path) -> Result<(), SettingsError> {
        let is_present = match role {
            Role::Entry => self.entry.is_some(),
            Role::Sidecar => self.sidecar.is_some(),
        };
        if is_present {
            return Ok(());
        }
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).unwrap_or_default();
        Err(SettingsError::MissingSection { role, text: Arc::new(NamedSource::new(name, text)) })
    }
}

fn parse_error(source: &Source<'_>, error: &ParseError) -> SettingsError {
    let message = error.kind().to_string();
    let range = unknown_field_range(source, error, &message).unwrap_or(error.range());
    let help = message.starts_with("invalid type").then_some(UNIT_HELP);
    SettingsError::Parse { message, help, text: source.named_source(), span: to_span(range) }
}

/// Finds the span of an unknown field's name; the parser reports only the object that holds it.
fn unknown_field_range(source: &Source<'_>, error: &ParseError, message: &str) -> Option<Range> {
    let name = message.strip_prefix("unknown field `")?.split('`').next()?;
    let options = CollectOptions::default();
    let ast = parse_to_ast(source.text, &options, &ParseOptions::default()).ok()?;
    find_field(ast.value.as_ref()?, error.range().start, name).map(|p| p.name.range())
}

fn find_field<'a, 'b>(
    value: &'b Value<'a>,
    start: usize,
    name: &str,
) -> Option<&'b ObjectProp<'a>> {
    match value {
        Value::Object(object) if object.range.start == start => object.get(name),
        Value::Object(object) => {
            object.properties.iter().find_map(|p| find_field(&p.value, start, name))
        }
        Value::Array(array) => array.elements.iter().find_map(|v| find_field(v, start, name)),
        _ => None,
    }
}

fn check_addresses(source: &Source<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let listen = ("listen".to_owned(), settings.listen);
    let http = settings.entry.iter().map(|e| ("entry.http".to_owned(), e.http));
    let peers = settings.peers.iter().enumerate().map(|(i, p)| (format!("peers.{i}"), *p));
    let all: Vec<_> = std::iter::once(listen).chain(http).chain(peers).collect();
    for (i, (second, address)) in all.iter().enumerate() {
        let clash = all[..i].iter().find(|(_, a)| a == address && address.port() != 0);
        if let Some((first, _)) = clash {
            let span = |path: &str| source.span(&path.split('.').collect::<Vec<_>>());
            return Err(SettingsError::AddressClash {
                address: address.to_string(),
                text: source.named_source(),
                first: span(first),
                second: span(second),
            });
        }
    }
    Ok(())
}

/// Checks the memory for bodies, and the limits on answers, whose highest values the bounds between
/// processes give.
fn check_sizes(source: &Source<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let held = settings.entry.as_ref().map_or(MIN_CALLER_BYTES, |e| e.max_held);
    if held < MIN_CALLER_BYTES {
        let (text, span) = (source.named_source(), source.span(&["entry", "memory_bytes"]));
        let (least, most) = (MIN_CALLER_BYTES, usize::MAX);
        return Err(SettingsError::Size { bytes: held, least, most, text, span });
    }
    let Some(sidecar) = &settings.sidecar else { return Ok(()) };
    let least = MIN_SIDECAR_BYTES;
    let sizes = [
        ("answer_bytes", sidecar.max_answer, MAX_SIDECAR_BYTES),
        ("stream_bytes", sidecar.max_stream, MAX_TOKENS_BYTES),
    ];
    for (field, bytes, most) in sizes {
        if !(least..=most).contains(&bytes) {
            let (text, span) = (source.named_source(), source.span(&["sidecar", field]));
            return Err(SettingsError::Size { bytes, least, most, text, span });
        }
    }
    Ok(())
}

fn check_urls(source: &Source<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let platform = &settings.platform;
    let urls = [
        (&["platform", "log"], Some(&platform.log)),
        (&["platform", "hosts"], platform.hosts.as_ref()),
        (&["platform", "weights"], platform.weights.as_ref()),
        (&["platform", "power"], platform.power.as_ref()),
        (&["sidecar", "backend"], settings.sidecar.as_ref().map(|s| &s.backend)),
    ];
    for (path, url) in urls {
        let Some(url) = url else { continue };
        let is_http =
            reqwest::Url::parse(url).is_ok_and(|u| matches!(u.scheme(), "http" | "https"));
        if !is_http {
            let (value, span) = (url.clone(), source.span(path));
            return Err(SettingsError::Url { value, text: source.named_source(), span });
        }
    }
    Ok(())
}
