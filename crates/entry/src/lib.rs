/*!
The entry process, which routes the requests of callers to targets.

Traffic runs on a runtime of its own with several threads. It reads an immutable routing table, which
the control thread replaces, so it never waits for control and takes no lock to find an owner. Only
the control thread reads and changes the state of ownership, which therefore needs no locks; in turn,
it has to do all of this work on one thread. See docs/DESIGN.md.
*/

pub mod benchmark;
mod control;
mod error;
mod process;
mod shared;
mod snapshot;
mod traffic;

pub use crate::{
    control::operator::{
        Answer, CellStatus, ChangeError, ConfigChange, ConfigText, KeyStatus, PeerStatus, Status,
        TargetStatus,
    },
    error::Error,
    process::run,
};
