/*!
The settings of an entry process and the operators' configuration of services.

Both are JSON with comments. They are separate because they have different owners and lifetimes:
[`Settings`] belong to one VM and are read at the start of its process, while [`OperatorConfig`] is
shared by the whole fleet, versioned in the platform's table and changed many times a day. An entry
on the users' platform reads [`PlatformSettings`] instead, and gets its services and routes as
[`Routing`].

Ranges are part of the types of fields ([`BoundedU64`]), and all other checks run in `parse`. An
[`Error`] carries the line and the column of the offending value where they are known. See
docs/CONFIGURATION.md and docs/SETTINGS.md.
*/

mod bounded;
mod error;
mod parse;
pub mod platform_settings;
pub mod routing;
pub mod services;
pub mod settings;
mod time_span;

pub use crate::{
    bounded::BoundedU64,
    error::{Error, ErrorKind, Position},
    platform_settings::PlatformSettings,
    routing::Routing,
    services::OperatorConfig,
    settings::Settings,
    time_span::TimeSpan,
};
