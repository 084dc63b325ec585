//! Reading the store's tables as they change.

use {
    crate::{control::input::Input, shared::Shared},
    hold::staleness::{PollTiming, Staleness},
    key::{Version, clock::Tick},
    platform::store::{Error, Rows, Store, Table},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, watch},
        time,
    },
};

/// The pause after a call that got no answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The pause after a change of the list: a target that starts changes its entry many times.
const MIN_REGISTRY_INTERVAL: Duration = Duration::from_millis(500);

/// The entries beyond which the pause is longer, up to a limit that the bound for leaving targets sets.
const ENTRIES_AT_MIN_INTERVAL: u32 = 20;
const MAX_REGISTRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The pause after a change of the rows on entries: at a start every entry writes one. A change of
/// the leader is told by the new one.
const MIN_ENTRIES_INTERVAL: Duration = Duration::from_millis(200);
const MAX_ENTRIES_INTERVAL: Duration = Duration::from_millis(2_000);

/// Counts the outages of the store that have ended. A question that was waiting during one may never
/// be answered, so each change asks all of them anew.
pub(crate) type OutageCount = watch::Receiver<u64>;

/// Waits for changes of a table, asking anew after an outage.
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

/// Follows the operators' rows, for ever.
pub(crate) async fn follow_operator(store: Store, inputs: Sender<Input>, mut outages: OutageCount) {
    loop {
        let Ok(rows) = store.read(Table::Operator).await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::OperatorRows(rows.rows)).await;
        loop {
            match next_rows(&store, Table::Operator, version, &mut outages).await {
                Ok(rows) => {
                    version = rows.version;
                    send(&inputs, Input::OperatorRows(rows.rows)).await;
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => time::sleep(RETRY_INTERVAL).await,
            }
        }
    }
}

/// Follows the rows on entries, for ever.
pub(crate) async fn follow_entries(
    store: Store,
    inputs: Sender<Input>,
    mut outages: OutageCount,
    shared: Arc<Shared>,
) {
    loop {
        let Ok(rows) = store.read(Table::Entries).await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::EntryRows { rows: rows.rows, complete: true }).await;
        loop {
            match next_rows(&store, Table::Entries, version, &mut outages).await {
                Ok(rows) => {
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    send(&inputs, Input::EntryRows { rows: rows.rows, complete: false }).await;
                    if changed {
                        time::sleep(paced_interval(
                            &shared,
                            MIN_ENTRIES_INTERVAL,
                            MAX_ENTRIES_INTERVAL,
                        ))
                        .await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => time::sleep(RETRY_INTERVAL).await,
            }
        }
    }
}

/// Follows the list of targets, for ever, and counts the outages that this shows.
pub(crate) async fn follow_targets(
    store: Store,
    inputs: Sender<Input>,
    outage_count: watch::Sender<u64>,
    shared: Arc<Shared>,
) {
    let mut unavailable = false;
    let mut staleness = Staleness::default();
    let mut record_poll = |answered: bool| {
        if answered && unavailable {
            outage_count.send_modify(|count| *count += 1);
        }
        unavailable = !answered;
    };
    loop {
        let sent_at = Tick::now();
        let Ok(rows) = store.read(Table::Targets).await else {
            record_poll(false);
            send(&inputs, Input::TargetsUnavailable).await;
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        record_poll(true);
        let mut version = rows.version;
        let lag = staleness.record(PollTiming {
            sent_at,
            received_at: Tick::now(),
            store_clock: rows.clock,
        });
        send(&inputs, Input::TargetRows { rows: rows.rows, complete: true, lag }).await;
        loop {
            let sent_at = Tick::now();
            match store.watch(Table::Targets, version).await {
                Ok(rows) => {
                    record_poll(true);
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    let received_at = Tick::now();
                    let lag = staleness.record(PollTiming {
                        sent_at,
                        received_at,
                        store_clock: rows.clock,
                    });
                    send(&inputs, Input::TargetRows { rows: rows.rows, complete: false, lag })
                        .await;
                    if changed {
                        time::sleep(paced_interval(
                            &shared,
                            MIN_REGISTRY_INTERVAL,
                            MAX_REGISTRY_INTERVAL,
                        ))
                        .await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => {
                    record_poll(false);
                    send(&inputs, Input::TargetsUnavailable).await;
                    time::sleep(RETRY_INTERVAL).await;
                    // Peers' knowledge may have come in between, so the whole list is read again.
                    break;
                }
            }
        }
    }
}

/// Returns the pause after a change, which grows with the number of entries that read.
fn paced_interval(shared: &Shared, min: Duration, max: Duration) -> Duration {
    let entries = shared.snapshot.load().entries as u32;
    (min * entries / ENTRIES_AT_MIN_INTERVAL).clamp(min, max)
}

/// Sends a message; the receiver lives as long as the process.
pub(crate) async fn send(inputs: &Sender<Input>, input: Input) {
    if inputs.send(input).await.is_err() {
        std::future::pending::<()>().await;
    }
}
