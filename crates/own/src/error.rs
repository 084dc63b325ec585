//! The failures of ownership.

use {crate::cell, thiserror::Error as Derive};

/// Input that cannot be used. Nothing changes when one is returned.
#[derive(Clone, Debug, Derive, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The text of a row is not what this version writes.
    #[error("row `{name}` cannot be read: {detail}")]
    InvalidRow {
        /// The name of the row.
        name: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The process that asks rests on a row that is out of date.
    #[error("cell {0} has a newer row")]
    StaleRow(cell::Name),
    /// The cell is not known here.
    #[error("cell {0} is unknown")]
    UnknownCell(cell::Name),
}
