//! Choosing among targets of two slots each, when each entry sees only its own requests.

use {
    crate::stats,
    rand::{Rng, SeedableRng, rngs::StdRng},
    route::choice::{Candidate, less_busy_of_two},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const TARGETS: usize = 10;
const ENTRIES: usize = 10;
const SLOTS: usize = 2;
const WORK_MS: f64 = 10.0;
const REQUESTS: usize = 200_000;
const SEED: u64 = 7;

/// A way to choose.
#[derive(Clone, Copy, Debug)]
enum Way {
    Random,
    OwnInFlight,
    SharedInFlight,
    SlotsSharedOut,
}

/// The requests in flight at each target, by entry.
type InFlight = [[usize; ENTRIES]; TARGETS];

fn choose(way: Way, entry: usize, in_flight: &InFlight, rng: &mut StdRng) -> usize {
    let two = |rng: &mut StdRng, count: &dyn Fn(usize) -> usize| {
        let candidates: Vec<Candidate> =
            (0..TARGETS).map(|at| Candidate { in_flight: count(at), failing: false }).collect();
        less_busy_of_two(&candidates, |bound| rng.random_range(0..bound)).unwrap_or_default()
    };
    match way {
        Way::Random => rng.random_range(0..TARGETS),
        Way::OwnInFlight => two(rng, &|at| in_flight[at][entry]),
        Way::SharedInFlight => two(rng, &|at| in_flight[at].iter().sum()),
        Way::SlotsSharedOut => {
            // Twenty slots for ten entries: each entry has one slot at each of two targets.
            let mine = [entry % TARGETS, (entry + 1) % TARGETS];
            let less = mine.iter().min_by_key(|at| in_flight[**at][entry]);
            less.copied().unwrap_or_default()
        }
    }
}

/// Runs one load in virtual time and returns the waits in milliseconds and the largest share of a
/// target over the mean.
fn run(way: Way, share: f64, slow: f64) -> (Vec<f64>, f64) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut in_flight: InFlight = [[0; ENTRIES]; TARGETS];
    let mut free_at = vec![vec![0.0f64; SLOTS]; TARGETS];
    // Ends of requests in microseconds, since floats have no order of their own.
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mut served = [0usize; TARGETS];
    let mut waits = Vec::with_capacity(REQUESTS);
    let capacity = (TARGETS * SLOTS) as f64 / WORK_MS;
    let mut now = 0.0;
    for _ in 0..REQUESTS {
        now += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (capacity * share);
        while let Some(Reverse((end, target, entry))) = ends.peek().copied() {
            if end as f64 / 1e3 > now {
                break;
            }
            ends.pop();
            in_flight[target][entry] -= 1;
        }
        let entry = rng.random_range(0..ENTRIES);
        let target = choose(way, entry, &in_flight, &mut rng);
        let mean = if target == 0 { WORK_MS * slow } else { WORK_MS };
        let work = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean;
        let slots = &mut free_at[target];
        let earliest =
            (0..SLOTS).min_by(|a, b| slots[*a].total_cmp(&slots[*b])).unwrap_or_default();
        let start = slots[earliest].max(now);
        slots[earliest] = start + work;
        waits.push(start - now);
        served[target] += 1;
        in_flight[target][entry] += 1;
        ends.push(Reverse((((start + work) * 1e3) as u64, target, entry)));
    }
    let largest = served.iter().max().copied().unwrap_or_default() as f64;
    (waits, largest * TARGETS as f64 / REQUESTS as f64)
}

/// Prints the waits of each way at three loads, alike targets and one that is slow.
pub(crate) fn compare() {
    let ways = [Way::Random, Way::OwnInFlight, Way::SharedInFlight, Way::SlotsSharedOut];
    for slow in [1.0, 3.0] {
        for share in [0.5, 0.7, 0.9] {
            for way in ways {
                let (mut waits, largest) = run(way, share, slow);
                println!(
                    "{way:?} | {:.0} % of capacity, first target {slow} times slower | wait p50 {:.1} ms, \
                     p99 {:.1} ms | max/mean {largest:.2}",
                    share * 100.0,
                    stats::quantile(&mut waits, 0.5),
                    stats::quantile(&mut waits, 0.99),
                );
            }
        }
    }
}
