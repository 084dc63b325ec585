//! Cold targets in virtual time: however many entries there are and whatever fails, no second holds
//! more requests to a target than its bound, and no target is left idle.

use {
    key::{Vm, clock::Tick},
    limit::{
        Bound, Candidate, Coordinators, MAX_USE_DELAY, Outcomes, Permit, Question, Registered,
        Request, Warmups,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, time::Duration},
};

const COLD: Duration = Duration::from_secs(3);
const PER_S: f64 = 3.9;
const STEP: Duration = Duration::from_millis(5);

/// The time that a request takes to its target after its permit was checked, at most.
const MAX_TRANSIT: Duration = Duration::from_millis(50);

/// What goes wrong while the targets are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The strongest half of the coordinators is lost after a second.
    CoordinatorsLost,
    /// Every other entry lacks the strongest ones in its table, so that targets have two
    /// coordinators each.
    TablesDiffer,
    /// A quarter of the entries reaches no coordinator.
    CutOff,
    /// Entries learn up to this long after the start that targets are cold, and send without permits
    /// until then.
    LearnLate(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Case {
    entries: usize,
    targets: usize,
    /// The requests a second that callers send for each target.
    demand_per_s: f64,
    trouble: Trouble,
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 250) as u8, (entry % 250) as u8], 7000))
}

fn entry_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return 0 };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

fn bound() -> Bound {
    Bound::new(PER_S, 1.5, 8.0)
}

/// A fleet whose targets have all returned cold at time `start`.
struct Fleet {
    case: Case,
    start: Tick,
    entries: Vec<Warmups>,
    coordinators: [Coordinators; 2],
    targets: Vec<Vm>,
    lost: Vec<usize>,
    rng: StdRng,
    /// When requests reached each target.
    arrivals: Vec<Vec<Tick>>,
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let start = Tick::from(1_000_000_000);
        let candidates: Vec<Candidate> = (0..case.entries)
            .map(|index| Candidate {
                vm: Vm::from(format!("e{index}").as_str()),
                address: address(index),
                power: 0.5 - 0.0001 * index as f64,
            })
            .collect();
        let lost_count = (case.entries as f64).sqrt().ceil() as usize / 2;
        let others = Coordinators::new(&candidates[lost_count..]);
        Self {
            case,
            start,
            entries: vec![Warmups::default(); case.entries],
            coordinators: [Coordinators::new(&candidates), others],
            targets: (0..case.targets)
                .map(|index| Vm::from(format!("t{index}").as_str()))
                .collect(),
            lost: (0..lost_count).collect(),
            rng: StdRng::seed_from_u64(seed),
            arrivals: vec![Vec::new(); case.targets],
        }
    }

    fn learn(&mut self, entry: usize, now: Tick) {
        let until = self.start.plus(COLD);
        let registered = self.targets.iter().map(|vm| Registered {
            instance: hold::Instance { vm: vm.clone(), started_at_ms: 2 },
            cold_until: Some(until),
            written_at: now,
        });
        self.entries[entry].update(registered, now);
    }

    fn run(&mut self) {
        let learns: Vec<Duration> = (0..self.case.entries)
            .map(|_| match self.case.trouble {
                Trouble::LearnLate(limit) => limit.mul_f64(self.rng.random()),
                _ => Duration::ZERO,
            })
            .collect();
        let mut learned = vec![false; self.case.entries];
        let mut now = self.start;
        let per_step = self.case.demand_per_s * self.case.targets as f64 * STEP.as_secs_f64();
        let mut owed = 0.0;
        while now < self.start.plus(COLD) {
            for entry in 0..self.case.entries {
                if !learned[entry] && now.since(self.start) >= learns[entry] {
                    learned[entry] = true;
                    self.learn(entry, now);
                }
            }
            owed += per_step;
            while owed >= 1.0 {
                owed -= 1.0;
                let entry = self.rng.random_range(0..self.case.entries);
                let target = self.rng.random_range(0..self.case.targets);
                self.request(entry, target, now);
            }
            now = now.plus(STEP);
        }
    }

    fn request(&mut self, entry: usize, target: usize, now: Tick) {
        let vm = self.targets[target].clone();
        let Some(stage) = self.entries[entry].stage(&vm, now) else {
            self.arrivals[target].push(now);
            return;
        };
        let is_cut_off = self.case.trouble == Trouble::CutOff && entry.is_multiple_of(4);
        let has_lost = self.case.trouble == Trouble::CoordinatorsLost
            && now.since(self.start) >= Duration::from_secs(1);
        let table =
            usize::from(self.case.trouble == Trouble::TablesDiffer && entry.is_multiple_of(2));
        let coordinators = self.coordinators[table].of(&vm);
        let request = Request {
            max_wait: Duration::from_millis(self.rng.random_range(0..400)),
            is_urgent: self.rng.random(),
        };
        let mut permit = None;
        for coordinator in self.entries[entry].askable(&coordinators, now) {
            let other = entry_of(coordinator);
            if is_cut_off || (has_lost && self.lost.contains(&other)) {
                self.entries[entry].record_failure(coordinator, now);
                continue;
            }
            let outcomes = Outcomes { good: 1, bad: 0 };
            permit = Some(self.entries[other].take(
                &vm,
                Question { bound: bound(), stage, outcomes, request },
                now,
            ));
            break;
        }
        let permit = permit.unwrap_or_else(|| {
            let phase = self.rng.random();
            self.entries[entry].take_lone(&vm, self.case.entries, phase, now)
        });
        if let Permit::After(wait) = permit {
            let late = MAX_USE_DELAY + MAX_TRANSIT;
            let delay =
                if self.rng.random() { late.mul_f64(self.rng.random()) } else { Duration::ZERO };
            self.arrivals[target].push(now.plus(wait + delay));
        }
    }

    fn busiest_second(&mut self) -> usize {
        let mut busiest = 0;
        for arrivals in &mut self.arrivals {
            arrivals.sort_unstable();
            for (index, start) in arrivals.iter().enumerate() {
                let within = arrivals[index..]
                    .iter()
                    .take_while(|at| at.since(*start) < Duration::from_secs(1));
                busiest = busiest.max(within.count());
            }
        }
        busiest
    }
}

