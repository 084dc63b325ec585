//! Parsing of JSON with comments, and the positions of values in the text.
//!
//! Serde reports the position of a value that fails to deserialize. A check that runs afterwards
//! has no position, so [`locate`] parses the text a second time; this happens only for an error.

use {
    crate::{Error, ErrorKind, Position},
    json_comments::{CommentSettings, StripComments},
    jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast},
    serde::de::DeserializeOwned,
    std::io::Read,
};

/// One step of a path from a JSON value to a value inside it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step<'a> {
    Field(&'a str),
    Element(usize),
}

/// Deserializes a value. Comments are replaced by blanks of the same length, so that the positions
/// that serde reports are those of the original text.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let mut stripped = String::with_capacity(text.len());
    StripComments::with_settings(CommentSettings::c_style(), text.as_bytes())
        .read_to_string(&mut stripped)
        .map_err(|error| Error::new(ErrorKind::Invalid(error.to_string()), None))?;
    serde_json::from_str(&stripped).map_err(|error| {
        let line_start: usize =
            stripped.split_inclusive('\n').take(error.line().saturating_sub(1)).map(str::len).sum();
        let position = position(text, line_start + error.column().saturating_sub(1));
        Error::new(ErrorKind::Invalid(without_position(&error)), Some(position))
    })
}

fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&suffix).unwrap_or(&text).to_owned()
}

/// Returns the position at which the value at `path` starts.
///
/// Returns that of the innermost enclosing value which is present if the value itself was left out,
/// and `None` if the text cannot be parsed.
pub(crate) fn locate(text: &str, path: &[Step<'_>]) -> Option<Position> {
    let ast = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
    let mut value = ast.value.as_ref()?;
    for step in path {
        match child(value, *step) {
            Some(inner) => value = inner,
            None => break,
        }
    }
    Some(position(text, value.range().start))
}

fn child<'a, 'b>(value: &'b Value<'a>, step: Step<'_>) -> Option<&'b Value<'a>> {
    match (value, step) {
        (Value::Object(object), Step::Field(name)) => object.get(name).map(|found| &found.value),
        (Value::Array(array), Step::Element(index)) => array.elements.get(index),
        _ => None,
    }
}

fn position(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Position { line, column: before[line_start..].chars().count() + 1 }
}
