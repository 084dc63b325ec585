//! Extraction of the service and the key that a request names.

use {
    crate::Reason,
    conf::services::{KeySource, Keyed},
};

/// Returns the first segment of a path, which names the service.
#[must_use]
pub fn service(path: &str) -> &str {
    segment(path, 0).unwrap_or_default()
}

/// Returns the key of a request, taken from the path segment or header that the service defines.
///
/// # Errors
///
/// Returns [`Reason::NoKey`] if the key is missing or empty.
pub fn key<'a>(
    keyed: &Keyed,
    path: &'a str,
    header: impl Fn(&str) -> Option<&'a str>,
) -> Result<&'a str, Reason> {
    let found = match &keyed.key {
        KeySource::Segment(index) => segment(path, index.get() as usize),
        KeySource::Header(name) => header(name),
    };
    found.filter(|key| !key.is_empty()).ok_or(Reason::NoKey)
}

fn segment(path: &str, index: usize) -> Option<&str> {
    path.split('/').skip(1).nth(index)
}
