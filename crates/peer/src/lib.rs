/*!
The protocol between entries: remote calls over TCP.

Entries exchange heartbeats, newly written rows, promises to stop renewing leases, and reports of
requests that crash their targets. The protocol distributes state and does not establish agreement:
what needs agreement goes through the platform's table, and a row from a peer is accepted only if
its version is higher than that of the known row. A peer of another cluster or protocol version is
rejected before any of its messages is used. See docs/DESIGN.md.
*/

mod error;
mod message;
mod rpc;

pub use crate::{
    error::{Error, Rejection},
    message::{BootstrapState, Hello, Versioned, Welcome},
    rpc::{Client, PeerService, PeerServiceClient, connect, listen},
};

/// The version of the protocol between entries. Entries with different versions reject each other.
pub const PROTOCOL: u32 = 1;
