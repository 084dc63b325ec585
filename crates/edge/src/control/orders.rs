//! Sending grants and releases to targets.

use {
    hold::{
        Instance, Span,
        planner::{Grant, Outcome},
    },
    key::Fence,
    platform::order::{Connection, Error},
    smol_str::SmolStr,
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// The time one grant may take until its answer.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time a release may take until its answer, which the target sends after its requests on these
/// keys have ended. A target with 4 slots and a queue of 16, whose work takes 0.66 s, needs 3.3 s to
/// empty its queue; a release that is given up before leaves its keys without a holder for longer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4_000);

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

/// The connection over which one target gets releases, one after the other. It is not the one of
/// the grants, so that the long wait for an answer delays no grant.
#[derive(Debug)]
pub(crate) struct ReleaseLane {
    destination: Destination,
    connection: Option<Connection>,
}

impl ReleaseLane {
    pub(crate) const fn new(destination: Destination) -> Self {
        Self { destination, connection: None }
    }

    /// Releases keys. Returns the handover data of the target, if it sent any.
    pub(crate) async fn send(
        &mut self,
        span: Span,
        fence: Fence,
    ) -> Result<Option<SmolStr>, Outcome> {
        let opened = match self.connection.take() {
            Some(connection) if !connection.is_closed() => Ok(connection),
            _ => self.destination.connect().await,
        };
        let mut connection = opened.map_err(|_| Outcome::Unsent)?;
        match connection.release(span, fence, RELEASE_TIMEOUT).await {
            Ok(handover) => {
                self.connection = Some(connection);
                Ok(handover)
            }
            Err(Error::Unreachable) => Err(Outcome::Unsent),
            Err(Error::Misdirected) => Err(Outcome::Ended),
            Err(_) => Err(Outcome::Lost),
        }
    }
}
