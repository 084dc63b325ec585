//! The choice of targets by their load, in virtual time: targets with queues, and entries that hear
//! of each target only in answers to their own requests.

use {
    route::{
        Load,
        load::{Candidate, Reports, Usual, capacity, select, selection},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// A step of the virtual time.
const STEP_MS: u64 = 10;

/// The requests that a target holds besides those that it runs.
const MAX_WAITING: usize = 16;

const SLOTS: usize = 4;

/// The targets that a request is sent to if they turn it away.
const ATTEMPTS: usize = 2;

/// Random numbers that are the same in each run.
struct Random(u64);

impl Random {
    fn below_one(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        ((self.below_one() * count as f64) as usize).min(count - 1)
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    rank: usize,
    sent_ms: u64,
    ends_ms: u64,
}

#[derive(Debug, Default)]
struct Target {
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    zone: usize,
}

impl Target {
    fn load(&self, work_percent: u32) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            work_percent: Some(work_percent),
        }
    }
}

/// What one entry knows.
#[derive(Clone)]
struct Entry {
    usual: Usual,
    reports: Vec<Reports>,
    in_flight: Vec<usize>,
    zone: usize,
}

#[derive(Clone, Copy)]
struct Plan {
    entries: usize,
    targets: usize,
    work_ms: u64,
    /// The requests in a second, by rank.
    rates: [f64; 2],
    /// The speed of a target at a time, in percent of the usual duration of work.
    work_percent: fn(usize, u64) -> u32,
    /// Whether entries go by reports; else a target is drawn at random.
    by_load: bool,
    deadline_ms: u64,
    span_ms: u64,
}

/// What came of the requests of each rank, and the times of those that were served.
#[derive(Debug, Default)]
struct Outcome {
    served: [usize; 2],
    refused: [usize; 2],
    full: [usize; 2],
    late: [usize; 2],
    times_ms: Vec<u64>,
    own_zone: usize,
    by_target: Vec<usize>,
}

impl Outcome {
    fn share_served(&self, rank: usize) -> f64 {
        let all = self.served[rank] + self.refused[rank] + self.full[rank] + self.late[rank];
        self.served[rank] as f64 / all.max(1) as f64
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let mut times = self.times_ms.clone();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * quantile) as usize]
    }
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns the target that an entry sends to, as the data path does, or `None` if it refuses.
fn choose(
    entry: &Entry,
    targets: &[Target],
    plan: &Plan,
    rank: usize,
    now: Instant,
    random: &mut Random,
) -> Option<usize> {
    let left = Duration::from_millis(plan.deadline_ms);
    let estimate = |target: usize| {
        entry.reports[target].estimate(&entry.usual, 4, entry.in_flight[target], now)
    };
    let is_short = |target: usize, rank: usize| {
        estimate(target).is_some_and(|it| capacity::shortage(&it, left, rank).is_some())
    };
    if (0..targets.len()).all(|target| is_short(target, rank)) {
        return None;
    }
    let mut drawn = Vec::new();
    for is_own in [true, false] {
        let mut zone: Vec<usize> = (0..targets.len())
            .filter(|target| (targets[*target].zone == entry.zone) == is_own)
            .collect();
        selection::draw_to_front(&mut zone, selection::COMPARED, |count| random.below(count));
        drawn.extend(zone.into_iter().take(selection::COMPARED));
    }
    let mut compared: Vec<usize> =
        drawn.iter().copied().filter(|target| !is_short(*target, 0)).collect();
    if compared.is_empty() {
        compared = (0..targets.len()).filter(|target| !is_short(*target, 0)).collect();
    }
    let candidates: Vec<Candidate> = compared
        .iter()
        .map(|target| {
            let is_own_zone = targets[*target].zone == entry.zone;
            estimate(*target).map_or(
                Candidate { time_s: 0.12, uncertainty: 0.0, waits: false, is_own_zone },
                |estimate| Candidate::new(&estimate, is_own_zone),
            )
        })
        .collect();
    select(&candidates, || random.below_one()).map(|index| compared[index])
}

/// What became of a request at its entry.
enum Sent {
    To(usize),
    /// No target can answer in time.
    Refused,
    /// The targets that it was sent to turned it away.
    Full,
}

/// Sends a request to a target, and to another one if that is full.
fn send(
    plan: &Plan,
    entry: &mut Entry,
    targets: &mut [Target],
    rank: usize,
    now: Instant,
    random: &mut Random,
) -> Sent {
    for _ in 0..ATTEMPTS {
        let chosen = if plan.by_load {
            choose(entry, targets, plan, rank, now, random)
        } else {
            Some(random.below(targets.len()))
        };
        let Some(chosen) = chosen else { return Sent::Refused };
        let target = &targets[chosen];
        if target.running.len() < SLOTS || target.waiting.len() < MAX_WAITING {
            entry.in_flight[chosen] += 1;
            entry.reports[chosen].record_sent();
            return Sent::To(chosen);
        }
        let load = target.load(100);
        entry.usual.record_load(load, true, now);
        entry.reports[chosen].record_load(load, true, now);
    }
    Sent::Full
}

