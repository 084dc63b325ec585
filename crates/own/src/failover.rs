//! Takeover of the shards of a cell whose availability zone is cut off or has ended.
//!
//! A takeover is safe only after every renewer of the zone has stopped and its last lease has
//! expired. Under `move_after_ms`, a renewer that cannot be reached stops by itself: it bases a
//! lease only on a reading of the target's clock that was made less than that limit after the start
//! of its last poll of the table that showed no failover intent. Every poll that begins after an
//! intent is known to be written shows that intent. So after the limit and the lifetime of one more
//! lease, with an allowance for clock drift, either a process of the zone has withdrawn the intent
//! or no lease of the zone is in force.

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

/// The back-off after a failover intent was withdrawn.
const WITHDRAWN_INTENT_BACKOFF: Duration = Duration::from_secs(15);

/// The next step in the failover of a cell of another zone.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Do nothing yet.
    Wait,
    /// Declare the intent to take over.
    Declare,
    /// Take over, on this proof.
    TakeOver(Proof),
}

/// The state of one process in the failover of one cell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Failover {
    /// The table contains no intent of this process.
    #[default]
    Idle,
    /// The intent is known to be in the table under this version since this time.
    Declared { version: Version, declared_at: Tick },
    /// An intent was withdrawn; the next one may be declared after this time.
    BackingOff(Tick),
}

impl Failover {
    /// Records that the intent is known to be written.
    pub(crate) fn record_declared(&mut self, version: Version, declared_at: Tick) {
        *self = Self::Declared { version, declared_at };
    }

    /// Returns the next step for a cell that has shards and whose renewers are unresponsive.
    pub(crate) fn next_step(
        &mut self,
        row: &Row,
        version: Version,
        isolation: Isolation,
        view: &View<'_>,
        now: Tick,
    ) -> Step {
        if let Self::Declared { version: declared, .. } = *self
            && version > declared
        {
            *self = Self::BackingOff(now.plus(WITHDRAWN_INTENT_BACKOFF));
        }
        let lease_lifetime = view.timing.ttl + view.timing.drift_allowance;
        if let Some(ended_at) = view.renewers_ended_at(row) {
            let since_end = now.since(ended_at);
            return if since_end >= lease_lifetime {
                Step::TakeOver(Proof::Lapsed { unresponsive_for: since_end })
            } else {
                Step::Wait
            };
        }
        let Isolation::MoveAfterMs(limit) = isolation else { return Step::Wait };
        match *self {
            Self::BackingOff(until) if now < until => Step::Wait,
            Self::Idle | Self::BackingOff(_) => Step::Declare,
            Self::Declared { declared_at, .. } => {
                let since_declared = now.since(declared_at);
                let required = Duration::from_millis(limit.get())
                    + lease_lifetime
                    + view.timing.drift_allowance;
                if since_declared >= required {
                    Step::TakeOver(Proof::Lapsed { unresponsive_for: since_declared })
                } else {
                    Step::Wait
                }
            }
        }
    }
}

/// Returns true if all processes that could renew the cell's leases are unresponsive.
///
/// This process must itself have listened for heartbeats for as long as the timeout.
pub(crate) fn is_cell_unresponsive(row: &Row, view: &View<'_>, now: Tick) -> bool {
    let timeout = view.timing.peer_lost_after * CROSS_ZONE_HEARTBEAT_FACTOR;
    let has_listened = now.since(view.started_at) >= timeout;
    let all_unresponsive =
        || row.renewers().all(|process| view.unresponsive_for(process, now) >= timeout);
    has_listened && all_unresponsive() && view.live_processes_in(&row.name.zone, now).is_empty()
}

/// Returns the rows that transfer the shards chosen by `is_transferred` to other cells, without
/// owners.
///
/// The result is the row of the source, the rows of the receivers, and the number of shards that
/// each receiver gets.
pub(crate) fn transfer(
    from: &Row,
    is_transferred: impl Fn(&Slot) -> bool,
    to: &[(cell::Name, &Row)],
) -> (Row, Vec<Row>, Vec<(cell::Name, usize)>) {
    let mut source = from.clone();
    let (transferred, kept): (Vec<Slot>, Vec<Slot>) =
        from.slots.iter().partition(|slot| is_transferred(slot));
    source.slots = kept;
    source.failover_intent = None;
    let mut rows: Vec<Row> = to.iter().map(|(_, row)| (*row).clone()).collect();
    let mut counts: Vec<_> = to.iter().map(|(name, _)| (name.clone(), 0)).collect();
    for slot in transferred {
        let lightest = (0..rows.len())
            .min_by_key(|&index| rows[index].slots.len() / rows[index].targets.len().max(1));
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
