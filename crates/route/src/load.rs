//! The load of a target.

/// The load that a target names in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait in its queue.
    pub waiting: u32,
    /// The number of requests that it can run at once; at least one.
    pub slots: u32,
    /// How long work takes on its VM at this moment, in percent of the usual, if it says so.
    pub work_percent: Option<u32>,
}
