//! Starts and stops the process with its two runtimes, for traffic and for control.

use {
    crate::{
        Error, control,
        shared::Shared,
        traffic::{handle, server, target},
    },
    conf::Settings,
    key::{Incarnation, Process},
    log::{info, warn},
    report::Metrics,
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
        time,
    },
};

/// The number of feedback messages from traffic that may be queued for control.
const FEEDBACK_QUEUE_CAPACITY: usize = 1_024;

/// Runs an entry until a signal stops it, then waits until no request is in flight.
///
/// # Errors
///
/// Returns an [`Error`] if the process cannot start or its control thread ends.
pub fn run(settings: Settings) -> Result<(), Error> {
    let me =
        Process { vm: settings.vm.clone(), incarnation: Incarnation::from(rand::random::<u64>()) };
    let traffic = traffic_runtime(&settings)?;
    let metrics = Metrics::new(settings.statsd)?;
    let (feedback, feedback_receiver) = mpsc::channel(FEEDBACK_QUEUE_CAPACITY);
    let shared = Shared::new(settings, feedback, metrics);
    let (stop_sender, stop_receiver) = watch::channel(false);
    let (handed_over, handover_receiver) = watch::channel(false);
    let (started, started_receiver) = std::sync::mpsc::channel();
    let operator_listener = bind(shared.settings.operator_listen)?;
    let caller_listener = bind(shared.settings.listen)?;
    let control_context = control::Context {
        me: me.clone(),
        shared: Arc::clone(&shared),
        feedback: feedback_receiver,
        stop: stop_receiver.clone(),
        operator_listener,
        started,
        handed_over,
    };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control::run(control_context))?;
    started_receiver.recv().map_err(|_| Error::Control)??;
    info!("{me} started, accepting callers on {}", shared.settings.listen);
    let all_ended = traffic.block_on(async {
        let listener = TcpListener::from_std(caller_listener)?;
        let context = Arc::new(traffic_context(&shared, me));
        let serving = tokio::spawn(server::serve(listener, context, stop_receiver));
        wait_for_signal().await?;
        announce_stop(&shared, &stop_sender, handover_receiver).await;
        Ok::<_, std::io::Error>(serving.await.unwrap_or(false))
    })?;
    if !all_ended {
        warn!("stopped with responses still in flight after stop_ms");
    }
    if control.is_finished() {
        return Err(Error::Control);
    }
    info!("stopped");
    Ok(())
}

fn bind(address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let open = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    open().map_err(|cause| Error::Listen { address, cause })
}

fn traffic_runtime(settings: &Settings) -> Result<Runtime, Error> {
    let threads = settings.traffic_threads.get() as usize;
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    Ok(runtime)
}

fn traffic_context(shared: &Arc<Shared>, me: Process) -> handle::Context {
    let timeout = Duration::from_millis(shared.settings.control.platform_timeout_ms.get());
    handle::Context {
        shared: Arc::clone(shared),
        me,
        platform: store::Config::new(shared.settings.platform)
            .timeout(timeout)
            .source(shared.settings.source)
            .build(),
        probe: wire::Config::default()
            .timeout(target::PROBE_TIMEOUT)
            .for_targets()
            .source(shared.settings.source)
            .build(),
    }
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

/// Announces the stop to the load balancer by the health check, then stops accepting connections
/// and waits for the handover of the cells.
async fn announce_stop(
    shared: &Shared,
    stop: &watch::Sender<bool>,
    mut handed_over: watch::Receiver<bool>,
) {
    shared.stopping.store(true, std::sync::atomic::Ordering::Relaxed);
    let stop_notice = Duration::from_millis(shared.settings.traffic.notice_ms.get());
    info!("stopping: health checks fail for {stop_notice:?} before connections are refused");
    time::sleep(stop_notice).await;
    stop.send_replace(true);
    handed_over.wait_for(|done| *done).await.ok();
}
