/*!
Deployments of real entry and target processes on loopback, for the integration tests.

A [`Fleet`] uses the router's own conventions, a [`Site`] those of the users' platform. Entries and
targets are separate processes. The stand-in for the platform or its store, and the proxies in
front of the processes, run inside the test, so the test can inject faults into them. In a fleet,
every entry connects from its own loopback address, which lets a proxy cut off a single
availability zone. What the targets executed is read from their journals.
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
    site::{
        INITIAL_ROUTES, Pipeline, ROUTES_WITH_LATER, Site, SitePlan, SiteRequest, SiteResponse,
    },
};