fn play(plan: Plan) -> Outcome {
    let start = Instant::now();
    let mut random = Random(7);
    let mut targets: Vec<Target> =
        (0..plan.targets).map(|index| Target { zone: index % 4, ..Target::default() }).collect();
    let entry = Entry {
        usual: Usual::default(),
        reports: vec![Reports::default(); plan.targets],
        in_flight: vec![0; plan.targets],
        zone: 0,
    };
    let mut entries: Vec<Entry> =
        (0..plan.entries).map(|index| Entry { zone: index % 4, ..entry.clone() }).collect();
    let mut outcome = Outcome { by_target: vec![0; plan.targets], ..Outcome::default() };
    let mut due = [0.0; 2];
    for now_ms in (0..plan.span_ms).step_by(STEP_MS as usize) {
        let now = at(start, now_ms);
        let is_measured = now_ms >= plan.span_ms / 4;
        for (index, target) in targets.iter_mut().enumerate() {
            let percent = (plan.work_percent)(index, now_ms);
            let (ended, running) = std::mem::take(&mut target.running)
                .into_iter()
                .partition(|request: &Request| request.ends_ms <= now_ms);
            target.running = running;
            let ended: Vec<Request> = ended;
            while target.running.len() < SLOTS {
                let Some(mut request) = target.waiting.pop_front() else { break };
                // The duration varies from half to one and a half times the mean.
                let varied = plan.work_ms as f64 * (0.5 + random.below_one());
                request.ends_ms = now_ms + (varied * f64::from(percent) / 100.0) as u64;
                target.running.push(request);
            }
            for request in ended {
                let elapsed = Duration::from_millis(now_ms - request.sent_ms);
                let entry = &mut entries[request.entry];
                entry.in_flight[index] -= 1;
                let load = target.load(percent);
                entry.usual.record_load(load, false, now);
                entry.usual.record_time(load, elapsed);
                let usual = entry.usual;
                entry.reports[index].record_load(load, false, now);
                entry.reports[index].record_time(load, elapsed, &usual, now);
                if is_measured {
                    let is_late = elapsed.as_millis() as u64 > plan.deadline_ms;
                    let counts = if is_late { &mut outcome.late } else { &mut outcome.served };
                    counts[request.rank] += 1;
                    outcome.times_ms.push(elapsed.as_millis() as u64);
                }
            }
        }
        for (rank, due) in due.iter_mut().enumerate() {
            *due += plan.rates[rank] * STEP_MS as f64 / 1_000.0;
            while *due >= 1.0 {
                *due -= 1.0;
                let sender = random.below(plan.entries);
                let sent = send(&plan, &mut entries[sender], &mut targets, rank, now, &mut random);
                let chosen = match sent {
                    Sent::To(chosen) => chosen,
                    Sent::Refused => {
                        outcome.refused[rank] += usize::from(is_measured);
                        continue;
                    }
                    Sent::Full => {
                        outcome.full[rank] += usize::from(is_measured);
                        continue;
                    }
                };
                let request = Request { entry: sender, rank, sent_ms: now_ms, ends_ms: 0 };
                targets[chosen].waiting.push_back(request);
                outcome.by_target[chosen] += 1;
                outcome.own_zone += usize::from(targets[chosen].zone == entries[sender].zone);
            }
        }
    }
    outcome
}

const fn even(_: usize, _: u64) -> u32 {
    100
}

/// 54 targets of four slots and 230 ms carry 939 requests in a second.
const USUAL: Plan = Plan {
    entries: 83,
    targets: 54,
    work_ms: 230,
    rates: [300.0, 300.0],
    work_percent: even,
    by_load: true,
    deadline_ms: 5_000,
    span_ms: 20_000,
};

/// Guards against a slow target that goes on getting its even share of the requests.
#[test]
fn a_target_at_half_speed_gets_fewer_requests() {
    let work_percent = |target: usize, _| if target.is_multiple_of(9) { 200 } else { 100 };
    let outcome = play(Plan { work_percent, rates: [375.0, 375.0], ..USUAL });
    let slow: usize = outcome.by_target.iter().step_by(9).sum();
    let all: usize = outcome.by_target.iter().sum();
    let (slow, even) = (slow as f64 / all as f64, 6.0 / 54.0);
    assert!(slow < even * 0.75, "{slow} of all, {even} if even");
    assert!(outcome.share_served(0) > 0.99, "{:?}", outcome.served);
}

