//! Sending orders to targets.

use {
    crate::control::input::{Input, Inputs},
    conf::Settings,
    key::clock::Tick,
    own::{
        Event, TargetReply, cell,
        lease::{self, Grant, Reply},
    },
    std::time::Duration,
};

pub(crate) fn client(settings: &Settings) -> wire::Client {
    let timeout = Duration::from_millis(settings.control.target_timeout_ms.get());
    wire::Config::default().timeout(timeout).source(settings.source).build()
}

/// Sends an order and reports what came of it.
pub(crate) async fn offer(
    client: wire::Client,
    inputs: Inputs,
    target: cell::Target,
    offer: Grant,
) {
    let sent = (&offer).into();
    let reply: Result<Reply, _> = client.post(target.address, lease::LEASE_PATH, &offer).await;
    let received_at = Tick::now();
    let (cell, vm) = (offer.cell, target.vm);
    let event = match reply {
        Ok(reply) => Event::TargetReplied(TargetReply { cell, vm, sent, received_at, reply }),
        Err(_) => Event::TargetUnanswered { cell, vm },
    };
    inputs.send(Input::Event(event)).await;
}
