//! Taking over the shards of a cell whose availability zone is cut off or has ended.
//!
//! The zone's own renewers must have stopped. Where they cannot be asked, the rule is: under
//! `move_after_ms` no lease may rest on a reading of a target's clock that is more than that limit
//! younger than the renewer's last look at the table. An intent in the table, once it is known to be
//! written, is seen by every later look; so after the limit and one more life of a lease, either
//! somebody of the zone has withdrawn the intent or nobody of the zone can renew.

use {
    crate::{
        cell::{self, Row, Slot},
        decision::Proof,
        node::{CROSS_ZONE_HEARTBEAT_FACTOR, View},
    },
    conf::services::Isolation,
    key::{Version, clock::Tick},
    std::time::Duration,
};

/// The pause after an intent that was withdrawn.
const BACKOFF: Duration = Duration::from_secs(15);

/// What to do about a cell of another zone.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing now.
    Wait,
    /// Declare the intent to take over.
    Declare,
    /// Take over, on this proof.
    TakeOver(Proof),
}

/// What one process knows of the rescue of one cell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Failover {
    /// No intent of this process is in the table.
    #[default]
    Watching,
    /// The intent stands under this version since this time.
    Marked { version: Version, at: Tick },
    /// An intent was withdrawn; the next may follow after this time.
    Resting(Tick),
}

impl Failover {
    /// Notes that the intent is known to be written.
    pub(crate) fn record_declared(&mut self, version: Version, at: Tick) {
        *self = Self::Marked { version, at };
    }

    /// Considers the cell, which has shards and is silent.
    pub(crate) fn next_step(
        &mut self,
        row: &Row,
        version: Version,
        isolation: Isolation,
        view: &View<'_>,
        now: Tick,
    ) -> Step {
        if let Self::Marked { version: marked, .. } = *self
            && version > marked
        {
            *self = Self::Resting(now.plus(BACKOFF));
        }
        let life = view.timing.ttl + view.timing.drift_allowance;
        if let Some(ended) = view.renewers_ended_at(row) {
            let unresponsive_for = now.since(ended);
            return if unresponsive_for >= life {
                Step::TakeOver(Proof::Lapsed { unresponsive_for })
            } else {
                Step::Wait
            };
        }
        let Isolation::MoveAfterMs(limit) = isolation else { return Step::Wait };
        match *self {
            Self::Resting(until) if now < until => Step::Wait,
            Self::Watching | Self::Resting(_) => Step::Declare,
            Self::Marked { at, .. } => {
                let unresponsive_for = now.since(at);
                let enough =
                    Duration::from_millis(limit.get()) + life + view.timing.drift_allowance;
                if unresponsive_for >= enough {
                    Step::TakeOver(Proof::Lapsed { unresponsive_for })
                } else {
                    Step::Wait
                }
            }
        }
    }
}

/// Tells whether nothing was heard for a while of anybody who could renew the cell's leases.
pub(crate) fn is_cell_unresponsive(row: &Row, view: &View<'_>, now: Tick) -> bool {
    let patience = view.timing.peer_lost_after * CROSS_ZONE_HEARTBEAT_FACTOR;
    let listening = now.since(view.started_at) >= patience;
    let quiet = || row.renewers().all(|process| view.unresponsive_for(process, now) >= patience);
    listening && quiet() && view.live_processes_in(&row.name.zone, now).is_empty()
}

/// Returns the rows that hand the shards chosen by `leaves` to other cells, without owners.
pub(crate) fn transfer(
    from: &Row,
    leaves: impl Fn(&Slot) -> bool,
    to: &[(cell::Name, &Row)],
) -> (Row, Vec<Row>, Vec<(cell::Name, usize)>) {
    let mut source = from.clone();
    let (going, staying): (Vec<Slot>, Vec<Slot>) = from.slots.iter().partition(|slot| leaves(slot));
    source.slots = staying;
    source.failover_intent = None;
    let mut rows: Vec<Row> = to.iter().map(|(_, row)| (*row).clone()).collect();
    let mut counts: Vec<_> = to.iter().map(|(name, _)| (name.clone(), 0)).collect();
    for slot in going {
        let lightest =
            (0..rows.len()).min_by_key(|&at| rows[at].slots.len() / rows[at].targets.len().max(1));
        let Some(lightest) = lightest else { break };
        let vacant = Slot { owner: None, fence: slot.fence.next(), ..slot };
        rows[lightest].slots.push(vacant);
        counts[lightest].1 += 1;
    }
    for row in &mut rows {
        row.slots.sort_by_key(|slot| slot.shard);
    }
    (source, rows, counts)
}
