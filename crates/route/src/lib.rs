/*!
How a request finds its target, and what its caller is told when it finds none.

Everything here is a pure decision: which service and key a request names, which target is chosen,
whether another attempt is allowed, and which typed refusal is given. The data path carries the
decisions out. See docs/DESIGN.md.
*/

pub mod budget;
pub mod choice;
pub mod header;
pub mod locate;
pub mod outcome;
pub mod quarantine;

pub use crate::{
    budget::Budget,
    outcome::{Outcome, Reason, Refusal},
    quarantine::Quarantine,
};
