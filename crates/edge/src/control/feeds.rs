//! Following the store's tables by long polls.
//!
//! Each feed reads its table in full and then waits for changes from that version on. It starts
//! over when the store has compacted the history that it needs. After a change it pauses, longer
//! with more entries, so that a burst of changes reaches the entries in a few answers and a large
//! fleet does not overload the store.

mod targets;

pub(crate) use targets::{Following, STORE_SOURCE, follow_targets};

use {
    crate::{control::input::Input, shared::Shared},
    hold::staleness::{PollTiming, Staleness},
    key::{Version, clock::Tick},
    member::Backoff,
    platform::store::{Error, Rows, Store, Table},
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, watch},
        time,
    },
};

/// The number of entries up to which the shortest pauses apply; with more entries they grow in
/// proportion.
const ENTRIES_AT_MIN_PAUSE: u32 = 20;

/// The shortest pause after a change of the table of entries: when a fleet starts, every entry
/// writes its row. The pause does not delay a change of the leader, which the new leader announces
/// itself.
const MIN_ENTRIES_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after a change of the table of entries.
const MAX_ENTRIES_PAUSE: Duration = Duration::from_millis(2_000);

/// The number of outages of the store that have ended, returns from a copy included. A long poll
/// that was in flight during an outage may never be answered, so each change of this number makes
/// the feeds poll again.
pub(crate) type OutageCount = watch::Receiver<u64>;

/// Waits before a call that failed is repeated.
async fn wait_to_retry(backoff: &mut Backoff) {
    time::sleep(backoff.next_delay(rand::random())).await;
}

/// Waits for changes of a table, and polls again after an outage.
async fn next_rows(
    store: &Store,
    table: Table,
    version: Version,
    outages: &mut OutageCount,
) -> Result<Rows, Error> {
    loop {
        tokio::select! {
            rows = store.watch(table, version) => return rows,
            changed = outages.changed() => {
                if changed.is_err() {
                    return Err(Error::Unavailable);
                }
            }
        }
    }
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

/// Follows the operators' table; never returns.
pub(crate) async fn follow_operator(
    store: Store,
    inputs: Sender<Input>,
    mut outages: OutageCount,
    shared: Arc<Shared>,
) {
    let mut backoff = Backoff::default();
    let mut staleness = Staleness::default();
    loop {
        let sent_at = Tick::now();
        let rows = match store.read(Table::Operator).await {
            Ok(rows) => rows,
            Err(error) => {
                log_failure(&shared, Table::Operator, sent_at, error);
                wait_to_retry(&mut backoff).await;
                continue;
            }
        };
        let mut version = rows.version;
        let received_at = Tick::now();
        let timing = PollTiming { sent_at, received_at, store_clock: rows.clock };
        let changed_at = received_at.before(staleness.record(timing).of_change);
        let input = Input::OperatorRows { rows, complete: true, changed_at, at: sent_at };
        send(&inputs, input).await;
        loop {
            let sent_at = Tick::now();
            match next_rows(&store, Table::Operator, version, &mut outages).await {
                Ok(rows) => {
                    backoff.reset();
                    version = rows.version;
                    // The store answers a long poll when something changes or the wait is over, and the
                    // answer may take long to arrive.
                    let received_at = Tick::now();
                    let timing = PollTiming { sent_at, received_at, store_clock: rows.clock };
                    let age = staleness.record(timing);
                    let given_at = received_at.before(age.of_answer);
                    let changed_at = received_at.before(age.of_change);
                    let at = if rows.rows.is_empty() { sent_at } else { given_at };
                    let input = Input::OperatorRows { rows, complete: false, changed_at, at };
                    send(&inputs, input).await;
                }
                Err(Error::Compacted) => break,
                Err(error @ Error::Unavailable) => {
                    log_failure(&shared, Table::Operator, sent_at, error);
                    wait_to_retry(&mut backoff).await;
                }
            }
        }
    }
}

/// Follows the table of entries; never returns.
pub(crate) async fn follow_entries(
    store: Store,
    inputs: Sender<Input>,
    mut outages: OutageCount,
    shared: Arc<Shared>,
) {
    let mut backoff = Backoff::default();
    loop {
        let sent_at = Tick::now();
        let rows = match store.read(Table::Entries).await {
            Ok(rows) => rows,
            Err(error) => {
                log_failure(&shared, Table::Entries, sent_at, error);
                wait_to_retry(&mut backoff).await;
                continue;
            }
        };
        let mut version = rows.version;
        send(&inputs, Input::EntryRows { rows, complete: true }).await;
        loop {
            let sent_at = Tick::now();
            match next_rows(&store, Table::Entries, version, &mut outages).await {
                Ok(rows) => {
                    backoff.reset();
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    send(&inputs, Input::EntryRows { rows, complete: false }).await;
                    if changed {
                        time::sleep(pause_after_change(
                            &shared,
                            MIN_ENTRIES_PAUSE,
                            MAX_ENTRIES_PAUSE,
                        ))
                        .await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(error @ Error::Unavailable) => {
                    log_failure(&shared, Table::Entries, sent_at, error);
                    wait_to_retry(&mut backoff).await;
                }
            }
        }
    }
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
