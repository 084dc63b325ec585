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
const PAUSE: Duration = Duration::from_millis(200);

/// The pause after a change of the list: a target that starts changes its entry many times.
const LIST_PACE: Duration = Duration::from_millis(500);

/// The entries beyond which the pause is longer, up to a limit that the bound for leaving targets sets.
const PACED_ENTRIES: u32 = 20;
const SLOWEST_LIST_PACE: Duration = Duration::from_millis(1_000);

/// The pause after a change of the rows on entries: at a start every entry writes one. A change of
/// the leader is told by the new one.
const OWN_PACE: Duration = Duration::from_millis(200);
const SLOWEST_OWN_PACE: Duration = Duration::from_millis(2_000);

/// Counts the outages of the store that have ended. A question that was waiting during one may never
/// be answered, so each change asks all of them anew.
pub(crate) type Outages = watch::Receiver<u64>;

/// Waits for changes of a table, asking anew after an outage.
async fn changes(
    store: &Store,
    table: Table,
    version: Version,
    outages: &mut Outages,
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
pub(crate) async fn follow_operator(store: Store, inputs: Sender<Input>, mut outages: Outages) {
    loop {
        let Ok(rows) = store.read(Table::Operator).await else {
            time::sleep(PAUSE).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::Operator(rows.rows)).await;
        loop {
            match changes(&store, Table::Operator, version, &mut outages).await {
                Ok(rows) => {
                    version = rows.version;
                    send(&inputs, Input::Operator(rows.rows)).await;
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => time::sleep(PAUSE).await,
            }
        }
    }
}

/// Follows the rows on entries, for ever.
pub(crate) async fn follow_own(
    store: Store,
    inputs: Sender<Input>,
    mut outages: Outages,
    shared: Arc<Shared>,
) {
    loop {
        let Ok(rows) = store.read(Table::Entries).await else {
            time::sleep(PAUSE).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::Own { rows: rows.rows, whole: true }).await;
        loop {
            match changes(&store, Table::Entries, version, &mut outages).await {
                Ok(rows) => {
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    send(&inputs, Input::Own { rows: rows.rows, whole: false }).await;
                    if changed {
                        time::sleep(pace(&shared, OWN_PACE, SLOWEST_OWN_PACE)).await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => time::sleep(PAUSE).await,
            }
        }
    }
}

/// Follows the list of targets, for ever, and counts the outages that this shows.
pub(crate) async fn follow_targets(
    store: Store,
    inputs: Sender<Input>,
    ended: watch::Sender<u64>,
    shared: Arc<Shared>,
) {
    let mut silent = false;
    let mut staleness = Staleness::default();
    let mut answered = |answer: bool| {
        if answer && silent {
            ended.send_modify(|outages| *outages += 1);
        }
        silent = !answer;
    };
    loop {
        let sent_at = Tick::now();
        let Ok(rows) = store.read(Table::Targets).await else {
            answered(false);
            send(&inputs, Input::TargetsSilent).await;
            time::sleep(PAUSE).await;
            continue;
        };
        answered(true);
        let mut version = rows.version;
        let behind = staleness.record(PollTiming {
            sent_at,
            received_at: Tick::now(),
            store_clock: rows.clock,
        });
        send(&inputs, Input::Targets { rows: rows.rows, whole: true, behind }).await;
        loop {
            let sent_at = Tick::now();
            match store.watch(Table::Targets, version).await {
                Ok(rows) => {
                    answered(true);
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    let received_at = Tick::now();
                    let behind = staleness.record(PollTiming {
                        sent_at,
                        received_at,
                        store_clock: rows.clock,
                    });
                    send(&inputs, Input::Targets { rows: rows.rows, whole: false, behind }).await;
                    if changed {
                        time::sleep(pace(&shared, LIST_PACE, SLOWEST_LIST_PACE)).await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(Error::Unavailable) => {
                    answered(false);
                    send(&inputs, Input::TargetsSilent).await;
                    time::sleep(PAUSE).await;
                    // Peers' knowledge may have come in between, so the whole list is read again.
                    break;
                }
            }
        }
    }
}

/// Returns the pause after a change, which grows with the number of entries that read.
fn pace(shared: &Shared, least: Duration, most: Duration) -> Duration {
    let entries = shared.snapshot.load().entries as u32;
    (least * entries / PACED_ENTRIES).clamp(least, most)
}

/// Sends a message; the receiver lives as long as the process.
pub(crate) async fn send(inputs: &Sender<Input>, input: Input) {
    if inputs.send(input).await.is_err() {
        std::future::pending::<()>().await;
    }
}
