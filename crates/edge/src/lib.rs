/*!
One entry process on the users' platform.

Traffic runs on one thread and reads an immutable view that the control thread replaces;
it never waits for the store. The control thread reads the store's feeds, exchanges reports with its
peers and, in the one entry that leads, plans who holds which keys (crate `hold`). All names of the
platform are met in the crate `platform`. See docs/PLATFORM.md.
*/

mod control;
mod error;
mod metrics;
mod process;
mod shared;
mod snapshot;
mod traffic;

pub use crate::{error::Error, process::run};
