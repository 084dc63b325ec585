//! Which process should guard a cell.

use {
    crate::{cell::Row, decision::TakeoverReason, node::View},
    key::{Process, clock::Tick},
};

/// The number of deputies of a cell.
pub(crate) const DEPUTIES: usize = 2;

/// The result of looking at a cell's guardian.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The guardian is well, or another process should act.
    Wait,
    /// This process should take the cell over.
    TakeOver(TakeoverReason),
}

/// Decides whether this process should take over a cell of its own zone.
pub(crate) fn evaluate(row: &Row, view: &View<'_>, now: Tick) -> Verdict {
    let Some(ground) = ground(row, view, now) else { return Verdict::Wait };
    let candidates = candidates(row, view, now);
    if candidates.first() == Some(view.me) { Verdict::TakeOver(ground) } else { Verdict::Wait }
}

fn ground(row: &Row, view: &View<'_>, now: Tick) -> Option<TakeoverReason> {
    let Some(guardian) = &row.primary else { return Some(TakeoverReason::Vacant) };
    if guardian == view.me {
        return None;
    }
    if view.has_ended(guardian) || view.is_leaving(guardian) {
        return Some(TakeoverReason::Ended);
    }
    let unresponsive_for = view.unresponsive_for(guardian, now);
    (unresponsive_for >= view.peer_timeout)
        .then_some(TakeoverReason::Unresponsive(unresponsive_for))
}

/// Returns the processes of the zone that could guard the cell, the preferred one first.
///
/// Deputies come first, since their rights are already on record; then rendezvous order, so that
/// the cells of a zone spread over its entries.
pub(crate) fn candidates(row: &Row, view: &View<'_>, now: Tick) -> Vec<Process> {
    let subject = row.name.to_string();
    let mut found: Vec<Process> = view.live_processes_in(&row.name.zone, now);
    found.sort_by_key(|process| {
        let place = row.standbys.iter().position(|deputy| deputy == process);
        let rank = key::rendezvous_weight(&subject, process.vm.as_str());
        (place.unwrap_or(usize::MAX), std::cmp::Reverse(rank))
    });
    found
}

/// Returns the row with which `view.me` takes the cell over.
pub(crate) fn take_over(row: &Row, view: &View<'_>, now: Tick) -> Row {
    let mut claimed = row.clone();
    claimed.term = row.term.next();
    claimed.primary = Some(view.me.clone());
    claimed.standbys = deputies(row, view, now);
    claimed.former = former(row, &claimed, view);
    claimed.failover_intent = None;
    claimed
}

/// Returns the deputies that the cell should have.
pub(crate) fn deputies(row: &Row, view: &View<'_>, now: Tick) -> Vec<Process> {
    let mut found = candidates(row, view, now);
    found.retain(|process| process != view.me);
    found.truncate(DEPUTIES);
    found
}

/// Returns the processes with a right under `before` that have none under `after` and may not have
/// stopped.
pub(crate) fn former(before: &Row, after: &Row, view: &View<'_>) -> Vec<Process> {
    let mut former: Vec<Process> = Vec::new();
    for process in before.renewers() {
        let current = after.primary.as_ref() == Some(process) || after.standbys.contains(process);
        let kept = former.contains(process);
        if !current && !kept && process != view.me && !view.has_ended(process) {
            former.push(process.clone());
        }
    }
    former
}
