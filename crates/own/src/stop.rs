//! The proof that another process has stopped renewing.

use {
    crate::cell,
    key::{Process, Term, Version, Vm},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Asks a process to stop renewing, for one target or for a whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The cell.
    pub cell: cell::Name,
    /// The term of the guardian that asks.
    pub term: Term,
    /// The version of the row that the guardian rests on.
    pub version: Version,
    /// The target, or nothing to give up every right under earlier terms.
    pub target: Option<Vm>,
}

/// The promise not to renew again until the row has a higher version than the one asked about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The process that promises.
    pub process: Process,
    /// The time after which no lease that it gave can still run, counted from this answer.
    pub ends_in: Duration,
}
