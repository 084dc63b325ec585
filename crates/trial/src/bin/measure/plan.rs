//! Measures how the work of one planner grows with the number of targets: the time of a round, the
//! size of the map and the number of grants that one round starts.

use {
    crate::stats,
    hold::{
        Action, Planner, Registration, Registry,
        planner::{Config, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Era, Service, Version, Vm, Zone, clock::Tick},
    std::time::{Duration, Instant},
};

const TARGET_COUNTS: [u32; 4] = [20, 100, 500, 2_000];
const HOT_KEY_COUNT: u16 = 200;
const REQUESTS_PER_HOT_KEY: u32 = 20;
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const MEASURED_ROUNDS: usize = 40;
/// The rounds in which a new service gets its first map and grants.
const FIRST_ROUNDS: usize = 60;

/// One planner with targets that carry out every command, in virtual time.
struct Bench {
    planner: Planner,
    registry: Registry,
    now: Tick,
    version: u64,
}

impl Bench {
    fn new(targets: u32) -> Self {
        let now = Tick::from(1_000_000);
        let mut registry = Registry::default();
        for number in 0..targets {
            let version = Version::from(u64::from(number) + 1);
            registry.register(registration(number), version, now);
        }
        registry.record_answer(now);
        let config = Config {
            grant_duration: Duration::from_millis(7_500),
            renewal_interval: Duration::from_millis(1_500),
            grant_timeout: Duration::from_millis(400),
            in_flight_margin: Duration::from_millis(400),
            leadership_lease: Duration::from_secs(15),
        };
        let planner = Planner::new(Service::from("keyed"), config, None, now);
        Self { planner, registry, now, version: u64::from(targets) + 1 }
    }

    /// Runs one round, carries out its actions and returns the time that planning took and the
    /// number of targets that got grants.
    fn run_round(&mut self) -> (Duration, usize) {
        self.now = self.now.plus(ROUND_INTERVAL);
        let started_at = Instant::now();
        let actions = self.planner.next_actions(&self.registry, self.now);
        let elapsed = started_at.elapsed();
        let is_grant = |action: &&Action| matches!(action, Action::Grant { .. });
        let grants = actions.iter().filter(is_grant).count();
        for action in actions {
            self.carry_out(action);
        }
        (elapsed, grants)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(_) => {
                self.version += 1;
                self.planner.record_write(WriteOutcome::Committed(Version::from(self.version)));
            }
            Action::Grant { instance, grants, .. } => {
                let results: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Granted)).collect();
                self.planner.record_grants(&instance, &results, self.now);
            }
            Action::Release { instance, span, .. } => {
                self.planner.record_release(&instance, span, Ok(None));
            }
        }
    }

    fn record_hot_keys(&mut self) {
        for key in 0..HOT_KEY_COUNT {
            self.planner.load_mut().record_requests(1_000 + key * 3, REQUESTS_PER_HOT_KEY);
        }
    }
}

fn registration(number: u32) -> Registration {
    let [_, high, middle, low] = number.to_be_bytes();
    Registration {
        vm: Vm::from(format!("i-{:08x}", number.wrapping_mul(0x9e37_79b9)).as_str()),
        started_at_ms: 1_764_923_456_000 + u64::from(number),
        service: Service::from("keyed"),
        address: ([10, high + 1, middle, low], 8_000).into(),
        zone: Zone::from("tt-north-a"),
        slots: 2,
        state: State::Ready,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}

/// Prints the slopes of planning, by targets.
pub(crate) fn measure() {
    let (mut times, mut hot_times, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    for targets in TARGET_COUNTS {
        let mut bench = Bench::new(targets);
        let mut max_first_grants = 0;
        for _ in 0..FIRST_ROUNDS {
            max_first_grants = max_first_grants.max(bench.run_round().1);
        }
        let idle = median_round_us(&mut bench);
        bench.record_hot_keys();
        let hot = median_round_us(&mut bench);
        let bytes = bench.planner.map().to_bytes(Era::ZERO).len();
        println!(
            "{targets} targets: {idle:.0} us a round, {hot:.0} us with hot keys, {bytes} bytes of \
             map, at most {max_first_grants} targets granted to at once"
        );
        times.push((f64::from(targets), idle));
        hot_times.push((f64::from(targets), hot));
        sizes.push((f64::from(targets), bytes as f64));
    }
    stats::print_fit("planning", "target", "us", &times);
    stats::print_fit("planning with hot keys", "target", "us", &hot_times);
    stats::print_fit("map", "target", "bytes", &sizes);
}

fn median_round_us(bench: &mut Bench) -> f64 {
    let mut times: Vec<f64> =
        (0..MEASURED_ROUNDS).map(|_| bench.run_round().0.as_secs_f64() * 1e6).collect();
    stats::quantile(&mut times, 0.5)
}
