/*!
Keys, shards, identifiers and time: the small vocabulary every other crate shares.

The crate holds no behaviour that depends on a service or a network, so that a change of policy
never needs a change here. Identifiers are newtypes because a shard number, a row version and a
term are all integers, and mixing them up is how a key gets two owners. See docs/DESIGN.md.
*/

pub mod arena;
pub mod clock;
mod hash;
mod id;

pub use crate::{
    hash::{Digest, rendezvous_weight, shard_of},
    id::{Fence, Incarnation, Process, Service, Shard, Stamp, Term, Version, Vm, Zone},
};
