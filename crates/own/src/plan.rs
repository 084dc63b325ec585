//! Which target should own which shard.

use {
    key::{Shard, Vm},
    std::collections::{BTreeMap, BTreeSet},
};

/// A target that can own shards, and the weight of those it owns.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoad {
    /// The target.
    pub vm: Vm,
    /// The shards it owns, with their weights.
    pub shards: BTreeMap<Shard, f64>,
}

impl TargetLoad {
    /// Returns the weight of everything the target owns.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.shards.values().sum()
    }
}

/// The limits of one round of balancing.
#[derive(Clone, Copy, Debug)]
pub struct MoveLimits {
    /// The most shards to move in one round.
    pub max_moves: usize,
    /// The excess over the mean, as a share of it, below which nothing moves.
    ///
    /// Without this hysteresis two targets of nearly equal load would hand a shard back and forth.
    pub tolerance: f64,
}

/// Gives each orphan to the target with the least weight, the heaviest orphan first.
///
/// Returns nothing for a list of bins that is empty.
#[must_use]
pub fn assign_orphans(orphans: &BTreeMap<Shard, f64>, bins: &[TargetLoad]) -> BTreeMap<Shard, Vm> {
    let mut placed = BTreeMap::new();
    let mut weights: Vec<(f64, usize)> =
        bins.iter().map(|bin| (bin.weight(), bin.shards.len())).collect();
    let mut order: Vec<_> = orphans.iter().collect();
    order.sort_by(|a, b| b.1.total_cmp(a.1).then(a.0.cmp(b.0)));
    for (shard, weight) in order {
        let lightest = (0..weights.len()).min_by(|&a, &b| {
            weights[a].0.total_cmp(&weights[b].0).then(weights[a].1.cmp(&weights[b].1))
        });
        let Some(lightest) = lightest else { break };
        weights[lightest].0 += weight;
        weights[lightest].1 += 1;
        placed.insert(*shard, bins[lightest].vm.clone());
    }
    placed
}

/// Chooses shards to take from the target with the most weight above the mean.
///
/// A shard is chosen only if the target with the least weight stays below the heaviest with it, so
/// each move makes the worst case better and no move is undone by the next round.
#[must_use]
pub fn rebalance(bins: &[TargetLoad], limits: MoveLimits) -> Option<(Vm, BTreeSet<Shard>)> {
    let mean = bins.iter().map(TargetLoad::weight).sum::<f64>() / bins.len().max(1) as f64;
    let heaviest = bins.iter().max_by(|a, b| a.weight().total_cmp(&b.weight()))?;
    let lightest = bins.iter().min_by(|a, b| a.weight().total_cmp(&b.weight()))?;
    if heaviest.weight() <= mean * (1.0 + limits.tolerance) {
        return None;
    }
    let mut excess = heaviest.weight() - mean;
    let mut room = heaviest.weight() - lightest.weight();
    let mut order: Vec<_> = heaviest.shards.iter().collect();
    order.sort_by(|a, b| b.1.total_cmp(a.1).then(a.0.cmp(b.0)));
    let mut chosen = BTreeSet::new();
    for (shard, &weight) in order {
        if chosen.len() >= limits.max_moves {
            break;
        }
        if weight > 0.0 && weight <= excess && weight * 2.0 < room {
            chosen.insert(*shard);
            excess -= weight;
            room -= weight * 2.0;
        }
    }
    if chosen.is_empty() {
        // Every shard alone weighs more than the excess; the lightest that still helps goes.
        let helps =
            heaviest.shards.iter().filter(|(_, weight)| **weight > 0.0 && **weight * 2.0 < room);
        let lightest = helps.min_by(|a, b| a.1.total_cmp(b.1))?;
        if *lightest.1 <= mean * limits.tolerance {
            return None;
        }
        chosen.insert(*lightest.0);
    }
    Some((heaviest.vm.clone(), chosen))
}
