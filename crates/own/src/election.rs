//! Which process should guard a cell.

use {
    crate::{cell::Row, decision::Ground, node::View},
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
    Claim(Ground),
}

/// Decides whether this process should take over a cell of its own zone.
pub(crate) fn judge(row: &Row, view: &View<'_>, now: Tick) -> Verdict {
    let Some(ground) = ground(row, view, now) else { return Verdict::Wait };
    let candidates = candidates(row, view, now);
    if candidates.first() == Some(view.me) { Verdict::Claim(ground) } else { Verdict::Wait }
}

fn ground(row: &Row, view: &View<'_>, now: Tick) -> Option<Ground> {
    let Some(guardian) = &row.guardian else { return Some(Ground::Vacant) };
    if guardian == view.me {
        return None;
    }
    if view.has_ended(guardian) || view.is_leaving(guardian) {
        return Some(Ground::Ended);
    }
    let silent_for = view.silence(guardian, now);
    (silent_for >= view.peer_lost).then_some(Ground::Silent(silent_for))
}

/// Returns the processes of the zone that could guard the cell, the preferred one first.
///
/// Deputies come first, since their rights are already on record; then rendezvous order, so that
/// the cells of a zone spread over its entries.
pub(crate) fn candidates(row: &Row, view: &View<'_>, now: Tick) -> Vec<Process> {
    let subject = row.name.to_string();
    let mut found: Vec<Process> = view.alive_in(&row.name.zone, now);
    found.sort_by_key(|process| {
        let place = row.deputies.iter().position(|deputy| deputy == process);
        let rank = key::rendezvous_weight(&subject, process.vm.as_str());
        (place.unwrap_or(usize::MAX), std::cmp::Reverse(rank))
    });
    found
}

/// Returns the row with which `view.me` takes the cell over.
pub(crate) fn claim(row: &Row, view: &View<'_>, now: Tick) -> Row {
    let mut claimed = row.clone();
    claimed.term = row.term.next();
    claimed.guardian = Some(view.me.clone());
    claimed.deputies = deputies(row, view, now);
    claimed.former = former(row, &claimed, view);
    claimed.closing = None;
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
        let current = after.guardian.as_ref() == Some(process) || after.deputies.contains(process);
        let kept = former.contains(process);
        if !current && !kept && process != view.me && !view.has_ended(process) {
            former.push(process.clone());
        }
    }
    former
}
