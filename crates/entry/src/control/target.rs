//! Sends lease grants to targets.

use {
    crate::control::input::{Input, InputSender},
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
    wire::Config::default().timeout(timeout).source(settings.source).for_targets().build()
}

/// Sends a grant to a target and passes its reply, or its failure to reply, to the control thread.
pub(crate) async fn send_grant(
    client: wire::Client,
    inputs: InputSender,
    target: cell::Target,
    grant: Grant,
) {
    let sent = (&grant).into();
    let reply: Result<Reply, _> = client.post(target.address, lease::LEASE_PATH, &grant).await;
    let received_at = Tick::now();
    let (cell, vm) = (grant.cell, target.vm);
    let event = match reply {
        Ok(reply) => Event::TargetReplied(TargetReply { cell, vm, sent, received_at, reply }),
        Err(_) => Event::TargetUnanswered { cell, vm },
    };
    inputs.send(Input::Event(event)).await;
}
