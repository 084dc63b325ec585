//! The control thread: reads the store, talks to peers and, in the leader, assigns keys to targets.
//!
//! It owns all state that is not about a single request, on one thread without locks. Tasks of its
//! local set do the calls and send their results to one queue, which [`state::State`] handles in
//! order.

mod feeds;
mod input;
mod message;
mod orders;
mod peers;
mod records;
mod state;

use {
    crate::{Error, shared::Shared},
    input::Input,
    key::{Process, clock::Tick},
    platform::{Store, store::Table},
    state::{State, relaying::Relay},
    std::{net::TcpListener, sync::Arc, time::Duration},
    tokio::{
        runtime::Builder,
        sync::{mpsc, watch},
        task::LocalSet,
        time::{self, MissedTickBehavior},
    },
};

/// The number of inputs that the queue of the control thread holds.
const INPUT_QUEUE_CAPACITY: usize = 256;

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The time one call of the store may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The time for which the store holds a long poll until something has changed.
const STORE_POLL_DURATION: Duration = Duration::from_secs(20);

/// The time for which the store holds a long poll of the registry; shorter, since the answer also
/// shows that the store is available.
const REGISTRY_POLL_DURATION: Duration = Duration::from_millis(1_500);

/// What the control thread starts with.
pub(crate) struct Context {
    pub(crate) me: Process,
    pub(crate) shared: Arc<Shared>,
    pub(crate) peer_listener: TcpListener,
}

/// Runs the control thread; returns only if it cannot start.
pub(crate) fn run(context: Context) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, control(context))
}

async fn control(context: Context) -> Result<(), Error> {
    let (sender, mut inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let store = Store::new(context.shared.settings.store, STORE_CALL_TIMEOUT, STORE_POLL_DURATION);
    let listener = tokio::net::TcpListener::from_std(context.peer_listener)?;
    tokio::task::spawn_local(peers::serve(listener, sender.clone(), Arc::clone(&context.shared)));
    let (outage_count, outages) = watch::channel(0);
    let feed = (store.clone(), sender.clone());
    let registry_store = store.with_poll_duration(REGISTRY_POLL_DURATION);
    let tables = feeds::Tables::new(&context.shared);
    for table in [Table::Operator, Table::Entries] {
        let (store, inputs) = feed.clone();
        let shared = Arc::clone(&context.shared);
        let feed = feeds::TableFeed::new(table, store, inputs, Arc::clone(&tables), shared);
        tokio::task::spawn_local(feed.follow(outages.clone()));
    }
    let (following_sender, following) = watch::channel(feeds::Following::default());
    let relay = Relay::new(following_sender, outage_count.subscribe());
    tokio::task::spawn_local(feeds::follow_targets(
        registry_store,
        feed.1,
        outage_count,
        following,
        tables,
        Arc::clone(&context.shared),
    ));
    let mut state = State::new(context.me, context.shared, store, sender, relay);
    state.join();
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            input = inputs.recv() => input.unwrap_or(Input::Tick),
            _ = ticks.tick() => Input::Tick,
        };
        state.handle(input, Tick::now());
    }
}
