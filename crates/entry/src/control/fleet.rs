//! Talking with the other entries.

use {
    crate::control::{
        Handles,
        input::{Input, InputSender},
        state::State,
    },
    conf::Settings,
    key::{Process, Version, clock::Tick},
    own::{Event, Peer, Row, stop},
    peer::{Client, Fleet, Hello, Refused, Versioned, Welcome},
    report::{Record, burn::Line},
    route::quarantine::CrashReport,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tarpc::context::Context,
    tokio::{
        sync::oneshot,
        task::{AbortHandle, spawn_local},
        time,
    },
};

/// The signs of life in the time after which a peer counts as lost.
const HEARTBEATS_PER_PEER_TIMEOUT: u32 = 4;

/// The connections to the peers.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    tasks: HashMap<SocketAddr, AbortHandle>,
    clients: HashMap<Process, Client>,
}

impl PeerConnections {
    /// Returns the connection to a process.
    pub(crate) fn client(&self, process: &Process) -> Option<Client> {
        self.clients.get(process).cloned()
    }

    /// Returns all connections with their processes.
    pub(crate) fn entries(&self) -> Vec<(Process, Client)> {
        self.clients.iter().map(|(process, client)| (process.clone(), client.clone())).collect()
    }

    /// Returns all connections.
    pub(crate) fn clients(&self) -> Vec<Client> {
        self.clients.values().cloned().collect()
    }
}

/// Keeps a task for each peer that is known, and ends those of peers that are gone.
pub(crate) fn maintain_connections(handles: &Handles, state: &State, peer_server: &PeerServer) {
    let wanted = state.peer_addresses();
    let mut connections = handles.connections.borrow_mut();
    connections.tasks.retain(|address, task| {
        let wanted_still = wanted.contains(address);
        if !wanted_still {
            task.abort();
        }
        wanted_still
    });
    for address in wanted {
        connections.tasks.entry(address).or_insert_with(|| {
            let connections = std::rc::Rc::clone(&handles.connections);
            let (inputs, hello) = (handles.inputs.clone(), peer_server.hello.clone());
            let shared = Arc::clone(&handles.shared);
            let task = async move {
                loop {
                    exchange_heartbeats(address, &connections, &inputs, &hello, &shared.settings)
                        .await;
                    time::sleep(
                        shared.settings.lease.peer_lost_after() / HEARTBEATS_PER_PEER_TIMEOUT,
                    )
                    .await;
                }
            };
            spawn_local(task).abort_handle()
        });
    }
}

/// Connects to one peer and asks for signs of life, one after the other, until one is missing.
///
/// The order matters: a sign that was sent before the peer's process ended must never be taken in
/// after one of its successor, or the successor would be taken for the one that ended.
async fn exchange_heartbeats(
    address: SocketAddr,
    connections: &std::rc::Rc<std::cell::RefCell<PeerConnections>>,
    inputs: &InputSender,
    hello: &Hello,
    settings: &Settings,
) {
    let (zone, peer_timeout) = (&settings.zone, settings.lease.peer_lost_after());
    let interval = peer_timeout / HEARTBEATS_PER_PEER_TIMEOUT;
    let Ok(client) = peer::connect(address, settings.source, peer_timeout).await else { return };
    let mut known: Option<Process> = None;
    loop {
        let asked_at = Tick::now();
        let welcome = match client.hello(hello.clone()).await {
            Ok(welcome) => welcome,
            Err(error) => {
                if let peer::Error::Refused(refused) = &error {
                    log::warn!("peer {address} is refused: {refused}");
                }
                break;
            }
        };
        if known.is_none() {
            let process = welcome.process.clone();
            connections.borrow_mut().clients.insert(process.clone(), client.clone());
            known = Some(process);
            if let Ok(state) = client.sync().await {
                inputs.send(Input::PeerState(state)).await;
            }
        }
        let same_zone = welcome.zone == *zone;
        inputs.send(Input::PeerHeartbeat { welcome, asked_at }).await;
        time::sleep(if same_zone { interval } else { interval * own::CROSS_ZONE_HEARTBEAT_FACTOR })
            .await;
    }
    if let Some(process) = known {
        connections.borrow_mut().clients.remove(&process);
    }
}

/// Asks a process to stop renewing and reports its promise.
pub(crate) async fn request_stop(client: Client, inputs: InputSender, request: stop::Request) {
    if let Ok(ack) = client.stop(request.clone()).await {
        let received_at = Tick::now();
        inputs.send(Input::Event(Event::StopAcknowledged { request, ack, received_at })).await;
    }
}

