/*!
An HTTP client and server for JSON control traffic, as opposed to the requests of callers.

The platform, the control endpoints of targets and the operators all use plain HTTP with JSON
bodies. The [`Client`] limits each request in time and in size. If no response arrives, its error
is [`ErrorKind::Ambiguous`] when the request may have taken effect and [`ErrorKind::Unsent`] when
it cannot have, because only the latter is safe to retry for any request. See docs/DESIGN.md.
*/

mod client;
mod collect;
mod error;
mod forward;
mod limiter;
mod listener;
mod metered;
mod monitor;
mod sending;
mod server;
mod socket;

pub use crate::{
    client::{Client, Config},
    collect::{CollectError, Tracked, collect},
    error::{Error, ErrorKind},
    forward::{is_final, remove_hop_by_hop},
    limiter::{Held, Lease, Limiter, Permit, Reservation},
    listener::{accept, accept_until},
    metered::{MAX_HEAD_BYTES, Metered},
    monitor::{Monitor, Socket, monitor},
    sending::with_sending_delay,
    server::{Reply, json, read_body, read_json, serve, serve_within, status},
    socket::socket,
};
