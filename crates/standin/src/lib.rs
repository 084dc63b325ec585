/*!
Test doubles of the systems around the product, for tests and demonstrations only.

The platform and the targets belong to the users. The stand-ins speak their interfaces: those of the
product's own conventions ([`platform`], [`target`]) and those of the users' platform ([`rows`],
[`holder`]). Faults can be injected into each of them, and into the connections between processes
([`proxy`]).

The stand-ins write journals of what they did ([`journal`]). Tests prove the product's guarantees
from these journals ([`check`]), never from the product's own logs. [`load`] generates requests at
a fixed rate, [`caller`] builds requests and routing texts of the users' platform, and
[`misbehaving`] has callers that respect no limits.

Nothing of this crate is shipped.
*/

pub mod caller;
pub mod check;
mod crash;
pub mod endless;
pub mod faulty;
pub mod holder;
pub mod journal;
pub mod load;
pub mod misbehaving;
pub mod platform;
pub mod proxy;
mod raw;
pub mod rows;
pub mod target;
