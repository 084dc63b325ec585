//! Talking with the other entries.

use {
    crate::control::{
        Outside,
        input::{Input, Inputs},
        state::State,
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
    },
    tarpc::context::Context,
    tokio::{
        sync::oneshot,
        task::{AbortHandle, spawn_local},
        time,
    },
};

/// The signs of life in the time after which a peer counts as lost.
const HELLOS_PER_LIMIT: u32 = 4;

/// The connections to the peers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    tasks: HashMap<SocketAddr, AbortHandle>,
    clients: HashMap<Process, Client>,
}

impl Links {
    /// Returns the connection to a process.
    pub(crate) fn client(&self, process: &Process) -> Option<Client> {
        self.clients.get(process).cloned()
    }

    /// Returns all connections with their processes.
    pub(crate) fn named(&self) -> Vec<(Process, Client)> {
        self.clients.iter().map(|(process, client)| (process.clone(), client.clone())).collect()
    }

    /// Returns all connections.
    pub(crate) fn clients(&self) -> Vec<Client> {
        self.clients.values().cloned().collect()
    }
}

/// Keeps a task for each peer that is known, and ends those of peers that are gone.
pub(crate) fn keep(outside: &Outside, state: &State, answering: &Answering) {
    let wanted = state.peer_addresses();
    let mut links = outside.links.borrow_mut();
    links.tasks.retain(|address, task| {
        let keep = wanted.contains(address);
        if !keep {
            task.abort();
        }
        keep
    });
    for address in wanted {
        links.tasks.entry(address).or_insert_with(|| {
            let links = std::rc::Rc::clone(&outside.links);
            let (inputs, hello) = (outside.inputs.clone(), answering.hello.clone());
            let shared = Arc::clone(&outside.shared);
            let task = async move {
                loop {
                    converse(address, &links, &inputs, &hello, &shared.settings).await;
                    time::sleep(shared.settings.lease.peer_lost_after() / HELLOS_PER_LIMIT).await;
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
async fn converse(
    address: SocketAddr,
    links: &std::rc::Rc<std::cell::RefCell<Links>>,
    inputs: &Inputs,
    hello: &Hello,
    settings: &Settings,
) {
    let (zone, limit) = (&settings.zone, settings.lease.peer_lost_after());
    let every = limit / HELLOS_PER_LIMIT;
    let Ok(client) = peer::connect(address, settings.source, limit).await else { return };
    let mut known: Option<Process> = None;
    loop {
        let asked = Tick::now();
        let welcome = match client.hello(hello.clone()).await {
            Ok(welcome) => welcome,
            Err(error) => {
                if let peer::Error::Rejected(refused) = &error {
                    log::warn!("peer {address} is refused: {refused}");
                }
                break;
            }
        };
        if known.is_none() {
            let process = welcome.process.clone();
            links.borrow_mut().clients.insert(process.clone(), client.clone());
            known = Some(process);
            if let Ok(state) = client.sync().await {
                inputs.send(Input::Synced(state)).await;
            }
        }
        let near = welcome.zone == *zone;
        inputs.send(Input::Welcomed { welcome, asked }).await;
        time::sleep(if near { every } else { every * own::CROSS_ZONE_HEARTBEAT_FACTOR }).await;
    }
    if let Some(process) = known {
        links.borrow_mut().clients.remove(&process);
    }
}

/// Asks a process to stop renewing and reports its promise.
pub(crate) async fn ask_stop(client: Client, inputs: Inputs, request: stop::Request) {
    if let Ok(ack) = client.stop(request.clone()).await {
        let received_at = Tick::now();
        inputs.send(Input::Event(Event::StopAcknowledged { request, ack, received_at })).await;
    }
}

/// Returns what a sign of life means for ownership.
pub(crate) fn peer_of(welcome: &Welcome) -> Peer {
    Peer { process: welcome.process.clone(), zone: welcome.zone.clone(), leaving: welcome.leaving }
}

/// Answers the peers' calls, on the control thread.
#[derive(Clone, Debug)]
pub(crate) struct Answering {
    inputs: Inputs,
    hello: Hello,
    welcome: Arc<Mutex<Welcome>>,
    /// Whether the peer has said hello on this connection.
    greeted: Arc<AtomicBool>,
}

impl Answering {
    pub(crate) fn new(inputs: Inputs, me: &Process, settings: &Settings) -> Self {
        let welcome = Welcome {
            process: me.clone(),
            zone: settings.zone.clone(),
            leaving: false,
            config: Version::ZERO,
            rows: 0,
        };
        let hello = Hello { cluster: settings.cluster.clone(), protocol: peer::PROTOCOL };
        Self { inputs, hello, welcome: Arc::new(Mutex::new(welcome)), greeted: Arc::default() }
    }

    /// Returns the server of a new connection, whose peer is not known yet.
    pub(crate) fn connection(&self) -> Self {
        Self { greeted: Arc::default(), ..self.clone() }
    }

    /// Passes a message on if the peer is known to belong to this cluster.
    fn offer(&self, input: Input) -> Result<(), Rejection> {
        if !self.greeted.load(Ordering::Relaxed) {
            return Err(Rejection::HelloMissing);
        }
        self.inputs.offer(input)
    }

    /// Replaces what signs of life tell.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Welcome)) {
        change(&mut self.welcome.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl PeerService for Answering {
    async fn hello(self, _: Context, hello: Hello) -> Result<Welcome, Rejection> {
        if hello.cluster != self.hello.cluster {
            return Err(Rejection::Cluster(self.hello.cluster));
        }
        if hello.protocol != self.hello.protocol {
            return Err(Rejection::Protocol(self.hello.protocol));
        }
        self.greeted.store(true, Ordering::Relaxed);
        Ok(self.welcome.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }

    async fn publish(self, _: Context, rows: Vec<Versioned<Row>>) -> Result<(), Rejection> {
        for Versioned { version, value } in rows {
            self.offer(Input::Event(Event::Row { version, row: value }))?;
        }
        Ok(())
    }

    async fn configure(self, _: Context, text: Versioned<String>) -> Result<(), Rejection> {
        self.offer(Input::Configured(text))
    }

    async fn stop(self, _: Context, ask: stop::Request) -> Result<stop::Ack, Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.offer(Input::StopAsked { ask, answer })?;
        receiver.await.unwrap_or(Err(Rejection::Busy))
    }

    async fn sync(self, _: Context) -> peer::BootstrapState {
        let (answer, receiver) = oneshot::channel();
        if self.offer(Input::SyncAsked(answer)).is_err() {
            return peer::BootstrapState::default();
        }
        receiver.await.unwrap_or_default()
    }

    async fn farewell(self, _: Context, process: Process) -> Result<(), Rejection> {
        self.offer(Input::Event(Event::ProcessEnded(process)))
    }

    async fn records(self, _: Context, limit: u32) -> Vec<Record> {
        let (answer, receiver) = oneshot::channel();
        let asked = self.offer(Input::Records { limit: limit as usize, answer });
        if asked.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn burn(self, _: Context) -> Vec<ServiceBurn> {
        let (answer, receiver) = oneshot::channel();
        let asked = self.offer(Input::Burn(answer));
        if asked.is_err() { Vec::new() } else { receiver.await.unwrap_or_default() }
    }

    async fn strike(self, _: Context, strike: CrashReport) -> Result<(), Rejection> {
        self.offer(Input::Struck(strike))
    }
}

/// Tells every peer of a strike, then the request that waits for it.
pub(crate) fn share_strike(outside: &Outside, strike: CrashReport, told: oneshot::Sender<()>) {
    let clients = outside.links.borrow().clients();
    spawn_local(async move {
        let words =
            clients.into_iter().map(|client| async move { client.strike(strike).await.ok() });
        futures::future::join_all(words).await;
        told.send(()).ok();
    });
}

/// Sends a new operators' text to every peer.
pub(crate) fn share_config(outside: &Outside, text: &Versioned<String>) {
    for client in outside.links.borrow().clients() {
        let text = text.clone();
        spawn_local(async move { client.configure(text).await.ok() });
    }
}
