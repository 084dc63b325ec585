//! The failures of one exchange.

use std::{fmt, net::SocketAddr};

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// No connection could be opened, so the request has not run.
    Unsent,
    /// The request may have run, but its answer did not arrive in time or whole.
    Ambiguous,
    /// The other side answered with a status that is no success.
    Status(u16),
    /// The body is larger than the bound, in bytes.
    TooLarge(usize),
    /// The body is not the expected JSON.
    Malformed,
}

/// A failed exchange with the address it was meant for.
#[derive(Clone, Debug)]
pub struct Error {
    kind: ErrorKind,
    address: Option<SocketAddr>,
    detail: String,
}

impl Error {
    pub(crate) fn new(
        kind: ErrorKind,
        address: Option<SocketAddr>,
        detail: impl fmt::Display,
    ) -> Self {
        Self { kind, address, detail: detail.to_string() }
    }

    /// Returns why the exchange failed.
    #[must_use]
    pub const fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns the body of an answer that was no success, or the library's words.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(address) = self.address {
            write!(out, "{address}: ")?;
        }
        match &self.kind {
            ErrorKind::Unsent => write!(out, "not sent: {}", self.detail),
            ErrorKind::Ambiguous => write!(out, "no whole answer: {}", self.detail),
            ErrorKind::Status(status) => write!(out, "status {status}: {}", self.detail),
            ErrorKind::TooLarge(limit) => write!(out, "body exceeds {limit} bytes"),
            ErrorKind::Malformed => write!(out, "malformed JSON: {}", self.detail),
        }
    }
}

impl std::error::Error for Error {}
