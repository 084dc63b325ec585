//! Errors of requests to the platform.

use std::fmt;

/// The cause of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request did not take effect: it was not sent, or the platform refused it.
    Refused,
    /// The request may have taken effect, since no complete response arrived.
    Ambiguous,
    /// The object does not exist.
    NotFound,
    /// The response is not what the platform's interface specifies.
    Malformed,
    /// The table is at an earlier revision than before: it has lost commits.
    WentBack,
}

/// A failed request to the platform.
#[derive(Clone, Debug)]
pub struct Error {
    kind: ErrorKind,
    /// The failure of the call; none if the response itself is the error.
    cause: Option<wire::Error>,
}

impl Error {
    /// Returns the error of a table that is at an earlier revision than before.
    pub(crate) const fn went_back() -> Self {
        Self { kind: ErrorKind::WentBack, cause: None }
    }

    /// Returns the cause of the error.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl From<wire::Error> for Error {
    fn from(cause: wire::Error) -> Self {
        const NOT_FOUND: u16 = 404;
        const UNAVAILABLE: u16 = 503;
        let kind = match cause.kind() {
            wire::ErrorKind::Unsent | wire::ErrorKind::Status(UNAVAILABLE) => ErrorKind::Refused,
            wire::ErrorKind::Status(NOT_FOUND) => ErrorKind::NotFound,
            wire::ErrorKind::Malformed | wire::ErrorKind::TooLarge(_) => ErrorKind::Malformed,
            _ => ErrorKind::Ambiguous,
        };
        Self { kind, cause: Some(cause) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.cause {
            Some(cause) => write!(out, "request to the platform failed: {cause}"),
            None => out.write_str("the platform's table has gone back to an earlier revision"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        let cause = self.cause.as_ref()?;
        Some(cause)
    }
}
