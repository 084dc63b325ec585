//! The types of the platform's transactional table, as they are sent over the wire.
//!
//! A row has a version that increases by one with each write, and the table has a revision that
//! increases with each commit, so that a reader which polls gets only the rows that changed since
//! its last scan.

use {
    key::Version,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the row.
    pub name: SmolStr,
    /// The version; zero if the row never existed.
    pub version: Version,
    /// The value; `None` if the row is absent or was removed.
    pub value: Option<String>,
}

/// A condition of a transaction: the version that a row must have for it to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The name of the row.
    pub name: SmolStr,
    /// The version; zero if the row must be absent.
    pub version: Version,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The name of the row.
    pub name: SmolStr,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// A set of writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes, all of which are applied if the conditions hold.
    pub writes: Vec<Write>,
}

/// The reply to a scan: the rows under a prefix that changed after a revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ScanReply {
    /// The revision from which the next scan continues.
    pub revision: u64,
    /// The changed rows; a removed row has no value.
    pub rows: Vec<Row>,
}

/// The platform's reply to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitReply {
    /// The transaction took effect; these are the new versions, in the order of the writes.
    Committed(Vec<Version>),
    /// A condition did not hold; these are the current rows, in the order of the conditions.
    Conflict(Vec<Row>),
}

/// The result of a transaction as the client knows it, including failures of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect; these are the new versions, in the order of the writes.
    Committed(Vec<Version>),
    /// It did not take effect because a condition did not hold; these are the current rows, in the
    /// order of the conditions.
    Conflict(Vec<Row>),
    /// It did not take effect, because the platform refused it or could not be reached.
    Refused,
    /// It may have taken effect already, may do so later, or not at all.
    Ambiguous,
}
