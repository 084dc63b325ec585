/*!
Assigns the keys of a service to targets by grants whose validity starts when they arrive.

The purpose is that at most one target processes the requests for a key. A target of the platform
accepts grants with a relative validity and a fencing token, and has no clock that the sender could
rely on. So the sender, which is the leader among the entries (the processes of the router), keeps a
ledger of every grant that may still be in force ([`Ledger`]). It grants a key to a target only if
the ledger shows no other holder.

The agreed state is one row of the store for each service, the assignment map ([`Map`]). The fence
of an assignment is the version that the store gave the row when the assignment last changed.

[`Planner`] makes the decisions without input, output or a clock of its own, so that tests can run
it in virtual time. The price of the ledger is a delay: the keys of a target that failed without
proof of its end are not reassigned until its last grant has expired. See docs/PLATFORM.md.
*/

pub mod balance;
pub mod connections;
pub mod election;
pub mod evacuation;
pub mod ledger;
pub mod map;
pub mod moves;
pub mod outbox;
pub mod planner;
pub mod recovery;
pub mod registry;
pub mod routing;
pub mod staleness;

pub use crate::{
    connections::Connections,
    election::Election,
    evacuation::Evacuations,
    ledger::Ledger,
    map::{Assignment, Instance, Map, Span},
    moves::Moves,
    outbox::Outbox,
    planner::{Action, Planner},
    registry::{Registration, Registry},
    staleness::Staleness,
};
