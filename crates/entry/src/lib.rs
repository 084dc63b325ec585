/*!
One entry process: callers on one side, targets on the other, and the control plane beside them.

Traffic runs on a runtime of its own with several threads and reads an immutable routing table that
the control thread replaces; it never waits for control and takes no lock to find an owner. The
control thread alone owns the state of ownership. See docs/DESIGN.md.
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
