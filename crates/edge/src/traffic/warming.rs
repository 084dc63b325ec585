//! What traffic sees of cold targets, and when it chooses them.
//!
//! Addresses the load when targets return cold: those of a service without keys get the requests
//! for which they have permits, and the warm ones the others.

use {
    crate::{shared::Shared, traffic::target::Target},
    conf::routing::SlowStart,
    key::clock::Tick,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
};

/// The factor on the usual latency of a service from which a response counts as late.
const LATE_FACTOR: u32 = 3;

/// The journal line about a target that is cold or may be.
#[derive(Serialize)]
struct WarmupLine<'a> {
    target: &'a str,
    why: &'a str,
}

/// Keeps the warm ones among the targets, or for as many requests as correspond to their number
/// the cold ones that may have a permit. `is_refused` says that the request got no permit from one
/// already; `draw` is a random number from 0 to 1.
pub(crate) fn narrow(
    shared: &Shared,
    candidates: &mut Vec<&Arc<Target>>,
    is_refused: bool,
    draw: f64,
) {
    let warmups = shared.warmups();
    if warmups.is_empty() {
        return;
    }
    let now = Tick::now();
    let is_warm = |target: &&Arc<Target>| warmups.stage(&target.instance.vm, now).is_none();
    let (warm, cold): (Vec<_>, Vec<_>) = candidates.iter().copied().partition(is_warm);
    if cold.is_empty() {
        return;
    }
    let is_due = |target: &&Arc<Target>| !warmups.is_avoided(&target.instance.vm, now);
    let due: Vec<_> = cold.iter().copied().filter(is_due).collect();
    let has_turn = !is_refused && draw * (candidates.len() as f64) < cold.len() as f64;
    *candidates = match (warm.is_empty(), due.is_empty()) {
        (true, true) => cold,
        (true, false) => due,
        (false, false) if has_turn => due,
        (false, _) => warm,
    };
}

/// Records that a connection to a target was lost or refused: it may have restarted.
pub(crate) fn record_lost(shared: &Shared, target: &Target) {
    let Some(span) = cold_span(shared, target) else { return };
    if shared.warmups().record_lost(&target.instance.vm, span, Tick::now()) {
        log(shared, target.instance.vm.as_str(), "connection lost");
    }
}

/// Records that a request to a target got no response.
pub(crate) fn record_unanswered(shared: &Shared, target: &Target) {
    shared.warmups().record_unanswered(&target.instance.vm);
}

/// Records a response of a target to a request sent at `sent_at`.
pub(crate) fn record_response(shared: &Shared, target: &Target, is_shed: bool, sent_at: Tick) {
    let mut warmups = shared.warmups();
    if warmups.is_empty() {
        return;
    }
    let now = Tick::now();
    let snapshot = shared.snapshot.load();
    let usual = snapshot.usual_latencies.get(&target.service);
    let is_late = usual.is_some_and(|usual| now.since(sent_at) > *usual * LATE_FACTOR);
    warmups.record_response(&target.instance.vm, !is_shed && !is_late, now);
}

/// Logs and counts that a target has become cold, or may be.
pub(crate) fn log(shared: &Shared, target: &str, why: &str) {
    shared.counters.count("warmups", why);
    shared.journal.log("warmup", &WarmupLine { target, why });
}

/// Returns for how long targets of the service of a target are cold after their start, if it has a
/// slow start.
fn cold_span(shared: &Shared, target: &Target) -> Option<Duration> {
    let snapshot = shared.snapshot.load();
    let slow_start: SlowStart = snapshot.routing.as_ref()?.service(&target.service)?.slow_start?;
    Some(Duration::from_millis(slow_start.span_ms))
}
