//! The remote calls: the service that an entry offers, its client and its listener.

// The code that `tarpc::service` generates has no documentation.
#![allow(missing_docs)]

use {
    crate::{BootstrapState, Error, Hello, Rejection, Versioned, Welcome},
    futures::{StreamExt, future},
    key::Process,
    own::{Row, stop},
    report::{Record, burn::ServiceBurn},
    route::quarantine::CrashReport,
    std::{
        future::Future,
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tarpc::{
        client, context,
        serde_transport::{self, tcp},
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
        tokio_util::codec::LengthDelimitedCodec,
    },
    tokio::{task::JoinSet, time},
};

const MAX_FRAME_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The calls that an entry accepts from its peers.
///
/// The wire format encodes a call by the position of its method, so the order of the methods is
/// part of the protocol.
#[tarpc::service]
pub trait PeerService {
    /// Replies to a heartbeat. The first one on a connection is the handshake.
    async fn hello(hello: Hello) -> Result<Welcome, Rejection>;
    /// Receives newly written rows.
    async fn publish(rows: Vec<Versioned<Row>>) -> Result<(), Rejection>;
    /// Receives a new version of the operators' configuration.
    async fn configure(text: Versioned<String>) -> Result<(), Rejection>;
    /// Promises to stop renewing leases.
    async fn stop(request: stop::Request) -> Result<stop::Ack, Rejection>;
    /// Returns the state that a new process needs.
    async fn sync() -> BootstrapState;
    /// Receives the resignation of a process, which renews no lease any more.
    async fn farewell(process: Process) -> Result<(), Rejection>;
    /// Receives a report of a request that was in flight when its target crashed.
    async fn strike(report: CrashReport) -> Result<(), Rejection>;
    /// Returns the newest records of the decision log, at most `limit`.
    async fn records(limit: u32) -> Vec<Record>;
    /// Returns the burn rates of each service, from the requests that this entry handled.
    async fn burn() -> Vec<ServiceBurn>;
}

/// A client of a peer, over one connection.
///
/// The first call has to be [`hello`](Self::hello): without that handshake, the peer rejects the
/// other calls or returns empty results.
#[derive(Clone, Debug)]
pub struct Client {
    inner: PeerServiceClient,
    timeout: Duration,
}

/// Opens a connection to a peer, from the local address `source` if there is one.
///
/// The handshake is left to the caller. Each call on the connection fails after `timeout`.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the peer cannot be reached.
pub async fn connect(
    peer: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
) -> Result<Client, Error> {
    let socket = wire::socket(peer, source)?;
    let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(peer))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let inner = PeerServiceClient::new(client::Config::default(), transport).spawn();
    Ok(Client { inner, timeout })
}

impl Client {
    /// Returns the context of a call that starts now.
    fn context(&self) -> context::Context {
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + self.timeout;
        context
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rejected`] if the peer belongs to another cluster or uses another version
    /// of the protocol.
    pub async fn hello(&self, hello: Hello) -> Result<Welcome, Error> {
        Ok(self.inner.hello(self.context(), hello).await??)
    }

    /// Sends newly written rows.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have accepted them.
    pub async fn publish(&self, rows: Vec<Versioned<Row>>) -> Result<(), Error> {
        Ok(self.inner.publish(self.context(), rows).await??)
    }

    /// Sends a new version of the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have accepted it.
    pub async fn configure(&self, text: Versioned<String>) -> Result<(), Error> {
        Ok(self.inner.configure(self.context(), text).await??)
    }

    /// Requests that the peer stop renewing leases.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer's promise did not arrive.
    pub async fn stop(&self, request: stop::Request) -> Result<stop::Ack, Error> {
        Ok(self.inner.stop(self.context(), request).await??)
    }

    /// Requests the state that a new process needs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no reply arrives.
    pub async fn sync(&self) -> Result<BootstrapState, Error> {
        Ok(self.inner.sync(self.context()).await?)
    }

    /// Sends the resignation of `process`, which renews no lease any more.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have accepted it.
    pub async fn farewell(&self, process: Process) -> Result<(), Error> {
        Ok(self.inner.farewell(self.context(), process).await??)
    }

    /// Requests the newest records of the peer's decision log, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no reply arrives.
    pub async fn records(&self, limit: u32) -> Result<Vec<Record>, Error> {
        Ok(self.inner.records(self.context(), limit).await?)
    }

    /// Requests the burn rates of each service, from the requests that the peer handled.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no reply arrives.
    pub async fn burn(&self) -> Result<Vec<ServiceBurn>, Error> {
        Ok(self.inner.burn(self.context()).await?)
    }

    /// Sends a report of a request that was in flight when its target crashed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have accepted it.
    pub async fn strike(&self, report: CrashReport) -> Result<(), Error> {
        Ok(self.inner.strike(self.context(), report).await??)
    }
}

/// Binds `address` and returns a future that serves the peers that connect to it.
///
/// The future calls `make_server` for each connection and never completes. The address stays bound
/// for the lifetime of the process: therefore a reply from another incarnation at the same address
/// proves that the process has ended.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen<S>(
    address: SocketAddr,
    make_server: impl Fn() -> S,
) -> io::Result<impl Future<Output = ()>>
where
    S: PeerService + Clone + 'static,
{
    let mut listener = tcp::listen(&address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    Ok(async move {
        let mut connections = JoinSet::new();
        let mut incoming = listener.filter_map(|transport| future::ready(transport.ok()));
        while let Some(transport) = incoming.next().await {
            let requests = BaseChannel::with_defaults(transport).execute(make_server().serve());
            connections.spawn_local(requests.for_each_concurrent(None, |reply| reply));
            while connections.try_join_next().is_some() {}
        }
    })
}
