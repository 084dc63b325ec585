//! Simulates strategies for choosing a target, where each target has two slots.
//!
//! It compares what an entry can do alone, since it knows only its own requests in flight, with
//! knowing those of all entries.

use {
    crate::stats,
    rand::{Rng, SeedableRng, rngs::StdRng},
    route::choice::{Candidate, less_busy_of_two},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const TARGET_COUNT: usize = 10;
const ENTRY_COUNT: usize = 10;
const SLOTS_PER_TARGET: usize = 2;
const MEAN_WORK_MS: f64 = 10.0;
const REQUEST_COUNT: usize = 200_000;
const RNG_SEED: u64 = 7;

/// A strategy for choosing a target.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    Random,
    OwnInFlight,
    SharedInFlight,
    SlotsSharedOut,
}

/// The requests in flight, by target and entry.
type InFlight = [[usize; ENTRY_COUNT]; TARGET_COUNT];

fn choose(strategy: Strategy, entry: usize, in_flight: &InFlight, rng: &mut StdRng) -> usize {
    let choose_by = |rng: &mut StdRng, count: &dyn Fn(usize) -> usize| {
        let candidates: Vec<Candidate> = (0..TARGET_COUNT)
            .map(|target| Candidate { in_flight: count(target), failing: false })
            .collect();
        less_busy_of_two(&candidates, |bound| rng.random_range(0..bound)).unwrap_or_default()
    };
    match strategy {
        Strategy::Random => rng.random_range(0..TARGET_COUNT),
        Strategy::OwnInFlight => choose_by(rng, &|target| in_flight[target][entry]),
        Strategy::SharedInFlight => choose_by(rng, &|target| in_flight[target].iter().sum()),
        Strategy::SlotsSharedOut => {
            // 20 slots for 10 entries: each entry has one slot at each of two targets.
            let own_targets = [entry % TARGET_COUNT, (entry + 1) % TARGET_COUNT];
            let less_busy = own_targets.iter().min_by_key(|target| in_flight[**target][entry]);
            less_busy.copied().unwrap_or_default()
        }
    }
}

/// Simulates a load, given as a fraction of the capacity, in virtual time.
///
/// Returns the waits in milliseconds and the ratio of the busiest target's requests to the mean.
fn simulate(strategy: Strategy, load: f64, slowdown: f64) -> (Vec<f64>, f64) {
    let mut rng = StdRng::seed_from_u64(RNG_SEED);
    let mut in_flight: InFlight = [[0; ENTRY_COUNT]; TARGET_COUNT];
    let mut slot_free_at = vec![vec![0.0f64; SLOTS_PER_TARGET]; TARGET_COUNT];
    // Completion times are whole microseconds, because `f64` does not implement `Ord`.
    let mut completions: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mut request_counts = [0usize; TARGET_COUNT];
    let mut waits_ms = Vec::with_capacity(REQUEST_COUNT);
    let capacity_per_ms = (TARGET_COUNT * SLOTS_PER_TARGET) as f64 / MEAN_WORK_MS;
    let mut now_ms = 0.0;
    for _ in 0..REQUEST_COUNT {
        now_ms += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (capacity_per_ms * load);
        while let Some(Reverse((ends_at, target, entry))) = completions.peek().copied() {
            if ends_at as f64 / 1e3 > now_ms {
                break;
            }
            completions.pop();
            in_flight[target][entry] -= 1;
        }
        let entry = rng.random_range(0..ENTRY_COUNT);
        let target = choose(strategy, entry, &in_flight, &mut rng);
        let mean_work_ms = if target == 0 { MEAN_WORK_MS * slowdown } else { MEAN_WORK_MS };
        let work_ms = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_work_ms;
        let slots = &mut slot_free_at[target];
        let earliest = (0..SLOTS_PER_TARGET)
            .min_by(|a, b| slots[*a].total_cmp(&slots[*b]))
            .unwrap_or_default();
        let starts_at = slots[earliest].max(now_ms);
        slots[earliest] = starts_at + work_ms;
        waits_ms.push(starts_at - now_ms);
        request_counts[target] += 1;
        in_flight[target][entry] += 1;
        completions.push(Reverse((((starts_at + work_ms) * 1e3) as u64, target, entry)));
    }
    let busiest = request_counts.iter().max().copied().unwrap_or_default() as f64;
    (waits_ms, busiest * TARGET_COUNT as f64 / REQUEST_COUNT as f64)
}

/// Prints the waits of each strategy at three loads, with equal targets and with one slow target.
pub(crate) fn compare() {
    let strategies = [
        Strategy::Random,
        Strategy::OwnInFlight,
        Strategy::SharedInFlight,
        Strategy::SlotsSharedOut,
    ];
    for slowdown in [1.0, 3.0] {
        for load in [0.5, 0.7, 0.9] {
            for strategy in strategies {
                let (mut waits_ms, busiest) = simulate(strategy, load, slowdown);
                println!(
                    "{strategy:?} | {:.0} % of capacity, first target {slowdown} times slower | wait p50 {:.1} ms, \
                     p99 {:.1} ms | max/mean {busiest:.2}",
                    load * 100.0,
                    stats::quantile(&mut waits_ms, 0.5),
                    stats::quantile(&mut waits_ms, 0.99),
                );
            }
        }
    }
}