/// Guards against urgent requests that are turned away like the others when there are twice as many
/// as can be served.
#[test]
fn urgent_requests_are_served_at_twice_the_capacity() {
    let outcome = play(Plan { rates: [600.0, 1_280.0], ..USUAL });
    let shares = [outcome.share_served(0), outcome.share_served(1)];
    assert!(shares[0] > 0.9, "{shares:?} {:?} {:?}", outcome.full, outcome.refused);
    assert!(shares[1] > 0.1, "{shares:?}");
    let served = outcome.served[0] + outcome.served[1];
    let capacity = 939.0 * 15.0;
    assert!(served as f64 > capacity * 0.85, "{served} of {capacity}");
}

/// Guards against refusals and queues when the speed of all targets swings, each at its own time.
#[test]
fn a_swing_of_the_speed_is_followed() {
    let work_percent = |target: usize, now_ms: u64| {
        let phase = now_ms as f64 / 15_000.0 + target as f64 / 54.0;
        (100.0 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin())) as u32
    };
    let plan = Plan { work_percent, rates: [350.0, 350.0], span_ms: 40_000, ..USUAL };
    let by_load = play(plan);
    let at_random = play(Plan { by_load: false, ..plan });
    let (p99, random_p99) = (by_load.quantile_ms(0.99), at_random.quantile_ms(0.99));
    assert!(p99 < random_p99, "{p99} ms, {random_p99} ms at random");
    assert_eq!(by_load.refused, [0, 0]);
}

/// Guards against entries that all send to the target that was the least busy: with as many entries
/// that choose at once, no target holds many more requests than with a random choice.
#[test]
fn entries_that_choose_at_once_do_not_converge() {
    for (entries, targets) in [(20, 54), (83, 54), (2_000, 1_300)] {
        let start = Instant::now();
        let mut usual = Usual::default();
        let busy = Load { running: 4, waiting: 4, slots: 4, work_percent: None };
        usual.record_load(busy, false, start);
        usual.record_time(busy, Duration::from_millis(500));
        let mut reports = vec![Reports::default(); targets];
        for (index, reports) in reports.iter_mut().enumerate() {
            // All entries know the same of one target that is idle.
            let load = if index == 0 { Load { running: 0, waiting: 0, ..busy } } else { busy };
            reports.record_load(load, false, start);
        }
        let targets: Vec<Target> =
            (0..targets).map(|index| Target { zone: index % 4, ..Target::default() }).collect();
        let mut chosen = vec![0; targets.len()];
        let mut random = Random(3);
        for zone in 0..entries {
            let entry = Entry {
                usual,
                reports: reports.clone(),
                in_flight: vec![0; targets.len()],
                zone: zone % 4,
            };
            let now = at(start, 100);
            let target = choose(&entry, &targets, &USUAL, 0, now, &mut random).expect("a target");
            chosen[target] += 1;
        }
        let most = chosen.iter().max().copied().unwrap_or_default();
        let mean = entries as f64 / targets.len() as f64;
        assert!(
            f64::from(chosen[0]) <= (0.3 * entries as f64).min(8.0 * mean + 3.0),
            "{entries} entries: {} to the idle target",
            chosen[0]
        );
        assert!(f64::from(most) <= (8.0 * mean + 3.0), "{entries} entries: {most} to one target");
    }
}

/// Guards against traffic between zones while the own zone is not the slower way.
#[test]
fn the_own_zone_is_preferred_until_it_is_slower() {
    let at_rest = play(Plan { rates: [150.0, 150.0], ..USUAL });
    let all: usize = at_rest.by_target.iter().sum();
    let own = at_rest.own_zone as f64 / all as f64;
    assert!(own > 0.9, "{own} in the own zone");
    let work_percent = |target: usize, _| if target.is_multiple_of(4) { 300 } else { 100 };
    let slow_zone = play(Plan { work_percent, rates: [280.0, 280.0], ..USUAL });
    let of_zone: usize = slow_zone.by_target.iter().step_by(4).sum();
    let all: usize = slow_zone.by_target.iter().sum();
    let share = of_zone as f64 / all as f64;
    assert!(share < 0.2, "{share} of all in the slow zone");
}

/// Guards against news that comes too late: with so many entries each hears of a target every 10 s,
/// and the choice must not be worse than a random one.
#[test]
fn stale_news_does_no_harm() {
    let plan = Plan { entries: 400, rates: [375.0, 375.0], span_ms: 30_000, ..USUAL };
    let by_load = play(plan);
    let at_random = play(Plan { by_load: false, ..plan });
    let (p99, random_p99) = (by_load.quantile_ms(0.99), at_random.quantile_ms(0.99));
    assert!(p99 <= random_p99 * 11 / 10, "{p99} ms, {random_p99} ms at random");
    assert_eq!(by_load.refused, [0, 0]);
}
