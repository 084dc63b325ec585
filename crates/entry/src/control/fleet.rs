//! Connections to the other entries, and the server for theirs.

use {
    crate::{
        control::{
            Handles,
            input::{Input, InputSender},
            state::State,
        },
        shared::Shared,
    },
    conf::Settings,
    key::{Process, Version, clock::Tick},
    own::{Event, Peer, Row, stop},
    peer::{Client, Hello, PeerService, Rejection, Versioned, Welcome},
    report::{Record, burn::ServiceBurn},
    route::quarantine::CrashReport,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
    tarpc::context::Context,
    tokio::{
        sync::oneshot,
        task::{AbortHandle, spawn_local},
        time,
    },
};

/// The number of heartbeats in the time after which a peer without one counts as lost.
const HEARTBEATS_PER_LOSS_TIMEOUT: u32 = 4;

/// The connections to the peers, with the task that maintains each.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    tasks: HashMap<SocketAddr, AbortHandle>,
    clients: HashMap<Process, Client>,
}

impl PeerConnections {
    /// Returns the client for a process, if one is connected.
    pub(crate) fn client(&self, process: &Process) -> Option<Client> {
        self.clients.get(process).cloned()
    }

    /// Returns the clients of all connected peers with their processes.
    pub(crate) fn clients_by_process(&self) -> Vec<(Process, Client)> {
        self.clients.iter().map(|(process, client)| (process.clone(), client.clone())).collect()
    }

    /// Returns the clients of all connected peers.
    pub(crate) fn clients(&self) -> Vec<Client> {
        self.clients.values().cloned().collect()
    }
}

/// Starts a task for each new address of a peer and aborts those of addresses that are gone.
pub(crate) fn maintain_connections(handles: &Handles, state: &State, peer_server: &PeerServer) {
    let known_addresses = state.peer_addresses();
    let mut connections = handles.connections.borrow_mut();
    connections.tasks.retain(|address, task| {
        let is_known = known_addresses.contains(address);
        if !is_known {
            task.abort();
        }
        is_known
    });
    for address in known_addresses {
        connections.tasks.entry(address).or_insert_with(|| {
            let connections = std::rc::Rc::clone(&handles.connections);
            let (inputs, hello) = (handles.inputs.clone(), peer_server.hello.clone());
            let shared = Arc::clone(&handles.shared);
            let task = async move {
                loop {
                    exchange_heartbeats(address, &connections, &inputs, &hello, &shared).await;
                    time::sleep(
                        shared.settings.lease.peer_lost_after() / HEARTBEATS_PER_LOSS_TIMEOUT,
                    )
                    .await;
                }
            };
            spawn_local(task).abort_handle()
        });
    }
}

/// Connects to one peer and requests heartbeats until a request fails.
///
/// Each request waits for the reply to the one before, which keeps the heartbeats in order. If one
/// that a process sent before it ended were handled after one of its successor, the successor would
/// be taken for the process that ended.
async fn exchange_heartbeats(
    address: SocketAddr,
    connections: &std::rc::Rc<std::cell::RefCell<PeerConnections>>,
    inputs: &InputSender,
    hello: &Hello,
    shared: &Shared,
) {
    let settings = &shared.settings;
    let (zone, loss_timeout) = (&settings.zone, settings.lease.peer_lost_after());
    let heartbeat_interval = loss_timeout / HEARTBEATS_PER_LOSS_TIMEOUT;
    let Ok(client) = peer::connect(address, settings.source, loss_timeout).await else { return };
    let mut connected_process: Option<Process> = None;
    loop {
        let asked_at = Tick::now();
        let welcome = match client.hello(hello.clone()).await {
            Ok(welcome) => welcome,
            Err(error) => {
                if let peer::Error::Rejected(rejection) = &error {
                    log::warn!("peer {address} rejected the connection: {rejection}");
                }
                break;
            }
        };
        if connected_process.is_none() {
            let process = welcome.process.clone();
            connections.borrow_mut().clients.insert(process.clone(), client.clone());
            connected_process = Some(process);
            if let Ok(state) = client.sync().await {
                inputs.send(Input::PeerBootstrapState(state)).await;
            }
            tell_suspects(&client, shared).await;
        }
        let same_zone = welcome.zone == *zone;
        inputs.send(Input::PeerHeartbeat { welcome, asked_at }).await;
        time::sleep(if same_zone {
            heartbeat_interval
        } else {
            heartbeat_interval * own::CROSS_ZONE_HEARTBEAT_FACTOR
        })
        .await;
    }
    if let Some(process) = connected_process {
        connections.borrow_mut().clients.remove(&process);
    }
}

/// Asks a process to stop renewing leases and passes its acknowledgement to the control thread.
pub(crate) async fn request_stop(client: Client, inputs: InputSender, request: stop::Request) {
    if let Ok(ack) = client.stop(request.clone()).await {
        let received_at = Tick::now();
        inputs.send(Input::Event(Event::StopAcknowledged { request, ack, received_at })).await;
    }
}

/// Returns the part of a heartbeat that ownership depends on.
pub(crate) fn to_peer(welcome: &Welcome) -> Peer {
    Peer { process: welcome.process.clone(), zone: welcome.zone.clone(), leaving: welcome.leaving }
}

