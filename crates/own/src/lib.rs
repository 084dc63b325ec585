/*!
The rules that decide which target owns which shard, free of input and output.

Each decision is a function of the state, an event and the time. [`Node`] holds the ownership state
of one entry process and handles each [`Event`] by returning [`Action`]s for the control thread to
carry out.

No function here reads a clock, draws a random number or sends a byte. Tests can therefore replay an
expired lease, a paused process, a lost reply or reordered messages as a plain sequence of events.
The cost is that the caller has to supply the time and perform every action.

The rules that keep a shard from having two owners are in docs/OWNERSHIP.md.
*/

pub mod cell;
pub mod decision;
mod election;
mod error;
mod failover;
pub mod lease;
mod ledger;
mod node;
pub mod plan;
mod primary;
mod renewer;
mod session;
pub mod stop;

pub use crate::{
    cell::Row,
    decision::Decision,
    error::Error,
    node::{
        Action, CROSS_ZONE_HEARTBEAT_FACTOR, Config, Event, Node, Peer, Role, SentGrant,
        TargetReply, Write,
    },
};