/// Returns what a sign of life means for ownership.
pub(crate) fn to_peer(welcome: &Welcome) -> Peer {
    Peer { process: welcome.process.clone(), zone: welcome.zone.clone(), leaving: welcome.leaving }
}

/// Answers the peers' calls, on the control thread.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    inputs: InputSender,
    hello: Hello,
    welcome: Arc<Mutex<Welcome>>,
    /// Whether the peer has said hello on this connection.
    handshake_done: Arc<AtomicBool>,
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
        Self {
            inputs,
            hello,
            welcome: Arc::new(Mutex::new(welcome)),
            handshake_done: Arc::default(),
        }
    }

    /// Returns the server of a new connection, whose peer is not known yet.
    pub(crate) fn connection(&self) -> Self {
        Self { handshake_done: Arc::default(), ..self.clone() }
    }

    /// Passes a message on if the peer is known to belong to this cluster.
    fn try_send(&self, input: Input) -> Result<(), Refused> {
        if !self.handshake_done.load(Ordering::Relaxed) {
            return Err(Refused::Ungreeted);
        }
        self.inputs.try_send(input)
    }

    /// Replaces what signs of life tell.
    pub(crate) fn update_welcome(&self, change: impl FnOnce(&mut Welcome)) {
        change(&mut self.welcome.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Fleet for PeerServer {
    async fn hello(self, _: Context, hello: Hello) -> Result<Welcome, Refused> {
        if hello.cluster != self.hello.cluster {
            return Err(Refused::Cluster(self.hello.cluster));
        }
        if hello.protocol != self.hello.protocol {
            return Err(Refused::Protocol(self.hello.protocol));
        }
        self.handshake_done.store(true, Ordering::Relaxed);
        Ok(self.welcome.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }

    async fn publish(self, _: Context, rows: Vec<Versioned<Row>>) -> Result<(), Refused> {
        for Versioned { version, value } in rows {
            self.try_send(Input::Event(Event::Row { version, row: value }))?;
        }
        Ok(())
    }

    async fn configure(self, _: Context, text: Versioned<String>) -> Result<(), Refused> {
        self.try_send(Input::PeerConfig(text))
    }

    async fn stop(self, _: Context, request: stop::Request) -> Result<stop::Ack, Refused> {
        let (respond_to, receiver) = oneshot::channel();
        self.try_send(Input::StopRequested { request, respond_to })?;
        receiver.await.unwrap_or(Err(Refused::Busy))
    }

    async fn sync(self, _: Context) -> peer::State {
        let (respond_to, receiver) = oneshot::channel();
        if self.try_send(Input::StateRequested(respond_to)).is_err() {
            return peer::State::default();
        }
        receiver.await.unwrap_or_default()
    }

    async fn farewell(self, _: Context, process: Process) -> Result<(), Refused> {
        self.try_send(Input::Event(Event::ProcessEnded(process)))
    }

    async fn records(self, _: Context, limit: u32) -> Vec<Record> {
        let (respond_to, receiver) = oneshot::channel();
        let asked_at = self.try_send(Input::RecordsRequested { limit: limit as usize, respond_to });
        if asked_at.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn burn(self, _: Context) -> Vec<Line> {
        let (respond_to, receiver) = oneshot::channel();
        let asked_at = self.try_send(Input::BurnRequested(respond_to));
        if asked_at.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn strike(self, _: Context, report: CrashReport) -> Result<(), Refused> {
        self.try_send(Input::CrashReported(report))
    }
}

/// Tells every peer of a strike, then the request that waits for it.
pub(crate) fn broadcast_crash_report(
    handles: &Handles,
    report: CrashReport,
    peers_notified: oneshot::Sender<()>,
) {
    let clients = handles.connections.borrow().clients();
    spawn_local(async move {
        let notices =
            clients.into_iter().map(|client| async move { client.strike(report).await.ok() });
        futures::future::join_all(notices).await;
        peers_notified.send(()).ok();
    });
}

/// Sends a new operators' text to every peer.
pub(crate) fn broadcast_config(handles: &Handles, text: &Versioned<String>) {
    for client in handles.connections.borrow().clients() {
        let text = text.clone();
        spawn_local(async move { client.configure(text).await.ok() });
    }
}
