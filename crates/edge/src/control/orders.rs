//! Sending grants and releases to targets.

use {
    hold::{
        Instance, Span,
        planner::{Grant, Outcome},
    },
    key::Fence,
    platform::order::{Connection, Error, ReleaseLane},
    smol_str::SmolStr,
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// The time one grant may take until its answer.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time that opening a connection for grants may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Where grants and releases go, and from which local address.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) instance: Instance,
    pub(crate) address: SocketAddr,
    pub(crate) source: Option<IpAddr>,
}

impl Destination {
    async fn connect(&self) -> Result<Connection, Error> {
        Connection::open(self.instance.vm.clone(), self.address, self.source, CONNECT_TIMEOUT).await
    }
}

/// Which connection the grants use.
#[derive(Debug)]
pub(crate) enum Checkout {
    /// The connection on which the target got its earlier grants.
    Reuse(Connection),
    /// A new connection.
    Connect,
}

/// Sends grants one after the other, and returns the connection if it can be reused. Once the
/// connection has failed, the remaining grants count as unsent.
pub(crate) async fn send_grants(
    checkout: Checkout,
    destination: &Destination,
    grant_duration: Duration,
    grants: Vec<Grant>,
) -> (Vec<(Grant, Outcome)>, Option<Connection>) {
    let opened = match checkout {
        Checkout::Reuse(connection) => Ok(connection),
        Checkout::Connect => destination.connect().await,
    };
    let mut connection = opened.ok();
    let mut results = Vec::with_capacity(grants.len());
    for grant in grants {
        let outcome = match &mut connection {
            None => Outcome::Unsent,
            Some(open) => {
                let handover = grant.handover.as_deref();
                let sent = open
                    .grant(grant.span, grant.fence, grant_duration, handover, GRANT_TIMEOUT)
                    .await;
                match sent {
                    Ok(()) => Outcome::Granted,
                    Err(Error::Fenced) => Outcome::Fenced,
                    Err(Error::Refused(_)) => Outcome::Refused,
                    Err(Error::Unreachable) => {
                        connection = None;
                        Outcome::Unsent
                    }
                    Err(Error::Misdirected) => {
                        connection = None;
                        Outcome::Ended
                    }
                    Err(Error::Lost) => {
                        connection = None;
                        Outcome::Lost
                    }
                }
            }
        };
        results.push((grant, outcome));
    }
    (results, connection)
}

/// Releases keys. Returns the handover data of the target, if it sent any.
pub(crate) async fn send_release(
    lane: &ReleaseLane,
    span: Span,
    fence: Fence,
) -> Result<Option<SmolStr>, Outcome> {
    lane.send(span, fence).await.map_err(|error| match error {
        Error::Unreachable => Outcome::Unsent,
        Error::Misdirected => Outcome::Ended,
        _ => Outcome::Lost,
    })
}
