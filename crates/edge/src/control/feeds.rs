//! Reading the store's tables as they change.

use {
    crate::control::input::Input,
    key::clock::Tick,
    platform::store::{Error, Store, Table},
    std::time::Duration,
    tokio::{sync::mpsc::Sender, time},
};

/// The pause after a call that got no answer.
const PAUSE: Duration = Duration::from_millis(250);

/// The time between two looks at the list of targets. Each target writes there about once in this
/// time, so that waiting for a change would mean a call for each sign of life.
const LIST_EVERY: Duration = Duration::from_millis(800);

/// Follows the operators' rows, for ever.
pub(crate) async fn follow_operator(store: Store, inputs: Sender<Input>) {
    loop {
        let Ok(rows) = store.read(Table::Operator).await else {
            time::sleep(PAUSE).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::Operator(rows.rows)).await;
        loop {
            match store.watch(Table::Operator, version).await {
                Ok(rows) => {
                    version = rows.version;
                    send(&inputs, Input::Operator(rows.rows)).await;
                }
                Err(Error::Forgotten) => break,
                Err(Error::Unavailable) => time::sleep(PAUSE).await,
            }
        }
    }
}

/// Follows the product's own rows, for ever.
pub(crate) async fn follow_own(store: Store, inputs: Sender<Input>) {
    loop {
        let asked = Tick::now();
        let Ok(rows) = store.read(Table::Own).await else {
            send(&inputs, Input::OwnSilent).await;
            time::sleep(PAUSE).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::Own { rows, whole: true, asked }).await;
        loop {
            let asked = Tick::now();
            match store.watch(Table::Own, version).await {
                Ok(rows) => {
                    version = rows.version;
                    send(&inputs, Input::Own { rows, whole: false, asked }).await;
                }
                Err(Error::Forgotten) => break,
                Err(Error::Unavailable) => {
                    send(&inputs, Input::OwnSilent).await;
                    time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// Follows the list of targets, for ever.
pub(crate) async fn follow_targets(store: Store, inputs: Sender<Input>) {
    loop {
        let Ok(rows) = store.read(Table::Targets).await else {
            send(&inputs, Input::TargetsSilent).await;
            time::sleep(PAUSE).await;
            continue;
        };
        let mut version = rows.version;
        send(&inputs, Input::Targets { rows: rows.rows, whole: true }).await;
        loop {
            time::sleep(LIST_EVERY).await;
            match store.changes(Table::Targets, version).await {
                Ok(rows) => {
                    version = rows.version;
                    send(&inputs, Input::Targets { rows: rows.rows, whole: false }).await;
                }
                Err(Error::Forgotten) => break,
                Err(Error::Unavailable) => send(&inputs, Input::TargetsSilent).await,
            }
        }
    }
}

/// Sends a message; the receiver lives as long as the process.
pub(crate) async fn send(inputs: &Sender<Input>, input: Input) {
    if inputs.send(input).await.is_err() {
        std::future::pending::<()>().await;
    }
}
