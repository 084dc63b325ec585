/*!
The platform's table, object store and list of VMs, as the product sees them.

The product agrees and keeps everything through these three, so their faults are modelled here and
nowhere else: a write has three results, never two, because an answer can be lost after the write
took effect ([`Commit::Ambiguous`]). The list of VMs may be late, but an entry [`VmState::Gone`] is
never early; the rules of ownership rest on that. See docs/DESIGN.md.
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
