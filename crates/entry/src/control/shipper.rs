//! Ships the decision log to the object store.

use {
    crate::control::input::{Input, InputSender},
    key::Process,
    std::time::Duration,
    store::Client,
    tokio::{sync::oneshot, time},
};

/// The interval at which new records are shipped.
const SHIPPING_INTERVAL: Duration = Duration::from_secs(2);

/// Ships new records until the process ends.
///
/// While the object store is down, records stay in the ring, which keeps the newest of them.
pub(crate) async fn run(client: Client, inputs: InputSender, me: Process) {
    loop {
        time::sleep(SHIPPING_INTERVAL).await;
        let (respond_to, receiver) = oneshot::channel();
        inputs.send(Input::UnshippedRequested(respond_to)).await;
        let Ok(records) = receiver.await else { return };
        let (Some(first), Some(last)) = (records.first(), records.last()) else { continue };
        let name = format!("decisions/{:013}-{}-{}", first.at_ms, me.vm, first.seq);
        let lines: Vec<String> =
            records.iter().filter_map(|record| serde_json::to_string(record).ok()).collect();
        if client.put_object(&name, lines.join("\n").into_bytes()).await.is_ok() {
            inputs.send(Input::Shipped(last.seq)).await;
        }
    }
}
