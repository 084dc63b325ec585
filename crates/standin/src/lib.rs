/*!
Stand-ins for the systems around the product, for tests and demonstrations only.

The platform and the targets belong to the users; what stands here speaks their interfaces, those
of the product's own conventions ([`platform`], [`target`]) and those of the users' pages ([`rows`],
[`holder`]), can be made to fail in the ways they fail, and writes a journal of what it did. Proofs are read from these
journals by [`check`], never from the product's own logs. None of this is shipped.
*/

pub mod caller;
pub mod check;
pub mod holder;
pub mod journal;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod rows;
pub mod target;
