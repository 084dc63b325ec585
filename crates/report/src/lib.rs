/*!
Decision logs, structured logs, metrics and burn rates of the router's processes.

Operators must be able to look up what the router decided, when and why. Every decision is a typed
[`Record`]; a [`DecisionLog`] keeps the newest in memory, from where they are shipped to the object
store in batches. A [`Journal`] writes structured lines to standard output, from which [`explain`]
reconstructs what happened to a request. The [`burn`] report compares the results that callers
received with the objectives in the operators' configuration. See docs/OPERATIONS.md.

Logs and metrics never delay a request: their queues are bounded, and what does not fit is dropped
and, in the logs, counted.
*/

pub mod burn;
pub mod explain;
mod html;
pub mod journal;
pub mod log;
pub mod metric;

pub use crate::{
    burn::BurnCounts,
    html::burn_page,
    journal::Journal,
    log::{DecisionLog, Kind, Record},
    metric::Metrics,
};
