//! The control plane: one thread that owns the state of ownership.

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
            fleet::{Answering, Links},
            input::{Input, Inputs},
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

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// The messages that may wait for the control thread.
const QUEUE: usize = 8_192;

/// The longest wait of a stopping process until its cells are handed over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(5);

/// The time between two samples of the traffic's counts.
const SAMPLE: Duration = Duration::from_secs(1);

/// What the control thread is given.
pub(crate) struct Seat {
    pub(crate) me: Process,
    pub(crate) shared: Arc<Shared>,
    pub(crate) feedback: mpsc::Receiver<Feedback>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) operators: std::net::TcpListener,
    pub(crate) started: std::sync::mpsc::Sender<Result<(), Error>>,
    pub(crate) handed_over: watch::Sender<bool>,
}

/// Runs the control plane until the process ends.
pub(crate) fn run(seat: Seat) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            seat.started.send(Err(error.into())).ok();
            return;
        }
    };
    LocalSet::new().block_on(&runtime, control(seat));
}

async fn control(seat: Seat) {
    let (inputs, mut queue) = Inputs::channel(QUEUE);
    let shared = Arc::clone(&seat.shared);
    let settings = &shared.settings;
    let mut state = State::new(seat.me.clone(), Arc::clone(&shared), Tick::now());
    let answering = Answering::new(inputs.clone(), &seat.me, settings);
    let listening = peer::listen(settings.peer_listen, {
        let answering = answering.clone();
        move || answering.connection()
    })
    .await;
    let listening = match listening {
        Ok(listening) => listening,
        Err(cause) => {
            let address = settings.peer_listen;
            seat.started.send(Err(Error::Listen { address, cause })).ok();
            return;
        }
    };
    spawn_local(listening);
    let operators = match TcpListener::from_std(seat.operators) {
        Ok(operators) => operators,
        Err(error) => {
            seat.started.send(Err(error.into())).ok();
            return;
        }
    };
    seat.started.send(Ok(())).ok();
    let links = Rc::new(RefCell::new(Links::default()));
    let platform = table::client(settings);
    spawn_local(operator::serve(operators, inputs.clone()));
    spawn_local(table::poll(platform.clone(), inputs.clone(), settings.control));
    spawn_local(table::poll_vms(platform.clone(), inputs.clone(), settings.control));
    spawn_local(shipper::run(platform.clone(), inputs.clone(), seat.me.clone()));
    spawn_local(pass_feedback(seat.feedback, inputs.clone()));
    spawn_local(watch_stop(seat.stop, inputs.clone()));
    let outside = Outside {
        inputs: inputs.clone(),
        platform,
        targets: target::client(settings),
        links,
        shared: Arc::clone(&shared),
    };
    let mut tick = time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sample = time::interval(SAMPLE);
    sample.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut handing_over: Option<Tick> = None;
    loop {
        let input = tokio::select! {
            input = queue.recv() => input,
            _ = tick.tick() => Some(Input::Event(Event::Tick)),
            _ = sample.tick() => Some(Input::Sample),
        };
        let Some(input) = input else { return };
        if matches!(input, Input::Stop) {
            handing_over = Some(Tick::now());
        }
        for action in state.take(input, &outside) {
            outside.perform(action, &mut state);
        }
        state.publish(&answering);
        fleet::keep(&outside, &state, &answering);
        if let Some(since) = handing_over
            && (state.node().is_idle() || Tick::now().since(since) > HANDOVER_LIMIT)
        {
            handing_over = None;
            outside.farewell(state.me().clone(), seat.handed_over.clone());
        }
    }
}

async fn pass_feedback(mut feedback: mpsc::Receiver<Feedback>, inputs: Inputs) {
    while let Some(feedback) = feedback.recv().await {
        inputs.send(Input::Feedback(feedback)).await;
    }
}

async fn watch_stop(mut stop: watch::Receiver<bool>, inputs: Inputs) {
    if stop.wait_for(|stop| *stop).await.is_ok() {
        inputs.send(Input::Stop).await;
    }
}

/// The ways out of the control thread.
pub(crate) struct Outside {
    inputs: Inputs,
    platform: store::Client,
    targets: wire::Client,
    links: Rc<RefCell<Links>>,
    shared: Arc<Shared>,
}

impl Outside {
    fn perform(&self, action: Action, state: &mut State) {
        match action {
            Action::Grant { target, grant } => {
                spawn_local(target::offer(
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
                if let Some(client) = self.links.borrow().client(&process) {
                    spawn_local(fleet::ask_stop(client, self.inputs.clone(), request));
                }
            }
            Action::Publish { version, row } => {
                let row = peer::Versioned { version, value: row };
                for client in self.links.borrow().clients() {
                    let row = row.clone();
                    spawn_local(async move { client.publish(vec![row]).await.ok() });
                }
            }
            Action::Record(decision) => state.record(report::Kind::Ownership(decision)),
        }
    }

    /// Tells the peers that this process renews nothing any more, and then the process itself.
    fn farewell(&self, me: Process, handed_over: watch::Sender<bool>) {
        let clients = self.links.borrow().clients();
        spawn_local(async move {
            let words = clients.into_iter().map(|client| {
                let me = me.clone();
                async move { client.farewell(me).await.ok() }
            });
            futures::future::join_all(words).await;
            handed_over.send_replace(true);
        });
    }
}
