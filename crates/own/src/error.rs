//! Errors of the ownership protocol.

use {crate::cell, thiserror::Error as Derive};

/// An input that was rejected without any change of state.
#[derive(Clone, Debug, Derive, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The text of a row is not in the format that this version writes.
    #[error("cannot decode row `{name}`: {detail}")]
    InvalidRow {
        /// The name of the row.
        name: String,
        /// The cause.
        detail: String,
    },
    /// The request is based on an outdated row.
    #[error("the request is based on an outdated row of cell {0}")]
    StaleRow(cell::Name),
    /// The cell is not known to this process.
    #[error("unknown cell {0}")]
    UnknownCell(cell::Name),
}
