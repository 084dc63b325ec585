/*!
Decisions about one request: its service and key, its target, its retries, and its refusal.

Every decision is a function of its arguments or of a small value that the caller owns; this crate
does no I/O and reads no clock, so that each rule can be tested on its own. The data path of an
entry carries the decisions out. See docs/DESIGN.md.
*/

pub mod backpressure;
pub mod budget;
pub mod choice;
pub mod crash_log;
pub mod header;
pub mod hedge;
pub mod load;
pub mod locate;
pub mod outcome;
pub mod quarantine;
pub mod reach;

pub use crate::{
    backpressure::Backpressure,
    budget::Budget,
    crash_log::CrashLog,
    load::Load,
    outcome::{Outcome, Reason, Refusal},
    quarantine::Quarantine,
    reach::Reach,
};
