/*!
Identifiers, hashing of keys and monotonic time: the types that all other crates share.

Nothing here depends on a service, a network or a policy, so this crate changes rarely. Identifiers
are newtypes, because a shard number, a row version and a term are all integers, and a mix-up of
two of them can give a key two owners. The cost is a conversion wherever one enters or leaves the
process. See docs/DESIGN.md.
*/

pub mod arena;
pub mod clock;
mod hash;
mod id;

pub use crate::{
    hash::{Digest, rendezvous_weight, shard_of},
    id::{Era, Fence, Incarnation, Process, Service, Shard, Stamp, Term, Version, Vm, Zone},
};
