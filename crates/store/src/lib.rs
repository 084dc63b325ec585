/*!
A client of the platform's table, object store and list of VMs.

Entries coordinate and persist state only through these three, so this crate alone models their
failures. A commit has a third result besides success and failure, because its response can be lost
after it took effect ([`Commit::Ambiguous`]), and every caller has to handle it. The list of VMs may
be outdated, but it never reports a VM as [`VmState::Gone`] while the VM still runs, which the
ownership protocol requires. See docs/DESIGN.md.
*/

mod client;
mod error;
pub mod table;
pub mod vms;

pub use crate::{
    client::{Client, Config},
    error::{Error, ErrorKind},
    table::{Commit, Row},
    vms::VmState,
};
