//! What a target says of itself in an answer, besides its rate limit.

use {
    crate::{
        shared::{Deferral, Shared},
        traffic::target::Target,
    },
    key::clock::Tick,
    platform::header::Notice,
    serde::Serialize,
    std::time::Duration,
};

/// The journal line about a notice.
#[derive(Serialize)]
struct NoticeLine<'a> {
    target: &'a str,
    says: &'a str,
    for_ms: u64,
}

/// Records the notice of a target: what is new in it binds the data path at once. The control
/// thread tells other entries that the target leaves, and the leader for how long it wants nothing.
pub(crate) fn record(shared: &Shared, target: &Target, notice: Notice) {
    let now = Tick::now();
    let leaving_span = shared.leaving_span();
    if notice.leaving && target.condition.record_leaving(now.plus(leaving_span)) {
        shared.feedback().leaving_instances.push((target.instance.clone(), now));
        log(shared, target, "leaving", leaving_span);
    }
    if let Some(span) = notice.retry_after
        && target.condition.record_deferral(span)
    {
        shared.feedback().deferrals.push(Deferral {
            service: target.service.clone(),
            target: target.instance.clone(),
            until: now.plus(span),
        });
        log(shared, target, "come back later", span);
    }
    if notice.is_odd {
        log(shared, target, "ignored", Duration::ZERO);
    }
}

fn log(shared: &Shared, target: &Target, says: &str, span: Duration) {
    shared.counters.count("notices", says);
    let target = target.instance.vm.as_str();
    let for_ms = span.as_millis() as u64;
    shared.journal.log("notice", &NoticeLine { target, says, for_ms });
}
