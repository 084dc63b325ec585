/*!
What entries say to one another.

Entries exchange signs of life, rows that were just written, promises to stop renewing and strikes
against requests. Nothing is agreed here: what must be agreed goes through the platform's table, and
a row from a peer counts only if its version is higher than the one known. A peer of another cluster
or protocol version is refused before anything it says is used. See docs/DESIGN.md.
*/

mod error;
mod message;
mod rpc;

pub use crate::{
    error::{Error, Rejection},
    message::{BootstrapState, Hello, Versioned, Welcome},
    rpc::{Client, PeerService, PeerServiceClient, connect, listen},
};

/// The version of the protocol between entries; two that differ refuse one another.
pub const PROTOCOL: u32 = 1;
