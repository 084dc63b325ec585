/*!
Which target holds which keys, where grants run for a time that starts when they arrive.

The platform's targets take grants with a relative life and a fence, and know no clock that a sender
could rest on. So the sender keeps a ledger of every grant that may still be in force ([`Ledger`])
and sends a key's grant to another target only when that ledger shows no other holder. What is
agreed is one row for each service ([`Map`]), and the fence of a holding is the version that the
store gave the row when the holding last changed. [`Planner`] decides without input, output or a
clock of its own. See docs/PLATFORM.md.
*/

pub mod balance;
pub mod connections;
pub mod election;
pub mod ledger;
pub mod map;
pub mod planner;
pub mod registry;
pub mod staleness;

pub use crate::{
    connections::Connections,
    election::Election,
    ledger::Ledger,
    map::{Assignment, Instance, Map, Span},
    planner::{Action, Planner},
    registry::{Registration, Registry},
    staleness::Staleness,
};
