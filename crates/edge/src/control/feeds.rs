//! Following the store's tables by long polls.
//!
//! Each feed reads its table in full and then waits for changes from that version on. It starts
//! over when the store has compacted the history that it needs. After a change it pauses, longer
//! with more entries, so that a burst of changes reaches the entries in a few answers and a large
//! fleet does not overload the store.

mod tables;
mod targets;

pub(crate) use {
    tables::{TableFeed, Tables},
    targets::{Following, STORE_SOURCE, follow_targets},
};

use {
    crate::{control::input::Input, shared::Shared},
    key::clock::Tick,
    member::Backoff,
    platform::store::{Error, Table},
    serde::Serialize,
    std::time::Duration,
    tokio::{
        sync::{mpsc::Sender, watch},
        time,
    },
};

/// The number of entries up to which the shortest pauses apply; with more entries they grow in
/// proportion.
const ENTRIES_AT_MIN_PAUSE: u32 = 20;

/// The number of outages of the store that have ended, returns from a copy included. A long poll
/// that was in flight during an outage may never be answered, so each change of this number makes
/// the feeds poll again.
pub(crate) type OutageCount = watch::Receiver<u64>;

/// Waits before a call that failed is repeated.
async fn wait_to_retry(backoff: &mut Backoff) {
    time::sleep(backoff.next_delay(rand::random())).await;
}

/// Logs that a table could not be read or polled, `sent_at` after the call was made.
fn log_failure(shared: &Shared, table: Table, sent_at: Tick, error: Error) {
    #[derive(Serialize)]
    struct FailureLine {
        table: &'static str,
        after_ms: u64,
        error: String,
    }
    let after_ms = Tick::now().since(sent_at).as_millis() as u64;
    let line = FailureLine { table: table.name(), after_ms, error: error.to_string() };
    shared.counters.count("store_reads_failed", table.name());
    shared.journal.log("read_failed", &line);
}

/// Returns the pause after a change, which grows with the number of entries that poll the store.
fn pause_after_change(shared: &Shared, min: Duration, max: Duration) -> Duration {
    let entries = shared.snapshot.load().entries as u32;
    (min * entries / ENTRIES_AT_MIN_PAUSE).clamp(min, max)
}

/// Sends an input. The receiver lives as long as the process, so a closed queue means that the
/// process is ending, and the task waits for that.
pub(crate) async fn send(inputs: &Sender<Input>, input: Input) {
    if inputs.send(input).await.is_err() {
        std::future::pending::<()>().await;
    }
}
