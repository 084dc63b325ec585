//! Reads and writes the platform's table and polls its list of VMs.

use {
    crate::control::input::{Input, InputSender},
    conf::{Settings, settings::Control},
    key::clock::Tick,
    own::{Event, Write},
    std::time::Duration,
    store::{Client, Config, ErrorKind},
    tokio::time,
};

/// The prefix of every row that the control plane polls.
pub(crate) const CONTROL_PREFIX: &str = "control/";

/// The number of polls of the table for each poll of the list of VMs.
const POLLS_PER_VM_LIST: u64 = 2;

pub(crate) fn client(settings: &Settings) -> Client {
    let timeout = Duration::from_millis(settings.control.platform_timeout_ms.get());
    Config::new(settings.platform).timeout(timeout).source(settings.source).build()
}

/// Polls the table for changed rows until the process ends.
pub(crate) async fn poll(client: Client, inputs: InputSender, control: Control) {
    let mut revision = 0;
    let mut has_gone_back = false;
    loop {
        let started_at = Tick::now();
        match client.scan(CONTROL_PREFIX, revision).await {
            Ok(scan) => {
                (revision, has_gone_back) = (scan.revision, false);
                inputs.send(Input::TablePolled { started_at, rows: scan.rows }).await;
            }
            Err(error) => {
                if error.kind() == ErrorKind::WentBack && !has_gone_back {
                    has_gone_back = true;
                    log::error!("{error} than {revision}; its rows are not used");
                }
                inputs.send(Input::TablePollFailed).await;
            }
        }
        time::sleep(Duration::from_millis(control.poll_ms.get())).await;
    }
}

/// Polls the list of VMs until the process ends.
pub(crate) async fn poll_vms(client: Client, inputs: InputSender, control: Control) {
    loop {
        if let Ok(list) = client.list_vms().await {
            inputs.send(Input::Vms(list)).await;
        }
        time::sleep(Duration::from_millis(control.poll_ms.get() * POLLS_PER_VM_LIST)).await;
    }
}

/// Commits a write and passes the result to the control thread.
pub(crate) async fn write(client: Client, inputs: InputSender, write: Write) {
    let result = write.result(client.commit(&write.transaction()).await);
    inputs.send(Input::Event(Event::Written { id: write.id, result })).await;
}
