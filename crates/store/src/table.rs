//! The transactional table.
//!
//! A row has a version that grows by one with each write, and the table as a whole has a revision
//! that grows with each commit, so that a reader asks only for what changed since it last looked.

use {
    key::Version,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name.
    pub name: SmolStr,
    /// The version; zero for a row that never existed.
    pub version: Version,
    /// The text, or nothing for a row that was removed.
    pub value: Option<String>,
}

/// A row that must have a certain version for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The name.
    pub name: SmolStr,
    /// The version, zero where the row must be absent.
    pub version: Version,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The name.
    pub name: SmolStr,
    /// The new text, or nothing to remove the row.
    pub value: Option<String>,
}

/// A set of writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must be true.
    pub conditions: Vec<Condition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// The rows of a prefix that changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ScanReply {
    /// The revision to ask from next time.
    pub revision: u64,
    /// The changed rows; a removed row has no text.
    pub rows: Vec<Row>,
}

/// The platform's answer to a transaction, on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// It took effect; the versions are those of the writes, in order.
    Committed(Vec<Version>),
    /// A condition was false; the rows are those of the conditions, as they are.
    Conflict(Vec<Row>),
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect; the versions are those of the writes, in order.
    Committed(Vec<Version>),
    /// It did not take effect, since a condition was false; the rows as they are.
    Conflict(Vec<Row>),
    /// It did not take effect, since the platform refused it or could not be reached.
    Refused,
    /// It may have taken effect, now or later.
    Ambiguous,
}
