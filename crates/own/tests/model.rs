//! Ownership under random faults, in virtual time. A failure prints its seed; give it again with
//! `ALMONDWORKS_SEED=N cargo test -p own --test model`.

mod sim;

use {
    conf::{
        BoundedU64,
        services::{Fencing, Isolation},
    },
    quickcheck::{QuickCheck, TestResult},
    sim::{SHARDS, Setup, Sim},
    std::{env, time::Duration},
};

const RUNS: u64 = 600;

/// The time after which every fault has ended and everything that can be owned must be.
const REPAIR: Duration = Duration::from_secs(45);

fn setup(seed: u64) -> Setup {
    let fencing = if seed.is_multiple_of(2) { Fencing::Full } else { Fencing::Lease };
    let isolation = if (seed / 2).is_multiple_of(2) {
        Isolation::Hold
    } else {
        Isolation::MoveAfterMs(BoundedU64::clamped(3_000))
    };
    Setup { fencing, isolation, zones: 2, entries: 2, targets: 2 }
}

/// Lets time go by until every shard is served, and tells whether that happened within `limit`.
fn becomes_whole(sim: &mut Sim, limit: Duration) -> bool {
    let end = sim.now.plus(limit);
    while sim.served() != SHARDS as usize {
        if sim.now > end {
            return false;
        }
        sim.run(Duration::from_millis(100));
    }
    true
}

/// The time in which late messages of the faults may still arrive.
const AFTERMATH: Duration = Duration::from_secs(6);

/// Runs one seed and returns what went wrong.
fn run(seed: u64) -> Result<u64, String> {
    let mut sim = Sim::new(seed, setup(seed));
    if !becomes_whole(&mut sim, Duration::from_secs(8)) {
        return Err(format!(
            "{} of {SHARDS} shards served at first\n{}",
            sim.served(),
            sim.describe()
        ));
    }
    for _ in 0..25 {
        sim.fault();
        sim.run(Duration::from_millis(700));
    }
    sim.heal();
    let whole = becomes_whole(&mut sim, REPAIR);
    sim.run(AFTERMATH);
    if let Some(overlap) = sim.overlaps.first() {
        return Err(format!("{} overlaps, the first {overlap}", sim.overlaps.len()));
    }
    if sim.slots() != SHARDS as usize {
        return Err(format!(
            "the table knows {} of {SHARDS} shards\n{}",
            sim.slots(),
            sim.describe()
        ));
    }
    if !whole {
        return Err(format!(
            "{} of {SHARDS} shards served after repair\n{}",
            sim.served(),
            sim.describe()
        ));
    }
    Ok(sim.commits)
}

#[test]
fn no_shard_has_two_owners_and_all_are_served_after_repair() {
    if let Some(seed) = env::var("ALMONDWORKS_SEED").ok().and_then(|text| text.parse().ok()) {
        run(seed).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
        return;
    }
    let runs = env::var("ALMONDWORKS_RUNS").ok().and_then(|text| text.parse().ok()).unwrap_or(RUNS);
    for seed in 0..runs {
        run(seed).unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
    }
}

#[test]
fn no_shard_has_two_owners_under_seeds_of_chance() {
    fn property(seed: u64) -> TestResult {
        match run(seed) {
            Ok(_) => TestResult::passed(),
            Err(problem) => TestResult::error(format!("seed {seed}: {problem}")),
        }
    }
    QuickCheck::new().tests(25).quickcheck(property as fn(u64) -> TestResult);
}
