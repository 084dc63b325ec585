//! The process: starting its two threads, and stopping them in order.

use {
    crate::{
        Error,
        control::{self, Context},
        permit,
        shared::Shared,
        traffic::{
            relay::probe_targets,
            server::{self, Kind},
        },
        usage,
    },
    conf::PlatformSettings,
    http::StatusCode,
    key::{Incarnation, Process},
    quota::Group,
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

/// The stack size of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 512 << 10;

/// The time for which new connections are still accepted after a signal to stop: the load balancer
/// needs two failed readiness checks to stop sending them.
const STOP_NOTICE: Duration = Duration::from_millis(2_800);

/// The journal line about the start.
#[derive(Serialize)]
struct StartedLine<'a> {
    incarnation: u64,
    zone: &'a str,
    listen: SocketAddr,
    version: &'a str,
}

/// The journal line about the end: whether every response in flight has ended in time.
#[derive(Serialize)]
struct StoppedLine {
    #[serde(rename = "whole")]
    all_ended: bool,
}

/// The listening sockets that the traffic thread serves.
struct TrafficListeners {
    callers: std::net::TcpListener,
    relay: Option<std::net::TcpListener>,
    ready: std::net::TcpListener,
    metrics: std::net::TcpListener,
}

/// Runs an entry until a signal stops it, then waits until no request is in flight.
///
/// # Errors
///
/// Returns an [`Error`] if the process cannot start or its control thread ends.
pub fn run(settings: PlatformSettings, file: PathBuf) -> Result<(), Error> {
    let journal = Journal::start(settings.vm.as_str(), settings.log_lines_per_s.get())?;
    let me =
        Process { vm: settings.vm.clone(), incarnation: Incarnation::from(rand::random::<u64>()) };
    let runtime = new_runtime()?;
    let listeners = TrafficListeners {
        callers: bind("listen", settings.listen)?,
        relay: settings.relay_listen.map(|address| bind("relay_listen", address)).transpose()?,
        ready: bind("ready_listen", settings.ready_listen)?,
        metrics: bind("metrics_listen", settings.metrics_listen)?,
    };
    let peer_listener = bind("peer_listen", settings.peer_listen)?;
    let shared = Shared::new(settings, journal, permit::new_client());
    shared.journal.log(
        "started",
        &StartedLine {
            incarnation: me.incarnation.get(),
            zone: shared.settings.zone.as_str(),
            listen: shared.settings.listen,
            version: env!("CARGO_PKG_VERSION"),
        },
    );
    let context = Context { me, shared: Arc::clone(&shared), peer_listener };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .stack_size(CONTROL_STACK_BYTES)
        .spawn(move || control::run(context))?;
    let all_ended = runtime.block_on(run_traffic(&shared, listeners, file))?;
    shared.journal.log("stopped", &StoppedLine { all_ended });
    // The journal thread needs a moment to write the last line.
    thread::sleep(Duration::from_millis(20));
    if control.is_finished() { Err(Error::Control) } else { Ok(()) }
}

/// Binds a listening socket; `field` names the setting in the error.
fn bind(field: &'static str, address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    listen().map_err(|cause| Error::Listen { field, address, cause })
}

fn new_runtime() -> Result<Runtime, Error> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// Serves callers, readiness checks and metrics until a signal to stop. Returns whether every
/// response in flight has ended in time.
async fn run_traffic(
    shared: &Arc<Shared>,
    listeners: TrafficListeners,
    file: PathBuf,
) -> Result<bool, Error> {
    let TrafficListeners { callers, relay, ready, metrics } = listeners;
    let (stop, stopped) = watch::channel(false);
    let callers = TcpListener::from_std(callers)?;
    let for_ready = Arc::clone(shared);
    let answer_check = move |request| {
        let response = server::handle_readiness_check(&for_ready, &request);
        async move { response }
    };
    let limiter = || shared.limiter.clone();
    let ready = TcpListener::from_std(ready)?;
    tokio::spawn(wire::serve_within(ready, limiter(), Group::Readiness, answer_check));
    let for_metrics = Arc::clone(shared);
    let answer_metrics = move |_| {
        for_metrics.counters.set("log_lines_lost", for_metrics.journal.dropped_lines());
        usage::record(&for_metrics);
        let text = for_metrics.counters.to_prometheus();
        async move {
            let mut reply = wire::status(StatusCode::OK);
            *reply.body_mut() = http_body_util::Full::new(text.into());
            reply
        }
    };
    let metrics = TcpListener::from_std(metrics)?;
    tokio::spawn(wire::serve_within(metrics, limiter(), Group::Control, answer_metrics));
    tokio::spawn(usage::log_changes(Arc::clone(shared)));
    tokio::spawn(validate_settings_on_hangup(Arc::clone(shared), file));
    let stop_timeout = shared.settings.stop_timeout();
    let timeout = stop_timeout.saturating_sub(STOP_NOTICE);
    tokio::spawn(probe_targets(Arc::clone(shared)));
    let mut serving = vec![tokio::spawn(server::serve(
        callers,
        Arc::clone(shared),
        Kind::Callers,
        stopped.clone(),
        timeout,
    ))];
    if let Some(relay) = relay {
        let relay = TcpListener::from_std(relay)?;
        let shared = Arc::clone(shared);
        serving.push(tokio::spawn(server::serve(relay, shared, Kind::Entries, stopped, timeout)));
    }
    wait_for_signal().await?;
    shared.stopping.store(true, Ordering::Relaxed);
    shared.journal.log("stopping", &());
    time::sleep(STOP_NOTICE.min(stop_timeout / 2)).await;
    stop.send_replace(true);
    let ended = futures::future::join_all(serving).await;
    Ok(ended.into_iter().all(|all_ended| all_ended.unwrap_or(false)))
}

/// Waits for a signal to stop.
async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reads the settings file again at each hang-up signal and logs whether it is valid. The settings
/// in force don't change.
async fn validate_settings_on_hangup(shared: Arc<Shared>, file: PathBuf) {
    #[derive(Serialize)]
    struct ReloadedLine {
        error: Option<String>,
    }
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else { return };
    while hang_up.recv().await.is_some() {
        let error = PlatformSettings::read(&file).err().map(|error| error.to_string());
        shared.journal.log("reloaded", &ReloadedLine { error });
    }
}
