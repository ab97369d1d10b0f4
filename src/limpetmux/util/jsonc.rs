//! Parses JSON with comments; errors point to the position in the file.

use jsonc_parser::ParseOptions;
use jsonc_parser::errors::{ParseError, ParseErrorKind};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// A text cannot be parsed as the expected type.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{file}:{line}:{column}: the file cannot be read as {expected}")]
#[diagnostic(code(limpetmux::jsonc))]
pub struct JsoncError {
    file: String,
    line: usize,
    column: usize,
    expected: &'static str,
    #[source_code]
    text: NamedSource<String>,
    #[label("{reason}")]
    span: SourceSpan,
    reason: String,
}

/// Parses a text; comments and trailing commas are allowed.
///
/// # Errors
/// Returns [`JsoncError`] with the file, line and column of the first error.
pub fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    expected: &'static str,
) -> Result<T, Box<JsoncError>> {
    jsonc_parser::parse_to_serde_value(text, &options())
        .map_err(|e| Box::new(describe(file, text, expected, &e)))
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn describe(file: &str, text: &str, expected: &'static str, error: &ParseError) -> JsoncError {
    let range = error.range();
    let reason = match error.kind() {
        ParseErrorKind::Custom(reason) => reason.clone(),
        kind => kind.to_string(),
    };
    JsoncError {
        file: file.to_owned(),
        line: error.line_display(),
        column: error.column_display(),
        expected,
        text: NamedSource::new(file, text.to_owned()),
        span: (range.start..range.end).into(),
        reason,
    }
}
