//! Placement of shards on the targets of a cell.

use {
    key::{Shard, Vm},
    std::collections::{BTreeMap, BTreeSet},
};

/// A target that can own shards, and the weights of those it owns.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoad {
    /// The target.
    pub vm: Vm,
    /// The shards it owns, with their weights.
    pub shards: BTreeMap<Shard, f64>,
}

impl TargetLoad {
    /// Returns the total weight of the shards that the target owns.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.shards.values().sum()
    }
}

/// The limits of one round of rebalancing.
#[derive(Clone, Copy, Debug)]
pub struct MoveLimits {
    /// The most shards to move in one round.
    pub max_moves: usize,
    /// The excess over the mean, as a fraction of it, below which nothing moves.
    ///
    /// Without this hysteresis two targets of nearly equal load would exchange a shard endlessly.
    pub tolerance: f64,
}

/// Assigns each orphan to the target with the least weight, the heaviest orphan first.
///
/// Returns an empty map if there are no targets.
#[must_use]
pub fn assign_orphans(
    orphans: &BTreeMap<Shard, f64>,
    targets: &[TargetLoad],
) -> BTreeMap<Shard, Vm> {
    let mut assigned = BTreeMap::new();
    let mut loads: Vec<(f64, usize)> =
        targets.iter().map(|target| (target.weight(), target.shards.len())).collect();
    let mut heaviest_first: Vec<_> = orphans.iter().collect();
    heaviest_first.sort_by(|a, b| b.1.total_cmp(a.1).then(a.0.cmp(b.0)));
    for (shard, weight) in heaviest_first {
        let lightest = (0..loads.len())
            .min_by(|&a, &b| loads[a].0.total_cmp(&loads[b].0).then(loads[a].1.cmp(&loads[b].1)));
        let Some(lightest) = lightest else { break };
        loads[lightest].0 += weight;
        loads[lightest].1 += 1;
        assigned.insert(*shard, targets[lightest].vm.clone());
    }
    assigned
}

/// Chooses shards to move away from the target with the most weight above the mean.
///
/// A shard is chosen only if the target with the least weight would stay below the heaviest after
/// receiving it. Each move therefore lowers the maximum, and no move is undone by the next round.
#[must_use]
pub fn rebalance(targets: &[TargetLoad], limits: MoveLimits) -> Option<(Vm, BTreeSet<Shard>)> {
    let mean = targets.iter().map(TargetLoad::weight).sum::<f64>() / targets.len().max(1) as f64;
    let donor = targets.iter().max_by(|a, b| a.weight().total_cmp(&b.weight()))?;
    let recipient = targets.iter().min_by(|a, b| a.weight().total_cmp(&b.weight()))?;
    if donor.weight() <= mean * (1.0 + limits.tolerance) {
        return None;
    }
    let mut excess = donor.weight() - mean;
    let mut gap = donor.weight() - recipient.weight();
    let mut heaviest_first: Vec<_> = donor.shards.iter().collect();
    heaviest_first.sort_by(|a, b| b.1.total_cmp(a.1).then(a.0.cmp(b.0)));
    let mut chosen = BTreeSet::new();
    for (shard, &weight) in heaviest_first {
        if chosen.len() >= limits.max_moves {
            break;
        }
        if weight > 0.0 && weight <= excess && weight * 2.0 < gap {
            chosen.insert(*shard);
            excess -= weight;
            gap -= weight * 2.0;
        }
    }
    if chosen.is_empty() {
        // Each shard alone weighs more than the excess or too much for the recipient. The lightest
        // shard that still narrows the gap moves, unless its weight is within the tolerance.
        let useful =
            donor.shards.iter().filter(|(_, weight)| **weight > 0.0 && **weight * 2.0 < gap);
        let lightest = useful.min_by(|a, b| a.1.total_cmp(b.1))?;
        if *lightest.1 <= mean * limits.tolerance {
            return None;
        }
        chosen.insert(*lightest.0);
    }
    Some((donor.vm.clone(), chosen))
}
