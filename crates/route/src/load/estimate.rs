//! The estimated load of one target, from its latest report, the age of that, and what this entry
//! has sent since.

use {
    crate::load::{Load, Usual, turns},
    std::time::{Duration, Instant},
};

/// The time within which a report of requests loses two thirds of its weight, at least. It is
/// longer at a target whose requests need longer.
const MIN_QUEUE_LIFETIME_S: f64 = 0.5;

/// How many times the time in which a target would run all that it holds is the lifetime of its
/// report.
const QUEUE_LIFETIME_FACTOR: f64 = 2.0;

/// The time within which the reported speed of a VM and the bias lose two thirds of their weight.
const SPEED_LIFETIME_S: f64 = 10.0;

/// The weight of a new response in the moving average of the bias.
const BIAS_WEIGHT: f64 = 0.125;

/// The range of the bias that counts as none. The durations of single requests differ as much, and
/// a target would be chosen for its luck.
const USUAL_BIAS: (f64, f64) = (0.75, 1.35);

/// The range of the bias. A false report is corrected by at most this much.
const BIAS_RANGE: (f64, f64) = (0.25, 8.0);

/// The time for which a target is taken to hold no more than when it turned a request away.
pub(super) const CAPACITY_LIFETIME: Duration = Duration::from_secs(5);

/// What one target has reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
    latest: Option<(Load, Instant)>,
    /// The requests of this entry that were sent since the latest report.
    sent: u32,
    /// The requests that it held when it turned one away, and when.
    capacity: Option<(f64, Instant)>,
    /// How many times as long as its reports say its responses take, and when that was seen.
    bias: Option<(f64, Instant)>,
    /// Whether an answer named no load: the target reports none.
    is_silent: bool,
}

impl Reports {
    /// Records that this entry sends a request.
    pub const fn record_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Records the load that an answer names. `is_shed` says that the target turned the request
    /// away.
    pub fn record_load(&mut self, load: Load, is_shed: bool, now: Instant) {
        self.latest = Some((load, now));
        self.is_silent = false;
        self.sent = 0;
        let occupied = load.occupied();
        if is_shed && load.is_full() {
            self.capacity = Some((occupied, now));
        } else if self.capacity.is_some_and(|(capacity, _)| occupied > capacity) {
            self.capacity = None;
        }
    }

    /// Records an answer that names no load.
    pub const fn record_silence(&mut self) {
        self.is_silent = true;
    }

    /// Records the time of a response that named a load.
    pub fn record_time(&mut self, load: Load, elapsed: Duration, usual: &Usual, now: Instant) {
        let Some(work_s) = usual.work_s() else { return };
        let expected_s =
            work_s * load.work_factor() * (1.0 + turns(load.occupied(), f64::from(load.slots)));
        let (low, high) = BIAS_RANGE;
        let seen = (elapsed.as_secs_f64() / expected_s.max(f64::EPSILON)).clamp(low, high);
        let known = self.bias(now);
        self.bias = Some((known + (seen - known) * BIAS_WEIGHT, now));
    }

    fn bias(&self, now: Instant) -> f64 {
        self.bias.map_or(1.0, |(bias, at)| towards(bias, 1.0, decay(at, SPEED_LIFETIME_S, now)))
    }

    /// Returns the estimate for a request that is sent now to a target with `slots` by its
    /// registration, while this entry has `in_flight` requests there. A target that has not answered
    /// yet counts as usual for the service. Returns `None` if the target reports nothing or no
    /// response has shown how long work takes.
    #[must_use]
    pub fn estimate(
        &self,
        usual: &Usual,
        slots: u32,
        in_flight: usize,
        now: Instant,
    ) -> Option<Estimate> {
        let usual_work_s = usual.work_s().filter(|_| !self.is_silent)?;
        let slots = f64::from(self.latest.map_or(slots, |(load, _)| load.slots).max(1));
        let usually_occupied = usual.occupied_per_slot(now) * slots;
        let own = f64::from(self.sent.min(u32::try_from(in_flight).unwrap_or(u32::MAX)));
        let capacity = self
            .capacity
            .filter(|(_, at)| now.saturating_duration_since(*at) < CAPACITY_LIFETIME)
            .map(|(capacity, _)| capacity)
            .or_else(|| Some(usual.capacity_per_slot(now)? * slots));
        let Some((load, at)) = self.latest else {
            let occupied = usually_occupied + own;
            return Some(Estimate { occupied, slots, work_s: usual_work_s, weight: 0.0, capacity });
        };
        let factor = towards(load.work_factor(), 1.0, decay(at, SPEED_LIFETIME_S, now));
        let (low, high) = USUAL_BIAS;
        let bias = self.bias(now);
        let bias = if (low..high).contains(&bias) { 1.0 } else { bias };
        let work_s = usual_work_s * factor * bias;
        let drain_s = work_s * (load.occupied() / slots).max(1.0);
        let lifetime_s = (QUEUE_LIFETIME_FACTOR * drain_s).max(MIN_QUEUE_LIFETIME_S);
        let weight = decay(at, lifetime_s, now);
        let occupied = towards(load.occupied(), usually_occupied, weight) + own;
        Some(Estimate { occupied, slots, work_s, weight, capacity })
    }
}

/// What a request meets at a target, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The requests that the target holds.
    pub occupied: f64,
    /// The number of requests that it can run at once.
    pub slots: f64,
    /// The time that a request takes there once it runs, in seconds.
    pub work_s: f64,
    /// How much the target's own report counts: 1 for a new one, 0 if only what is usual counts.
    pub weight: f64,
    /// The number of requests from which it turned others away, if that was seen lately.
    pub capacity: Option<f64>,
}

impl Estimate {
    /// Returns the expected time for which the request waits at the target, in seconds.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        self.work_s * turns(self.occupied, self.slots)
    }

    /// Returns the expected time until the response, in seconds.
    #[must_use]
    pub fn time_s(&self) -> f64 {
        self.work_s + self.wait_s()
    }

    /// Returns true if the request is expected to wait for a slot.
    #[must_use]
    pub fn waits(&self) -> bool {
        self.occupied + 1.0 > self.slots
    }

    /// Returns the part of the expected time by which it may be wrong either way.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        const OF_NEWS: f64 = 0.05;
        const OF_WHAT_IS_USUAL: f64 = 0.5;
        towards(OF_NEWS, OF_WHAT_IS_USUAL, self.weight)
    }
}

/// Returns the weight that something has which was seen at `at`.
fn decay(at: Instant, lifetime_s: f64, now: Instant) -> f64 {
    (-now.saturating_duration_since(at).as_secs_f64() / lifetime_s).exp()
}

/// Returns the mean of what was seen, with `weight`, and of what is usual.
fn towards(seen: f64, usual: f64, weight: f64) -> f64 {
    seen.mul_add(weight, usual * (1.0 - weight))
}
