//! The control plane: a single thread that owns all state about the ownership of shards.
//!
//! Inputs are handled one at a time, so that state needs no locks. Network calls run as local tasks
//! on the same thread and report their results as inputs.

mod change;
mod fleet;
mod input;
pub(crate) mod operator;
pub(crate) mod routing;
mod shipper;
mod state;
mod table;
mod target;

use {
    crate::{
        Error,
        control::{
            fleet::{PeerConnections, PeerServer},
            input::{Input, InputSender},
            state::State,
        },
        shared::{Feedback, Shared},
    },
    key::{Process, clock::Tick},
    own::{Action, Event},
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::{LocalSet, spawn_local},
        time::{self, MissedTickBehavior},
    },
};

/// The interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The number of inputs that may be queued for the control thread.
const INPUT_QUEUE_CAPACITY: usize = 8_192;

/// The time after which a stopping process no longer waits for its cells to be handed over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval at which the counts of traffic are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// What the control thread starts with.
pub(crate) struct Context {
    pub(crate) me: Process,
    pub(crate) shared: Arc<Shared>,
    pub(crate) feedback: mpsc::Receiver<Feedback>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) operator_listener: std::net::TcpListener,
    pub(crate) started: std::sync::mpsc::Sender<Result<(), Error>>,
    pub(crate) handed_over: watch::Sender<bool>,
}

/// Runs the control plane until the process ends; reports on `started` whether it could start.
pub(crate) fn run(context: Context) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            context.started.send(Err(error.into())).ok();
            return;
        }
    };
    LocalSet::new().block_on(&runtime, run_control(context));
}

async fn run_control(context: Context) {
    let (inputs, mut queue) = InputSender::channel(INPUT_QUEUE_CAPACITY);
    let shared = Arc::clone(&context.shared);
    let settings = &shared.settings;
    let mut state = State::new(context.me.clone(), Arc::clone(&shared), Tick::now());
    let peer_server = PeerServer::new(inputs.clone(), &context.me, settings);
    let peer_listener = peer::listen(settings.peer_listen, {
        let peer_server = peer_server.clone();
        move || peer_server.connection()
    })
    .await;
    let peer_listener = match peer_listener {
        Ok(peer_listener) => peer_listener,
        Err(cause) => {
            let address = settings.peer_listen;
            context.started.send(Err(Error::Listen { address, cause })).ok();
            return;
        }
    };
    spawn_local(peer_listener);
    let operator_listener = match TcpListener::from_std(context.operator_listener) {
        Ok(operator_listener) => operator_listener,
        Err(error) => {
            context.started.send(Err(error.into())).ok();
            return;
        }
    };
    context.started.send(Ok(())).ok();
    let connections = Rc::new(RefCell::new(PeerConnections::default()));
    let platform = table::client(settings);
    let limiter = context.shared.limiter.clone();
    spawn_local(operator::serve(operator_listener, limiter, inputs.clone()));
    spawn_local(table::poll(platform.clone(), inputs.clone(), settings.control));
    spawn_local(table::poll_vms(platform.clone(), inputs.clone(), settings.control));
    spawn_local(shipper::run(platform.clone(), inputs.clone(), context.me.clone()));
    spawn_local(forward_feedback(context.feedback, inputs.clone()));
    spawn_local(forward_stop(context.stop, inputs.clone()));
    let handles = Handles {
        inputs: inputs.clone(),
        platform,
        targets: target::client(settings),
        connections,
        shared: Arc::clone(&shared),
    };
    let mut tick = time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sample = time::interval(SAMPLE_INTERVAL);
    sample.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut handover_started_at: Option<Tick> = None;
    loop {
        let input = tokio::select! {
            input = queue.recv() => input,
            _ = tick.tick() => Some(Input::Event(Event::Tick)),
            _ = sample.tick() => Some(Input::SampleCounts),
        };
        let Some(input) = input else { return };
        if matches!(input, Input::Stop) {
            handover_started_at = Some(Tick::now());
        }
        for action in state.handle(input, &handles) {
            handles.perform(action, &mut state);
        }
        state.publish(&peer_server);
        fleet::maintain_connections(&handles, &state, &peer_server);
        if let Some(started_at) = handover_started_at
            && (state.node().is_idle() || Tick::now().since(started_at) > HANDOVER_TIMEOUT)
        {
            handover_started_at = None;
            handles.resign(state.me().clone(), context.handed_over.clone());
        }
    }
}

async fn forward_feedback(mut feedback: mpsc::Receiver<Feedback>, inputs: InputSender) {
    while let Some(feedback) = feedback.recv().await {
        inputs.send(Input::Feedback(feedback)).await;
    }
}

async fn forward_stop(mut stop: watch::Receiver<bool>, inputs: InputSender) {
    if stop.wait_for(|stop| *stop).await.is_ok() {
        inputs.send(Input::Stop).await;
    }
}

/// The clients, queue and shared state with which the control thread performs its actions.
pub(crate) struct Handles {
    inputs: InputSender,
    platform: store::Client,
    targets: wire::Client,
    connections: Rc<RefCell<PeerConnections>>,
    shared: Arc<Shared>,
}

impl Handles {
    fn perform(&self, action: Action, state: &mut State) {
        match action {
            Action::Grant { target, grant } => {
                spawn_local(target::send_grant(
                    self.targets.clone(),
                    self.inputs.clone(),
                    target,
                    grant,
                ));
            }
            Action::Write(write) => {
                spawn_local(table::write(self.platform.clone(), self.inputs.clone(), write));
            }
            Action::RequestStop { process, request } => {
                if let Some(client) = self.connections.borrow().client(&process) {
                    spawn_local(fleet::request_stop(client, self.inputs.clone(), request));
                }
            }
            Action::Publish { version, row } => {
                let row = peer::Versioned { version, value: row };
                for client in self.connections.borrow().clients() {
                    let row = row.clone();
                    spawn_local(async move { client.publish(vec![row]).await.ok() });
                }
            }
            Action::Record(decision) => state.record(report::Kind::Ownership(decision)),
        }
    }

    /// Notifies the peers that this process renews no leases any more, then signals `handed_over`.
    fn resign(&self, me: Process, handed_over: watch::Sender<bool>) {
        let clients = self.connections.borrow().clients();
        spawn_local(async move {
            let notifications = clients.into_iter().map(|client| {
                let me = me.clone();
                async move { client.farewell(me).await.ok() }
            });
            futures::future::join_all(notifications).await;
            handed_over.send_replace(true);
        });
    }
}
