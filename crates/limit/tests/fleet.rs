//! A fleet of entries and one limited target in virtual time: whatever the entries' number, demand
//! and connections, the target gets no more than its limit allows, and not much less than it takes.

use {
    hold::Instance,
    key::{Vm, clock::Tick},
    limit::{Permit, Rate, Request, Table, Word},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const STEP_MS: u64 = 5;
const RUN_MS: u64 = 40_000;
/// The time after which the limit must be kept.
const SETTLING_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const SEEDS: u64 = 20;

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn target() -> Instance {
    Instance { vm: Vm::from("t1"), started_at_ms: 1 }
}

/// Which entry each entry asks for permits at a moment.
#[derive(Clone, Copy, Debug)]
enum Coordination {
    /// One entry answers all others.
    One,
    /// No entry answers.
    None,
    /// The last third of the entries is cut off; one entry answers the others.
    ThirdCutOff,
    /// Another entry takes over every few seconds.
    Moving,
}

impl Coordination {
    fn coordinator(self, entry: usize, entries: usize, now_ms: u64) -> Option<usize> {
        match self {
            Self::One => Some(0),
            Self::None => None,
            Self::ThirdCutOff => (entry < entries - entries / 3).then_some(0),
            Self::Moving => Some((now_ms / 5_000) as usize % entries),
        }
    }

    /// The fraction of the limit that the leader leaves to the coordinator.
    fn coordinated_fraction(self, entries: usize) -> f64 {
        match self {
            Self::ThirdCutOff => (entries - entries / 3) as f64 / entries as f64,
            _ => 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    entries: usize,
    rate: f64,
    /// The requests per second of all entries together, as a multiple of the rate.
    demand: f64,
    coordination: Coordination,
    /// The part of the limit, or of the requests if these are fewer, that must be sent at least.
    min_used: f64,
}

/// Runs a fleet and returns the times at which requests were sent, in milliseconds, and the number
/// of requests that callers made.
fn run(case: Case, seed: u64) -> (Vec<u64>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = Rate::new(case.rate).expect("a rate");
    let word = Word { rate: Some(rate), at: tick_at_ms(0) };
    let mut tables = vec![Table::default(); case.entries];
    for table in &mut tables {
        table.merge(&target(), word);
        table.set_coordinated_fraction(case.coordination.coordinated_fraction(case.entries));
    }
    let (mut sent, mut request_count) = (Vec::new(), 0);
    let probability = case.rate * case.demand * STEP_MS as f64 / 1_000.0 / case.entries as f64;
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = tick_at_ms(now_ms);
        for entry in 0..case.entries {
            if !rng.random_bool(probability.min(1.0)) {
                continue;
            }
            request_count += 1;
            let request = Request { max_wait: Duration::from_millis(160), is_urgent: true };
            let permit = match case.coordination.coordinator(entry, case.entries, now_ms) {
                Some(coordinator) => tables[coordinator].take_permit(&target(), request, now),
                None => {
                    let phase = rng.random();
                    tables[entry].take_share(&target(), case.entries, request.max_wait, phase, now)
                }
            };
            if let Permit::After(wait) = permit {
                sent.push(now_ms + wait.as_millis() as u64);
            }
        }
    }
    sent.sort_unstable();
    (sent, request_count)
}

fn busiest_window(sent: &[u64]) -> usize {
    let settled: Vec<u64> = sent.iter().copied().filter(|at| *at >= SETTLING_MS).collect();
    let count = |(index, start): (usize, &u64)| {
        settled[index..].iter().take_while(|at| **at < start + WINDOW_MS).count()
    };
    settled.iter().enumerate().map(count).max().unwrap_or(0)
}

#[test]
fn a_limit_binds_all_entries_together_and_is_used() {
    let with = |coordination, min_used| Case {
        entries: 11,
        rate: 4.0,
        demand: 3.0,
        coordination,
        min_used,
    };
    let one = with(Coordination::One, 0.9);
    let cases = [
        one,
        Case { demand: 0.5, ..one },
        Case { demand: 20.0, ..one },
        Case { rate: 0.5, ..one },
        Case { rate: 50.0, ..one },
        Case { entries: 3, ..one },
        Case { entries: 89, ..one },
        Case { entries: 900, demand: 10.0, ..one },
        with(Coordination::Moving, 0.8),
        Case { entries: 89, demand: 10.0, ..with(Coordination::Moving, 0.8) },
        with(Coordination::ThirdCutOff, 0.6),
        Case { rate: 20.0, demand: 10.0, ..with(Coordination::ThirdCutOff, 0.6) },
        with(Coordination::None, 0.2),
        Case { demand: 50.0, ..with(Coordination::None, 0.6) },
        Case { entries: 89, demand: 50.0, ..with(Coordination::None, 0.2) },
    ];
    for case in cases {
        let allowed = (case.rate * 4.0 * 1.5 + 5.0) as usize;
        for seed in 0..SEEDS {
            let (sent, request_count) = run(case, seed);
            let busiest = busiest_window(&sent);
            assert!(busiest <= allowed, "{case:?}, seed {seed}: {busiest} of {allowed}");
            let usable = (case.rate * RUN_MS as f64 / 1_000.0).min(request_count as f64);
            let used = sent.len() as f64 / usable;
            assert!(used >= case.min_used, "{case:?}, seed {seed}: {used:.2} of the limit used");
        }
    }
}
