//! Tests of ownership under random faults, in virtual time.
//!
//! A failure prints its seed; `ALMONDWORKS_SEED=N cargo test -p own --test model` repeats the run.

mod sim;

use {
    conf::{
        BoundedU64,
        services::{Fencing, Isolation},
    },
    quickcheck::{QuickCheck, TestResult},
    sim::{SHARD_COUNT, Setup, Sim},
    std::{env, time::Duration},
};

const DEFAULT_RUN_COUNT: u64 = 600;

/// The time after the end of all faults within which every shard must be served.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(45);

/// Derives the parameters of a run from its seed.
fn setup(seed: u64) -> Setup {
    let fencing = if seed.is_multiple_of(2) { Fencing::Full } else { Fencing::Lease };
    let isolation = if (seed / 2).is_multiple_of(2) {
        Isolation::Hold
    } else {
        Isolation::MoveAfterMs(BoundedU64::clamped(3_000))
    };
    Setup { fencing, isolation, zones: 2, entries_per_zone: 2, targets_per_zone: 2 }
}

/// Advances time until every shard is served, and returns false if that takes longer than `limit`.
fn run_until_all_served(sim: &mut Sim, limit: Duration) -> bool {
    let end = sim.now.plus(limit);
    while sim.served_shard_count() != SHARD_COUNT as usize {
        if sim.now > end {
            return false;
        }
        sim.run_for(Duration::from_millis(100));
    }
    true
}

/// How long messages that were sent during the faults may still arrive.
const LATE_MESSAGE_WINDOW: Duration = Duration::from_secs(6);

/// Runs one seed and returns the number of commits, or a description of the failure.
fn run_seed(seed: u64) -> Result<u64, String> {
    let mut sim = Sim::new(seed, setup(seed));
    if !run_until_all_served(&mut sim, Duration::from_secs(8)) {
        return Err(format!(
            "{} of {SHARD_COUNT} shards served before any fault\n{}",
            sim.served_shard_count(),
            sim.describe()
        ));
    }
    for _ in 0..25 {
        sim.inject_fault();
        sim.run_for(Duration::from_millis(700));
    }
    sim.heal();
    let all_served = run_until_all_served(&mut sim, REPAIR_TIMEOUT);
    sim.run_for(LATE_MESSAGE_WINDOW);
    if let Some(overlap) = sim.overlaps.first() {
        return Err(format!("{} overlaps, the first {overlap}", sim.overlaps.len()));
    }
    if sim.shard_count_in_table() != SHARD_COUNT as usize {
        return Err(format!(
            "the table contains {} of {SHARD_COUNT} shards\n{}",
            sim.shard_count_in_table(),
            sim.describe()
        ));
    }
    if !all_served {
        return Err(format!(
            "{} of {SHARD_COUNT} shards served after repair\n{}",
            sim.served_shard_count(),
            sim.describe()
        ));
    }
    Ok(sim.commit_count)
}

#[test]
fn no_shard_has_two_owners_and_all_are_served_after_repair() {
    if let Some(seed) = env::var("ALMONDWORKS_SEED").ok().and_then(|text| text.parse().ok()) {
        run_seed(seed).unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
        return;
    }
    let runs = env::var("ALMONDWORKS_RUNS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RUN_COUNT);
    for seed in 0..runs {
        run_seed(seed).unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
    }
}

#[test]
fn no_shard_has_two_owners_under_random_seeds() {
    fn property(seed: u64) -> TestResult {
        match run_seed(seed) {
            Ok(_) => TestResult::passed(),
            Err(failure) => TestResult::error(format!("seed {seed}: {failure}")),
        }
    }
    QuickCheck::new().tests(25).quickcheck(property as fn(u64) -> TestResult);
}
