/*!
An entry of the request router on the users' platform.

Two threads share the work. The traffic thread serves callers from an immutable snapshot of the
routing state and never waits for the store. The control thread replaces that snapshot: it follows
the store's tables and exchanges reports with the other entries. In the one entry that leads, it
also plans which target holds which keys and grants them (crate `hold`). So requests are served
while the store is unavailable, at the price of routing state that may be out of date. The crate
`platform` has all names of the platform's interfaces. See docs/PLATFORM.md.
*/

mod control;
mod error;
mod freshness;
mod gather;
mod metrics;
mod moves;
mod permit;
mod process;
mod shared;
mod snapshot;
mod sync;
mod traffic;
mod usage;

pub use crate::{error::Error, process::run};
