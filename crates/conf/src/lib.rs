/*!
The settings of one entry process and the operators' text of services.

Both are JSON with comments. The two are apart because they change at different hands: settings
belong to a VM and are read once, the operators' text is shared by the whole fleet, versioned in
the platform's table and changed many times a day. Each check runs while the text is read, so an
error carries the line and the column of the offending value. See docs/CONFIGURATION.md and
docs/SETTINGS.md.
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
