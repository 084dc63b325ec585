//! Reading JSON with comments, with positions.

use {
    crate::{Error, ErrorKind, Position},
    json_comments::{CommentSettings, StripComments},
    jsonc_parser::{CollectOptions, ParseOptions, ast::Value, common::Ranged, parse_to_ast},
    serde::de::DeserializeOwned,
    std::io::Read,
};

/// One step from a value to one inside it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step<'a> {
    Field(&'a str),
    Item(usize),
}

/// Reads a value, blanking comments to the same length so that positions stay true.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let mut plain = String::with_capacity(text.len());
    StripComments::with_settings(CommentSettings::c_style(), text.as_bytes())
        .read_to_string(&mut plain)
        .map_err(|error| Error::new(ErrorKind::Invalid(error.to_string()), None))?;
    serde_json::from_str(&plain).map_err(|error| {
        let line_start: usize =
            plain.split_inclusive('\n').take(error.line().saturating_sub(1)).map(str::len).sum();
        let position = position(text, line_start + error.column().saturating_sub(1));
        Error::new(ErrorKind::Invalid(without_position(&error)), Some(position))
    })
}

fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let suffix = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&suffix).unwrap_or(&text).to_owned()
}

/// Returns where the value at the end of `path` starts, or the nearest around it that is there: a
/// value that was left out has no place of its own.
pub(crate) fn locate(text: &str, path: &[Step<'_>]) -> Option<Position> {
    let ast = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
    let mut value = ast.value.as_ref()?;
    for step in path {
        match enter(value, *step) {
            Some(inner) => value = inner,
            None => break,
        }
    }
    Some(position(text, value.range().start))
}

fn enter<'a, 'b>(value: &'b Value<'a>, step: Step<'_>) -> Option<&'b Value<'a>> {
    match (value, step) {
        (Value::Object(object), Step::Field(name)) => object.get(name).map(|found| &found.value),
        (Value::Array(array), Step::Item(index)) => array.elements.get(index),
        _ => None,
    }
}

fn position(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Position { line, column: before[line_start..].chars().count() + 1 }
}
