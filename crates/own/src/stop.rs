//! Requests to stop renewing, whose acknowledgement proves that another process has stopped.

use {
    crate::cell,
    key::{Process, Term, Version, Vm},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A request to a process to stop renewing, for one target or for a whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The cell.
    pub cell: cell::Name,
    /// The term of the primary that sends the request.
    pub term: Term,
    /// The version of the row on which the request is based.
    pub version: Version,
    /// The target, or `None` to stop all renewals that earlier terms permit.
    pub target: Option<Vm>,
}

/// A promise not to renew again until the row has a higher version than that of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The process that promises.
    pub process: Process,
    /// The time, counted from this acknowledgement, after which no lease that the process granted
    /// can still be in force.
    pub ends_in: Duration,
}
