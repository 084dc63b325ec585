//! Errors of requests and responses.

use std::{fmt, net::SocketAddr};

/// The cause of an [`Error`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request was not sent, so the server has not run it.
    Unsent,
    /// The server may have run the request, but no complete response arrived within the limits of
    /// time and size.
    Ambiguous,
    /// The server sent a response with this status, which is not 200.
    Status(u16),
    /// The body could not be read within this limit, in bytes.
    TooLarge(usize),
    /// The body is not the expected JSON.
    Malformed,
}

/// A failed request, with the address of the server if this process sent it.
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

    /// Returns the cause of the error.
    #[must_use]
    pub const fn kind(&self) -> &ErrorKind {
        &self.kind
    }

    /// Returns the body of the response for [`ErrorKind::Status`], or else the message of the
    /// underlying error.
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
            ErrorKind::Unsent => write!(out, "request not sent: {}", self.detail),
            ErrorKind::Ambiguous => write!(out, "no complete response: {}", self.detail),
            ErrorKind::Status(status) => write!(out, "status {status}: {}", self.detail),
            ErrorKind::TooLarge(limit) => write!(out, "body exceeds the limit of {limit} bytes"),
            ErrorKind::Malformed => write!(out, "malformed JSON: {}", self.detail),
        }
    }
}

impl std::error::Error for Error {}
