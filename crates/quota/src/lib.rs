/*!
The bytes and connections that one process holds for others, against callers that respect no limits.

Each request may be legal and all of them together still be more than the VM has. So everything that
is held for callers and targets draws on one budget of bytes, and each connection needs a place. When
either is short, connections that transfer less than a minimum rate are closed, the slowest first; if
there is none, what is new is refused. A connection whose request runs at a target is never closed.

There is no input, output or clock here; see docs/design/caller-limits.md.
*/

mod growth;
mod limits;
mod pool;

pub use crate::{
    growth::next_capacity,
    limits::{Group, Limits, SMALL_BYTES},
    pool::{Id, Phase, Pool, Purpose, Usage},
};
