//! Balance: shards spread evenly, moves that help, and none that is undone.

use {
    key::{Shard, Vm},
    own::plan::{MoveLimits, TargetLoad, assign_orphans, rebalance},
    quickcheck::QuickCheck,
    std::collections::BTreeMap,
};

const BUDGET: MoveLimits = MoveLimits { max_moves: 8, tolerance: 0.10 };

fn bins(weights: &[Vec<u16>]) -> Vec<TargetLoad> {
    let mut shard = 0;
    let bin = |(at, weights): (usize, &Vec<u16>)| TargetLoad {
        vm: Vm::from(format!("t{at}").as_str()),
        shards: weights
            .iter()
            .map(|weight| {
                shard += 1;
                (Shard::from(shard), f64::from(*weight) + 1.0)
            })
            .collect(),
    };
    weights.iter().enumerate().map(bin).collect()
}

fn heaviest(bins: &[TargetLoad]) -> f64 {
    bins.iter().map(TargetLoad::weight).fold(0.0, f64::max)
}

/// Carries a round of moves out and returns whether there was one.
fn round(bins: &mut [TargetLoad]) -> bool {
    let Some((vm, shards)) = rebalance(bins, BUDGET) else { return false };
    let from = bins.iter_mut().find(|bin| bin.vm == vm).expect("the target is one of them");
    let taken: BTreeMap<Shard, f64> = shards
        .iter()
        .map(|shard| (*shard, from.shards.remove(shard).expect("it owns the shard")))
        .collect();
    let others: Vec<TargetLoad> = bins.to_vec();
    for (shard, vm) in assign_orphans(&taken, &others) {
        let to = bins.iter_mut().find(|bin| bin.vm == vm).expect("the target is one of them");
        to.shards.insert(shard, taken[&shard]);
    }
    true
}

#[test]
fn orphans_of_equal_weight_spread_evenly() {
    let orphans = (0..100).map(|shard| (Shard::from(shard), 1.0)).collect();
    let placed = assign_orphans(&orphans, &bins(&[vec![], vec![], vec![]]));
    let mut counts: BTreeMap<Vm, usize> = BTreeMap::new();
    for vm in placed.values() {
        *counts.entry(vm.clone()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (33..=34).contains(count)), "{counts:?}");
}

#[test]
fn nobody_is_given_shards_where_nobody_is() {
    let orphans = [(Shard::from(1), 1.0)].into();
    assert!(assign_orphans(&orphans, &[]).is_empty());
    assert!(rebalance(&[], BUDGET).is_none());
}

#[test]
fn each_round_helps_and_the_rounds_end() {
    #[expect(clippy::needless_pass_by_value, reason = "the form that the library takes")]
    fn property(weights: Vec<Vec<u16>>) -> bool {
        const ROUNDS: usize = 2_000;
        let mut bins = bins(&weights);
        for _ in 0..ROUNDS {
            let before = heaviest(&bins);
            if !round(&mut bins) {
                return true;
            }
            if heaviest(&bins) > before + 1e-6 {
                return false;
            }
        }
        false
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Vec<u16>>) -> bool);
}

#[test]
fn a_shard_hotter_than_the_mean_does_not_wander() {
    let mut bins = bins(&[vec![60_000], vec![10, 10], vec![10, 10]]);
    let mut moves = 0;
    while round(&mut bins) {
        moves += 1;
        assert!(moves < 4, "the hot shard goes round and round");
    }
}
