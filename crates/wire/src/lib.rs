/*!
JSON over HTTP for everything that is not a caller's request.

The platform, the targets' control endpoints and the operators all speak plain HTTP with JSON
bodies. This crate puts bounds on each exchange, in time and in bytes, and gives every failure a
type. A call whose answer did not arrive is reported as [`ErrorKind::Ambiguous`] when the request
may have taken effect and as [`ErrorKind::Unsent`] when it cannot have, because the callers decide
on that difference. See docs/DESIGN.md.
*/

mod client;
mod error;
mod server;

pub use crate::{
    client::{Client, Config},
    error::{Error, ErrorKind},
    server::{Reply, json, read_body, read_json, serve, status},
};
