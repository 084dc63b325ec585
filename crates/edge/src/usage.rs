//! What the process holds for callers and targets, as metrics and in the log.

use {
    crate::shared::Shared,
    quota::Usage,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The interval between two log lines about what was refused or closed meanwhile.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The journal line about what was refused or closed since the last one.
#[derive(Serialize)]
struct LimitsLine {
    refused: u64,
    closed: u64,
    denied: u64,
    held_bytes: usize,
    connections: usize,
}

/// Updates the metrics.
pub(crate) fn record(shared: &Shared) {
    let usage = shared.limiter.usage();
    let counters = &shared.counters;
    counters.set("held_bytes", usage.bytes as u64);
    counters.set("open_connections", usage.connections as u64);
    counters.set("limit_connections_refused", usage.refused);
    counters.set("limit_connections_closed", usage.closed);
    counters.set("limit_bytes_denied", usage.denied);
}

/// Logs what was refused or closed, a line for all of it; never returns.
pub(crate) async fn log_changes(shared: Arc<Shared>) {
    let mut before = Usage::default();
    loop {
        time::sleep(LOG_INTERVAL).await;
        let usage = shared.limiter.usage();
        let line = LimitsLine {
            refused: usage.refused - before.refused,
            closed: usage.closed - before.closed,
            denied: usage.denied - before.denied,
            held_bytes: usage.bytes,
            connections: usage.connections,
        };
        if line.refused + line.closed + line.denied > 0 {
            shared.journal.log("limits", &line);
        }
        before = usage;
    }
}
