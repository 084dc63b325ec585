//! The remote calls.

// The code that the service attribute generates carries no documentation of its own.
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
    tokio::{net::TcpSocket, task::JoinSet, time},
};

const FRAME_LIMIT_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What an entry answers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Gives a sign of life.
    async fn hello(hello: Hello) -> Result<Welcome, Rejection>;
    /// Takes rows that were just written.
    async fn publish(rows: Vec<Versioned<Row>>) -> Result<(), Rejection>;
    /// Takes a new operators' text.
    async fn configure(text: Versioned<String>) -> Result<(), Rejection>;
    /// Promises to stop renewing.
    async fn stop(request: stop::Request) -> Result<stop::Ack, Rejection>;
    /// Gives everything that a fresh process needs.
    async fn sync() -> BootstrapState;
    /// Takes the word of a process that it renews nothing any more.
    async fn farewell(process: Process) -> Result<(), Rejection>;
    /// Takes strikes against a request.
    async fn strike(report: CrashReport) -> Result<(), Rejection>;
    /// Gives the newest records of the decision log.
    async fn records(limit: u32) -> Vec<Record>;
    /// Gives the burn of each service as seen there.
    async fn burn() -> Vec<ServiceBurn>;
}

/// A connection to a peer that has welcomed this process.
#[derive(Clone, Debug)]
pub struct Client {
    inner: PeerServiceClient,
    timeout: Duration,
}

/// Opens a connection, without a word yet.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the peer cannot be reached.
pub async fn connect(
    peer: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
) -> Result<Client, Error> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind((source, 0).into())?;
    }
    let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(peer))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let inner = PeerServiceClient::new(client::Config::default(), transport).spawn();
    Ok(Client { inner, timeout })
}

impl Client {
    fn context(&self) -> context::Context {
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + self.timeout;
        context
    }

    /// Asks for a sign of life.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Rejected`] if the peer belongs to another cluster or speaks another version.
    pub async fn hello(&self, hello: Hello) -> Result<Welcome, Error> {
        Ok(self.inner.hello(self.context(), hello).await??)
    }

    /// Sends rows that were just written.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have taken them.
    pub async fn publish(&self, rows: Vec<Versioned<Row>>) -> Result<(), Error> {
        Ok(self.inner.publish(self.context(), rows).await??)
    }

    /// Sends a new operators' text.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have taken it.
    pub async fn configure(&self, text: Versioned<String>) -> Result<(), Error> {
        Ok(self.inner.configure(self.context(), text).await??)
    }

    /// Asks the peer to stop renewing.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer has not promised it.
    pub async fn stop(&self, ask: stop::Request) -> Result<stop::Ack, Error> {
        Ok(self.inner.stop(self.context(), ask).await??)
    }

    /// Asks for everything that a fresh process needs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no answer comes.
    pub async fn sync(&self) -> Result<BootstrapState, Error> {
        Ok(self.inner.sync(self.context()).await?)
    }

    /// Tells the peer that `process` renews nothing any more.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have taken it.
    pub async fn farewell(&self, process: Process) -> Result<(), Error> {
        Ok(self.inner.farewell(self.context(), process).await??)
    }

    /// Asks for the newest records of the peer's decision log.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no answer comes.
    pub async fn records(&self, limit: u32) -> Result<Vec<Record>, Error> {
        Ok(self.inner.records(self.context(), limit).await?)
    }

    /// Asks for the burn of each service as the peer saw it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no answer comes.
    pub async fn burn(&self) -> Result<Vec<ServiceBurn>, Error> {
        Ok(self.inner.burn(self.context()).await?)
    }

    /// Sends a strike against a request.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the peer may not have taken it.
    pub async fn strike(&self, strike: CrashReport) -> Result<(), Error> {
        Ok(self.inner.strike(self.context(), strike).await??)
    }
}

/// Answers peers on `address`, each connection with a server of its own that `make_server` returns; the
/// future that is returned never ends.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound. The address is held for the life of
/// the process, which is what makes an answer of another incarnation a proof of its end.
pub async fn listen<S>(
    address: SocketAddr,
    make_server: impl Fn() -> S,
) -> io::Result<impl Future<Output = ()>>
where
    S: PeerService + Clone + 'static,
{
    let mut listener = tcp::listen(&address, Bincode::default).await?;
    listener.config_mut().max_frame_length(FRAME_LIMIT_BYTES);
    Ok(async move {
        let mut channels = JoinSet::new();
        let mut incoming = listener.filter_map(|transport| future::ready(transport.ok()));
        while let Some(transport) = incoming.next().await {
            let requests = BaseChannel::with_defaults(transport).execute(make_server().serve());
            channels.spawn_local(requests.for_each_concurrent(None, |answer| answer));
            while channels.try_join_next().is_some() {}
        }
    })
}
