//! A TCP proxy that injects network faults between any two processes.

use {
    http::{Request, StatusCode},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time,
    },
};

const BUFFER_BYTES: usize = 16 << 10;
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The faults to inject, set by a POST to the proxy's admin address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// The client addresses whose connections transfer nothing; with [`Self::cut`], all do.
    pub cut_from: Vec<IpAddr>,
    /// Whether all connections transfer nothing and new ones hang, as in a network partition.
    pub cut: bool,
    /// Whether bytes to the server are held back.
    pub cut_forward: bool,
    /// Whether bytes to the client are held back.
    pub cut_backward: bool,
    /// The delay before each chunk of bytes is forwarded, in milliseconds.
    pub delay_ms: u64,
    /// Connections with a number up to this one transfer nothing; they are numbered from 1 in the
    /// order in which they were opened.
    pub silence_before: u64,
    /// The number of bytes to the client after which a connection is closed.
    pub reset_after: Option<u64>,
}

/// The client's side of a connection.
#[derive(Clone, Copy)]
struct Client {
    connection_number: u64,
    address: IpAddr,
}

/// The direction of bytes through the proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A TCP proxy with faults.
#[derive(Default)]
pub struct Proxy {
    fault: Mutex<Fault>,
    opened_connections: AtomicU64,
    forwarded_bytes: AtomicU64,
}

impl Proxy {
    fn fault(&self) -> Fault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults to inject.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the number of bytes forwarded in both directions, with those that a reset discarded.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Makes the connections that are open now transfer nothing any more, while new ones work.
    pub fn silence_open_connections(&self) {
        let newest = self.opened_connections.load(Ordering::Relaxed);
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).silence_before = newest;
    }

    /// Forwards connections from `listener` to the server at `to`, forever.
    pub async fn forward_connections(self: Arc<Self>, listener: TcpListener, to: SocketAddr) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let connection_number = self.opened_connections.fetch_add(1, Ordering::Relaxed) + 1;
            let proxy = Arc::clone(&self);
            let client = Client { connection_number, address: peer.ip() };
            tokio::spawn(async move {
                proxy.forward_connection(stream, to, client).await.ok();
            });
        }
    }

    /// Forwards connections from `listener` to the server at `to` and accepts faults on `admin`,
    /// forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, to: SocketAddr, admin: TcpListener) {
        let admin_proxy = Arc::clone(&self);
        tokio::spawn(wire::serve(admin, move |request| {
            let proxy = Arc::clone(&admin_proxy);
            async move { proxy.handle_admin(request).await }
        }));
        self.forward_connections(listener, to).await;
    }

    /// Replaces the faults and replies with the number of connections opened so far.
    async fn handle_admin(&self, request: Request<Incoming>) -> wire::Reply {
        match wire::read_json(request, BUFFER_BYTES).await {
            Ok(fault) => {
                self.set_fault(fault);
                wire::json(StatusCode::OK, &self.opened_connections.load(Ordering::Relaxed))
            }
            Err(_) => wire::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn forward_connection(
        self: Arc<Self>,
        stream: TcpStream,
        to: SocketAddr,
        client: Client,
    ) -> io::Result<()> {
        self.wait_until_open(client, Direction::ToServer).await;
        let server = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = stream.into_split();
        let (server_read, server_write) = server.into_split();
        let proxy = Arc::clone(&self);
        let to_server =
            async move { proxy.copy(client_read, server_write, client, Direction::ToServer).await };
        let to_client =
            async move { self.copy(server_read, client_write, client, Direction::ToClient).await };
        tokio::select! {
            result = to_server => result,
            result = to_client => result,
        }
    }

    /// Copies bytes in one direction until the sender closes the connection or a fault resets it.
    async fn copy(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        client: Client,
        direction: Direction,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut copied_bytes = 0u64;
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                self.wait_until_open(client, direction).await;
                to.shutdown().await?;
                return Ok(());
            }
            self.wait_until_open(client, direction).await;
            let fault = self.fault();
            time::sleep(Duration::from_millis(fault.delay_ms)).await;
            copied_bytes += count as u64;
            self.forwarded_bytes.fetch_add(count as u64, Ordering::Relaxed);
            if let Some(limit) = fault
                .reset_after
                .filter(|limit| direction == Direction::ToClient && copied_bytes > *limit)
            {
                let allowed = count.saturating_sub((copied_bytes - limit) as usize);
                to.write_all(&buffer[..allowed]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            to.write_all(&buffer[..count]).await?;
        }
    }

    /// Waits until no fault holds back bytes of this connection and direction.
    async fn wait_until_open(&self, client: Client, direction: Direction) {
        loop {
            let fault = self.fault();
            let is_direction_cut = match direction {
                Direction::ToServer => fault.cut_forward,
                Direction::ToClient => fault.cut_backward,
            };
            let is_client_cut = fault.cut || fault.cut_from.contains(&client.address);
            if !is_client_cut
                && !is_direction_cut
                && client.connection_number > fault.silence_before
            {
                return;
            }
            time::sleep(FAULT_POLL_INTERVAL).await;
        }
    }
}
