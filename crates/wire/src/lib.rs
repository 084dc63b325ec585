/*!
An HTTP client and server for JSON control traffic, as opposed to the requests of callers.

The platform, the control endpoints of targets and the operators all use plain HTTP with JSON
bodies. The [`Client`] limits each request in time and in size. If no response arrives, its error
is [`ErrorKind::Ambiguous`] when the request may have taken effect and [`ErrorKind::Unsent`] when
it cannot have, because only the latter is safe to retry for any request. See docs/DESIGN.md.
*/

mod client;
mod error;
mod forward;
mod listener;
mod monitor;
mod sending;
mod server;
mod socket;

pub use crate::{
    client::{Client, Config},
    error::{Error, ErrorKind},
    forward::{is_final, remove_hop_by_hop},
    listener::{accept, accept_until},
    monitor::{Monitor, Socket, monitor},
    sending::with_sending_delay,
    server::{Reply, json, read_body, read_json, serve, status},
    socket::socket,
};
