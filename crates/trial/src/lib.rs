/*!
Fleets of real processes on loopback, for the integration tests.

Entries and targets are processes; the platform and the proxies between any two of them run in the
test, where their faults are set. Every entry connects from an address of its own, so a proxy can
cut off one availability zone and not another. What the targets did is read from their journals.
A [`Site`] is the same on the users' platform.
*/

mod caller;
mod faults;
mod fleet;
mod inspect;
mod load;
mod plan;
mod process;
mod site;

pub use crate::{
    caller::{Caller, FleetResponse},
    fleet::{Fleet, eventually},
    load::{Exchange, Load},
    plan::{FleetPlan, KEYED},
    site::{Site, SitePlan, SiteRequest, SiteResponse},
};
