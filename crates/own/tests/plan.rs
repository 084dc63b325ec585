//! Placement of shards: even assignment, and rounds of rebalancing that improve the load and end.

use {
    key::{Shard, Vm},
    own::plan::{MoveLimits, TargetLoad, assign_orphans, rebalance},
    quickcheck::QuickCheck,
    std::collections::BTreeMap,
};

const MOVE_LIMITS: MoveLimits = MoveLimits { max_moves: 8, tolerance: 0.10 };

fn targets(weights: &[Vec<u16>]) -> Vec<TargetLoad> {
    let mut shard = 0;
    let target = |(index, weights): (usize, &Vec<u16>)| TargetLoad {
        vm: Vm::from(format!("t{index}").as_str()),
        shards: weights
            .iter()
            .map(|weight| {
                shard += 1;
                (Shard::from(shard), f64::from(*weight) + 1.0)
            })
            .collect(),
    };
    weights.iter().enumerate().map(target).collect()
}

fn max_weight(targets: &[TargetLoad]) -> f64 {
    targets.iter().map(TargetLoad::weight).fold(0.0, f64::max)
}

/// Performs one round of rebalancing and returns true if any shard moved.
fn run_round(targets: &mut [TargetLoad]) -> bool {
    let Some((vm, shards)) = rebalance(targets, MOVE_LIMITS) else { return false };
    let donor =
        targets.iter_mut().find(|target| target.vm == vm).expect("the donor is one of the targets");
    let moved: BTreeMap<Shard, f64> = shards
        .iter()
        .map(|shard| (*shard, donor.shards.remove(shard).expect("the donor owns the shard")))
        .collect();
    let remaining: Vec<TargetLoad> = targets.to_vec();
    for (shard, vm) in assign_orphans(&moved, &remaining) {
        let recipient = targets
            .iter_mut()
            .find(|target| target.vm == vm)
            .expect("the recipient is one of the targets");
        recipient.shards.insert(shard, moved[&shard]);
    }
    true
}

#[test]
fn orphans_of_equal_weight_spread_evenly() {
    let orphans = (0..100).map(|shard| (Shard::from(shard), 1.0)).collect();
    let assigned = assign_orphans(&orphans, &targets(&[vec![], vec![], vec![]]));
    let mut counts: BTreeMap<Vm, usize> = BTreeMap::new();
    for vm in assigned.values() {
        *counts.entry(vm.clone()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (33..=34).contains(count)), "{counts:?}");
}

#[test]
fn nothing_is_assigned_without_targets() {
    let orphans = [(Shard::from(1), 1.0)].into();
    assert!(assign_orphans(&orphans, &[]).is_empty());
    assert!(rebalance(&[], MOVE_LIMITS).is_none());
}

#[test]
fn no_round_raises_the_maximum_and_the_rounds_end() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(weights: Vec<Vec<u16>>) -> bool {
        const MAX_ROUNDS: usize = 2_000;
        let mut targets = targets(&weights);
        for _ in 0..MAX_ROUNDS {
            let before = max_weight(&targets);
            if !run_round(&mut targets) {
                return true;
            }
            if max_weight(&targets) > before + 1e-6 {
                return false;
            }
        }
        false
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<Vec<u16>>) -> bool);
}

#[test]
fn a_shard_heavier_than_the_mean_does_not_move_endlessly() {
    let mut targets = targets(&[vec![60_000], vec![10, 10], vec![10, 10]]);
    let mut rounds = 0;
    while run_round(&mut targets) {
        rounds += 1;
        assert!(rounds < 4, "the heavy shard keeps moving");
    }
}
