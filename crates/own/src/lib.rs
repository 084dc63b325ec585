/*!
Who owns which shard, decided without input or output.

Each decision is a function of the state, an event and the time: nothing here reads a clock, draws a
number or sends a byte. [`Node`] holds what one entry process knows and answers each [`Event`] with
[`Action`]s that the control thread carries out. So a lapse, a pause, a lost answer or a reordering
is a row in a table of tests. The rules that keep one owner are in docs/OWNERSHIP.md.
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
