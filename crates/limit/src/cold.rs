//! The warm-up rate of targets that start or recover.
//!
//! Addresses the load when targets return cold, such as all targets of an availability zone: every
//! entry sends to them at once, and each of them tolerates a few requests a second from all entries
//! together. The parts:
//!
//! - [`Bound`] is what a cold target may get in a second, from the operators' configuration.
//! - [`Pacer`] gives out the permits of one target and finds its rate from outcomes.
//! - [`Coordinators`] is the choice of the entries that give out the permits of a target. Each entry
//!   makes it on its own, since news of the leader would come too late.
//! - [`Warmups`] is what one entry knows: which targets are cold by their registration, which may be
//!   since a connection to them was lost, and the pacers of those that it coordinates.
//!
//! Targets are known by the name of their VM here, not by instance: entries that have not heard of a
//! restart ask for permits of the former instance, which have to come out of the same pacer.

mod bound;
mod coordinators;
mod pacer;
mod warmups;

pub use self::{
    bound::Bound,
    coordinators::Coordinators,
    pacer::{MAX_USE_DELAY, Outcomes, Pacer, Stage},
    warmups::{Question, Registered, Warmups},
};