/// Guards against more requests to a cold target than it tolerates, from entries that each keep to
/// their part, and against permits that nobody can get.
#[test]
fn a_zone_that_returns_cold_under_a_burst_stays_below_the_bound_and_is_used() {
    let late = Trouble::LearnLate(Duration::from_millis(300));
    let sizes = [(20, 60), (83, 192), (2_000, 300)];
    let troubles =
        [Trouble::None, Trouble::CoordinatorsLost, Trouble::TablesDiffer, Trouble::CutOff, late];
    for (entries, targets) in sizes {
        for trouble in troubles {
            // Before entries learn, they send what they usually do.
            let demand_per_s = if trouble == late { 7.0 } else { 40.0 };
            let case = Case { entries, targets, demand_per_s, trouble };
            for seed in 0..3 {
                let mut fleet = Fleet::new(case, seed);
                fleet.run();
                let busiest = fleet.busiest_second();
                let mean = fleet.arrivals.iter().map(Vec::len).sum::<usize>() as f64
                    / targets as f64
                    / COLD.as_secs_f64();
                println!(
                    "{case:?} seed {seed}: {busiest} in a second at most, {mean:.1}/s on average"
                );
                assert!(
                    busiest as f64 <= bound().max_per_s(),
                    "{case:?}, seed {seed}: {busiest} requests in a second"
                );
                assert!(
                    mean >= PER_S * 0.6,
                    "{case:?}, seed {seed}: only {mean} requests a second"
                );
            }
        }
    }
}
