//! Choice of the primary and the standbys of a cell.

use {
    crate::{cell::Row, decision::TakeoverReason, node::View},
    key::{Process, clock::Tick},
};

/// The number of standbys of a cell.
pub(crate) const STANDBYS_PER_CELL: usize = 2;

/// The result of evaluating a cell's primary.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The primary is alive, or another process should take over.
    Wait,
    /// This process should take the cell over.
    TakeOver(TakeoverReason),
}

/// Decides whether this process should take over a cell of its own zone.
pub(crate) fn evaluate(row: &Row, view: &View<'_>, now: Tick) -> Verdict {
    let Some(reason) = takeover_reason(row, view, now) else { return Verdict::Wait };
    let candidates = candidates(row, view, now);
    if candidates.first() == Some(view.me) { Verdict::TakeOver(reason) } else { Verdict::Wait }
}

fn takeover_reason(row: &Row, view: &View<'_>, now: Tick) -> Option<TakeoverReason> {
    let Some(primary) = &row.primary else { return Some(TakeoverReason::Vacant) };
    if primary == view.me {
        return None;
    }
    if view.has_ended(primary) || view.is_leaving(primary) {
        return Some(TakeoverReason::Ended);
    }
    let unresponsive_for = view.unresponsive_for(primary, now);
    (unresponsive_for >= view.peer_lost_after)
        .then_some(TakeoverReason::Unresponsive(unresponsive_for))
}

/// Returns the processes of the zone that could become the primary, in order of preference.
///
/// Standbys come first, because the row already permits them to renew. The other processes follow
/// in rendezvous order, which spreads the cells of a zone over its entries.
pub(crate) fn candidates(row: &Row, view: &View<'_>, now: Tick) -> Vec<Process> {
    let subject = row.name.to_string();
    let mut candidates: Vec<Process> = view.live_processes_in(&row.name.zone, now);
    candidates.sort_by_key(|process| {
        let position = row.standbys.iter().position(|standby| standby == process);
        let weight = key::rendezvous_weight(&subject, process.vm.as_str());
        (position.unwrap_or(usize::MAX), std::cmp::Reverse(weight))
    });
    candidates
}

/// Returns the row with which `view.me` takes the cell over.
pub(crate) fn take_over(row: &Row, view: &View<'_>, now: Tick) -> Row {
    let mut successor = row.clone();
    successor.term = row.term.next();
    successor.primary = Some(view.me.clone());
    successor.standbys = choose_standbys(row, view, now);
    successor.former = former_renewers(row, &successor, view);
    successor.failover_intent = None;
    successor
}

/// Returns the standbys that the cell should have.
pub(crate) fn choose_standbys(row: &Row, view: &View<'_>, now: Tick) -> Vec<Process> {
    let mut standbys = candidates(row, view, now);
    standbys.retain(|process| process != view.me);
    standbys.truncate(STANDBYS_PER_CELL);
    standbys
}

/// Returns the processes that may renew under `before` but not under `after`, and that are not
/// proved to have ended.
pub(crate) fn former_renewers(before: &Row, after: &Row, view: &View<'_>) -> Vec<Process> {
    let mut former: Vec<Process> = Vec::new();
    for process in before.renewers() {
        let current = after.primary.as_ref() == Some(process) || after.standbys.contains(process);
        let listed = former.contains(process);
        if !current && !listed && process != view.me && !view.has_ended(process) {
            former.push(process.clone());
        }
    }
    former
}