/// Serves the peers' remote calls by passing them to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    inputs: InputSender,
    hello: Hello,
    welcome: Arc<Mutex<Welcome>>,
    /// Whether the peer on this connection has named this cluster and protocol in `hello`.
    has_greeted: Arc<AtomicBool>,
}

impl PeerServer {
    pub(crate) fn new(inputs: InputSender, me: &Process, settings: &Settings) -> Self {
        let welcome = Welcome {
            process: me.clone(),
            zone: settings.zone.clone(),
            leaving: false,
            config: Version::ZERO,
            rows: 0,
        };
        let hello = Hello { cluster: settings.cluster.clone(), protocol: peer::PROTOCOL };
        Self { inputs, hello, welcome: Arc::new(Mutex::new(welcome)), has_greeted: Arc::default() }
    }

    /// Returns the server for a new connection, whose peer has not greeted yet.
    pub(crate) fn connection(&self) -> Self {
        Self { has_greeted: Arc::default(), ..self.clone() }
    }

    /// Queues an input for the control thread unless the peer has not greeted or the queue is full.
    fn try_send(&self, input: Input) -> Result<(), Rejection> {
        if !self.has_greeted.load(Ordering::Relaxed) {
            return Err(Rejection::HelloMissing);
        }
        self.inputs.try_send(input)
    }

    /// Changes the reply to `hello`, which peers take as a heartbeat.
    pub(crate) fn update_welcome(&self, change: impl FnOnce(&mut Welcome)) {
        change(&mut self.welcome.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl PeerService for PeerServer {
    async fn hello(self, _: Context, hello: Hello) -> Result<Welcome, Rejection> {
        if hello.cluster != self.hello.cluster {
            return Err(Rejection::Cluster(self.hello.cluster));
        }
        if hello.protocol != self.hello.protocol {
            return Err(Rejection::Protocol(self.hello.protocol));
        }
        self.has_greeted.store(true, Ordering::Relaxed);
        Ok(self.welcome.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }

    async fn publish(self, _: Context, rows: Vec<Versioned<Row>>) -> Result<(), Rejection> {
        for Versioned { version, value } in rows {
            self.try_send(Input::Event(Event::Row { version, row: value }))?;
        }
        Ok(())
    }

    async fn configure(self, _: Context, config: Versioned<String>) -> Result<(), Rejection> {
        self.try_send(Input::PeerConfig(config))
    }

    async fn stop(self, _: Context, request: stop::Request) -> Result<stop::Ack, Rejection> {
        let (respond_to, receiver) = oneshot::channel();
        self.try_send(Input::StopRequested { request, respond_to })?;
        receiver.await.unwrap_or(Err(Rejection::Busy))
    }

    async fn sync(self, _: Context) -> peer::BootstrapState {
        let (respond_to, receiver) = oneshot::channel();
        if self.try_send(Input::BootstrapStateRequested(respond_to)).is_err() {
            return peer::BootstrapState::default();
        }
        receiver.await.unwrap_or_default()
    }

    async fn farewell(self, _: Context, process: Process) -> Result<(), Rejection> {
        self.try_send(Input::Event(Event::ProcessEnded(process)))
    }

    async fn records(self, _: Context, limit: u32) -> Vec<Record> {
        let (respond_to, receiver) = oneshot::channel();
        let sent = self.try_send(Input::RecordsRequested { limit: limit as usize, respond_to });
        if sent.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn burn(self, _: Context) -> Vec<ServiceBurn> {
        let (respond_to, receiver) = oneshot::channel();
        let sent = self.try_send(Input::BurnRequested(respond_to));
        if sent.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn strike(self, _: Context, report: CrashReport) -> Result<(), Rejection> {
        self.try_send(Input::CrashReported(report))
    }
}

/// Tells a process that this one has just met which requests are refused: it may have started after
/// they crashed their targets.
async fn tell_suspects(client: &Client, shared: &Shared) {
    let refused = shared.quarantine().refused(Instant::now());
    for suspect in refused {
        for crash in suspect.crashes {
            let report = CrashReport { fingerprint: suspect.fingerprint, crash };
            if let Err(error) = client.strike(report).await {
                log::warn!("a peer did not take the report of an earlier crash: {error}");
                return;
            }
        }
    }
}

/// Sends a crash report to every peer, then wakes the request that waits for this.
pub(crate) fn broadcast_crash_report(
    handles: &Handles,
    report: CrashReport,
    peers_notified: oneshot::Sender<()>,
) {
    let clients = handles.connections.borrow().clients();
    spawn_local(async move {
        let notices = clients.into_iter().map(|client| async move {
            if let Err(error) = client.strike(report).await {
                log::warn!("a peer did not take the report of a crash: {error}");
            }
        });
        futures::future::join_all(notices).await;
        peers_notified.send(()).ok();
    });
}

/// Sends a new operators' configuration to every peer.
pub(crate) fn broadcast_config(handles: &Handles, config: &Versioned<String>) {
    for client in handles.connections.borrow().clients() {
        let config = config.clone();
        spawn_local(async move { client.configure(config).await.ok() });
    }
}
