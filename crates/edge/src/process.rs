//! The process: its two threads, its start and its stop.

use {
    crate::{
        Error,
        control::{self, Seat},
        shared::Shared,
        traffic::server,
    },
    conf::PlatformSettings,
    http::StatusCode,
    key::{Incarnation, Process},
    report::Journal,
    serde::Serialize,
    std::{
        net::SocketAddr, path::PathBuf, sync::Arc, sync::atomic::Ordering, thread, time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::watch,
        time,
    },
};

/// The stack of the control thread, in bytes.
const STACK_BYTES: usize = 512 << 10;

/// The time for which new connections are still taken after a notice to stop: the balancer needs two
/// missed questions to look elsewhere.
const NOTICE: Duration = Duration::from_millis(2_800);

#[derive(Serialize)]
struct Started<'a> {
    incarnation: u64,
    zone: &'a str,
    listen: SocketAddr,
    version: &'a str,
}

#[derive(Serialize)]
struct Stopped {
    whole: bool,
}

/// The sockets of the traffic thread.
struct Listeners {
    callers: std::net::TcpListener,
    ready: std::net::TcpListener,
    metrics: std::net::TcpListener,
}

/// Runs an entry until a signal stops it; then waits until nothing is in flight.
///
/// # Errors
///
/// Returns an [`Error`] if the process cannot start or its control thread ends.
pub fn run(settings: PlatformSettings, file: PathBuf) -> Result<(), Error> {
    let journal = Journal::start(settings.vm.as_str(), settings.log_lines_per_s.get())?;
    let me =
        Process { vm: settings.vm.clone(), incarnation: Incarnation::from(rand::random::<u64>()) };
    let runtime = runtime()?;
    let listeners = Listeners {
        callers: bind("listen", settings.listen)?,
        ready: bind("ready_listen", settings.ready_listen)?,
        metrics: bind("metrics_listen", settings.metrics_listen)?,
    };
    let peers = bind("peer_listen", settings.peer_listen)?;
    let shared = Shared::new(settings, journal);
    shared.journal.log(
        "started",
        &Started {
            incarnation: me.incarnation.get(),
            zone: shared.settings.zone.as_str(),
            listen: shared.settings.listen,
            version: env!("CARGO_PKG_VERSION"),
        },
    );
    let seat = Seat { me, shared: Arc::clone(&shared), peers };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || control::run(seat))?;
    let whole = runtime.block_on(traffic(&shared, listeners, file))?;
    shared.journal.log("stopped", &Stopped { whole });
    // The writer of the log has a moment for the last line.
    thread::sleep(Duration::from_millis(20));
    if control.is_finished() { Err(Error::Control) } else { Ok(()) }
}

fn bind(field: &'static str, address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    listen().map_err(|cause| Error::Listen { field, address, cause })
}

fn runtime() -> Result<Runtime, Error> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

async fn traffic(shared: &Arc<Shared>, listeners: Listeners, file: PathBuf) -> Result<bool, Error> {
    let Listeners { callers, ready, metrics } = listeners;
    let (stop, stopped) = watch::channel(false);
    let callers = TcpListener::from_std(callers)?;
    let for_ready = Arc::clone(shared);
    tokio::spawn(wire::serve(TcpListener::from_std(ready)?, move |request| {
        let response = server::ready(&for_ready, &request);
        async move { response }
    }));
    let for_metrics = Arc::clone(shared);
    tokio::spawn(wire::serve(TcpListener::from_std(metrics)?, move |_| {
        for_metrics.counters.set("log_lines_lost", for_metrics.journal.dropped_lines());
        let text = for_metrics.counters.text();
        async move {
            let mut reply = wire::status(StatusCode::OK);
            *reply.body_mut() = http_body_util::Full::new(text.into());
            reply
        }
    }));
    tokio::spawn(reload(Arc::clone(shared), file));
    let limit = shared.settings.stop_timeout();
    let serving = tokio::spawn(server::serve(
        callers,
        Arc::clone(shared),
        stopped,
        limit.saturating_sub(NOTICE),
    ));
    wait_for_signal().await?;
    shared.stopping.store(true, Ordering::Relaxed);
    shared.journal.log("stopping", &());
    time::sleep(NOTICE.min(limit / 2)).await;
    stop.send_replace(true);
    Ok(serving.await.unwrap_or(false))
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reads the settings again at each hang-up signal. Addresses and names stay as they were at the
/// start; a file that cannot be read changes nothing.
async fn reload(shared: Arc<Shared>, file: PathBuf) {
    #[derive(Serialize)]
    struct Reloaded {
        error: Option<String>,
    }
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else { return };
    while hang_up.recv().await.is_some() {
        let error = PlatformSettings::read(&file).err().map(|error| error.to_string());
        shared.journal.log("reloaded", &Reloaded { error });
    }
}
