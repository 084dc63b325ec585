/*!
What the product did, when and why, and how its services do against their objectives.

A decision that nobody can look up is a mystery at three in the morning. Every decision is a typed
[`Record`]; the newest are kept in a [`Ring`] and shipped to the object store in batches. The burn
report compares what callers saw with the objectives of the operators' text. See
docs/OPERATIONS.md.
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
