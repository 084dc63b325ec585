//! A TCP proxy that injects faults between any two processes.

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
const IDLE_POLL: Duration = Duration::from_millis(10);

/// The faults, set by a POST to the proxy's second address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// The addresses from which nothing passes, or all if [`Self::cut`] is set.
    pub cut_from: Vec<IpAddr>,
    /// Nothing passes and new connections hang, as between separated networks.
    pub cut: bool,
    /// Bytes towards the server are held back.
    pub cut_forward: bool,
    /// Bytes towards the client are held back.
    pub cut_backward: bool,
    /// Everything takes this many milliseconds longer.
    pub delay_ms: u64,
    /// Connections that were open when this number was last raised are silent for good.
    pub silence_before: u64,
    /// Connections are reset after this many bytes towards the client.
    pub reset_after: Option<u64>,
}

/// One connection.
#[derive(Clone, Copy)]
struct Client {
    number: u64,
    address: IpAddr,
}

/// A direction through the proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Forward,
    Backward,
}

/// The proxy.
#[derive(Default)]
pub struct Proxy {
    fault: Mutex<Fault>,
    opened: AtomicU64,
    passed: AtomicU64,
}

impl Proxy {
    fn fault(&self) -> Fault {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the bytes that passed in both directions.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Makes every connection that is open now silent for good, while new ones work.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::Relaxed);
        self.fault.lock().unwrap_or_else(PoisonError::into_inner).silence_before = opened;
    }

    /// Carries connections from `listener` to `to`, for ever.
    pub async fn forward_connections(self: Arc<Self>, listener: TcpListener, to: SocketAddr) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let number = self.opened.fetch_add(1, Ordering::Relaxed) + 1;
            let proxy = Arc::clone(&self);
            let client = Client { number, address: from.ip() };
            tokio::spawn(async move {
                proxy.carry(stream, to, client).await.ok();
            });
        }
    }

    /// Carries connections from `listener` to `to`, and takes faults on `admin`, for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, to: SocketAddr, admin: TcpListener) {
        let administered = Arc::clone(&self);
        tokio::spawn(wire::serve(admin, move |request| {
            let proxy = Arc::clone(&administered);
            async move { proxy.administer(request).await }
        }));
        self.forward_connections(listener, to).await;
    }

    /// Sets the faults and answers with the number of connections opened so far.
    async fn administer(&self, request: Request<Incoming>) -> wire::Reply {
        match wire::read_json(request, BUFFER_BYTES).await {
            Ok(fault) => {
                self.set_fault(fault);
                wire::json(StatusCode::OK, &self.opened.load(Ordering::Relaxed))
            }
            Err(_) => wire::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn carry(
        self: Arc<Self>,
        stream: TcpStream,
        to: SocketAddr,
        client: Client,
    ) -> io::Result<()> {
        self.wait_while_held(client, Way::Forward).await;
        let server = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = stream.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = Arc::clone(&self);
        let there =
            async move { forward.pump(client_read, server_write, client, Way::Forward).await };
        let back = async move { self.pump(server_read, client_write, client, Way::Backward).await };
        tokio::select! {
            result = there => result,
            result = back => result,
        }
    }

    async fn pump(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        client: Client,
        way: Way,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut passed = 0u64;
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                self.wait_while_held(client, way).await;
                to.shutdown().await?;
                return Ok(());
            }
            self.wait_while_held(client, way).await;
            let fault = self.fault();
            time::sleep(Duration::from_millis(fault.delay_ms)).await;
            passed += count as u64;
            self.passed.fetch_add(count as u64, Ordering::Relaxed);
            if let Some(limit) =
                fault.reset_after.filter(|limit| way == Way::Backward && passed > *limit)
            {
                let rest = count.saturating_sub((passed - limit) as usize);
                to.write_all(&buffer[..rest]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            to.write_all(&buffer[..count]).await?;
        }
    }

    async fn wait_while_held(&self, client: Client, way: Way) {
        loop {
            let fault = self.fault();
            let one_way = match way {
                Way::Forward => fault.cut_forward,
                Way::Backward => fault.cut_backward,
            };
            let cut = fault.cut || fault.cut_from.contains(&client.address);
            if !cut && !one_way && client.number > fault.silence_before {
                return;
            }
            time::sleep(IDLE_POLL).await;
        }
    }
}
