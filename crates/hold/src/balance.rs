//! Chooses keys to reassign so that the load of targets stays even.

use {
    crate::map::{Holdings, Instance, Map, Span},
    key::clock::Tick,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The time constant of the exponential average of request rates, in seconds.
const RATE_WINDOW_S: f64 = 2.0;

/// The rate at or below which a key counts as idle, in requests per second.
const IDLE_REQUESTS_PER_S: f64 = 0.02;

/// The difference in utilisation below which no keys are reassigned, unless the recipient has none.
const MIN_UTILISATION_GAP: f64 = 0.3;

/// The same difference for a donor that gets more requests than its rate limit allows, some of
/// which are refused until keys are reassigned.
const MIN_OVER_LIMIT_GAP: f64 = 0.1;

/// The utilisation from which a target with a rate limit counts as over it: arrivals vary, so that
/// requests are refused before the mean reaches the limit.
const OVER_LIMIT_UTILISATION: f64 = 0.85;

/// The fraction of the donor's cost of a request below which a recipient counts as cheaper.
const MAX_CHEAPER_COST: f64 = 0.8;

/// The utilisation below which a target donates no keys.
const MIN_DONOR_UTILISATION: f64 = 0.35;

/// The utilisation that a reassignment must take from its donor at least.
const MIN_REASSIGNED_UTILISATION: f64 = 0.08;

/// The weight of a part inside a span relative to a part at an end, because reassigning it leaves
/// one more span.
const INNER_PART_WEIGHT: f64 = 0.8;

/// The shortest deferral for which keys are reassigned. After a shorter one the target would soon
/// get them back.
const MIN_DEFERRAL: Duration = Duration::from_secs(2);

/// The utilisation of a target without room.
const FULL_UTILISATION: f64 = 1.0;

/// How many standard deviations of a donor's rate count as noise. Of some hundred targets with equal
/// rates, a few seem far busier than the others at any moment, and moving keys for that helps nobody.
const NOISE_DEVIATIONS: f64 = 2.0;

/// The utilisation up to which a recipient is filled. The cost of a request at an idle recipient is
/// known better than that at an overloaded donor, which may be told too high; without this bound
/// one reassignment would take a whole group of busy keys to the next target.
const MAX_RECIPIENT_UTILISATION: f64 = 0.8;

/// The factor on the mean utilisation up to which a recipient is filled where that is higher.
const MAX_RECIPIENT_TO_MEAN: f64 = 1.2;

/// The weight of a new observation in the moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.2;

/// The assumed service time of a target without observations, in seconds.
const DEFAULT_SERVICE_TIME_S: f64 = 0.15;

/// Moving averages of the request rates of keys and of the service times of targets.
#[derive(Clone, Debug, Default)]
pub struct Load {
    rates: BTreeMap<u16, f64>,
    service_times: BTreeMap<Instance, f64>,
    /// The rates at which targets answer, in requests per second.
    answer_rates: BTreeMap<Instance, f64>,
    /// The rate limits that targets name, in requests per second.
    rate_limits: BTreeMap<Instance, f64>,
    /// When the targets that want nothing for long want requests again.
    deferred_until: BTreeMap<Instance, Tick>,
}

/// A target that may receive keys, or donate some.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance of the target.
    pub instance: Instance,
    /// The number of requests it processes concurrently.
    pub slots: u32,
    /// Whether keys can be revoked from it now.
    pub can_donate: bool,
}

/// A span that should be assigned to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub span: Span,
    /// The donor, which holds the keys.
    pub from: Instance,
    /// The recipient.
    pub to: Instance,
}

/// A reassignment that has begun: the donor has not released the keys, or nobody has got them yet.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The keys.
    pub span: Span,
    /// The donor.
    pub from: Instance,
    /// The recipient, if it is chosen.
    pub to: Option<Instance>,
}

impl Load {
    /// Records new requests for a key.
    pub fn record_requests(&mut self, key: u16, requests: u32) {
        *self.rates.entry(key).or_default() += f64::from(requests) / RATE_WINDOW_S;
    }

    /// Decays the rates by the time that has passed, in seconds.
    pub fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / RATE_WINDOW_S).exp();
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate > IDLE_REQUESTS_PER_S
        });
        self.answer_rates.retain(|_, rate| {
            *rate *= factor;
            *rate > IDLE_REQUESTS_PER_S
        });
    }

    /// Records `count` answers of a target and how long it took for each, in seconds.
    pub fn record_answers(&mut self, instance: &Instance, count: u32, seconds: f64) {
        *self.answer_rates.entry(instance.clone()).or_default() += f64::from(count) / RATE_WINDOW_S;
        self.record_service_time(instance, seconds);
    }

    /// Records how long a target takes for a request, in seconds.
    pub fn record_service_time(&mut self, instance: &Instance, seconds: f64) {
        let time = self.service_times.entry(instance.clone()).or_insert(DEFAULT_SERVICE_TIME_S);
        *time += SERVICE_TIME_WEIGHT * (seconds - *time);
    }

    /// Replaces the rate limits that targets name, in requests per second.
    pub fn set_rate_limits(&mut self, rate_limits: BTreeMap<Instance, f64>) {
        self.rate_limits = rate_limits;
    }

    /// Records that a target wants no requests for `span`. Until then it counts as one without
    /// room, unless the span is short.
    pub fn record_deferral(&mut self, instance: &Instance, span: Duration, now: Tick) {
        if span < MIN_DEFERRAL {
            return;
        }
        let until = self.deferred_until.entry(instance.clone()).or_default();
        *until = now.plus(span).max(*until);
    }

    /// Forgets the deferrals that are over.
    pub fn expire_deferrals(&mut self, now: Tick) {
        self.deferred_until.retain(|_, until| now < *until);
    }

    /// Returns the request rate of a span, in requests per second.
    #[must_use]
    pub fn rate(&self, span: Span) -> f64 {
        self.rates.range(span.first..=span.last).map(|(_, rate)| rate).sum()
    }

    /// Returns the utilisation that one request per second causes at a target: of its slots, or of
    /// its rate limit if that is reached first.
    ///
    /// What a target takes for a request includes the time in its queue. A target that answers at a
    /// certain rate has slots for that rate at least, which bounds the cost under overload.
    #[must_use]
    pub fn cost(&self, instance: &Instance, slots: u32) -> f64 {
        let time = self.service_times.get(instance).copied().unwrap_or(DEFAULT_SERVICE_TIME_S);
        let of_slots = time / f64::from(slots.max(1));
        let of_slots =
            self.answer_rates.get(instance).map_or(of_slots, |rate| of_slots.min(rate.recip()));
        self.rate_limits.get(instance).map_or(of_slots, |limit| of_slots.max(limit.recip()))
    }

    /// Returns the utilisation of a target that gets `rate` requests per second.
    #[must_use]
    pub fn utilisation(&self, instance: &Instance, slots: u32, rate: f64) -> f64 {
        (rate * self.cost(instance, slots)).max(self.min_utilisation(instance))
    }

    /// Returns the utilisation that a target has whatever its rate: a deferred one counts as full.
    fn min_utilisation(&self, instance: &Instance) -> f64 {
        if self.deferred_until.contains_key(instance) { FULL_UTILISATION } else { 0.0 }
    }

    /// Returns the part of `span` with the highest rate up to `max_rate`, and its weighted rate.
    /// The part lies at an end, which leaves fewer spans, or begins at the busiest key that fits,
    /// so that a busy key inside the span can be reassigned.
    fn part_of(&self, span: Span, max_rate: f64) -> Option<(Span, f64)> {
        let keys: Vec<(u16, f64)> =
            self.rates.range(span.first..=span.last).map(|(key, rate)| (*key, *rate)).collect();
        let front = longest_prefix(&mut keys.iter(), max_rate)
            .map(|(key, sum)| (Span { first: span.first, last: key }, sum));
        let back = longest_prefix(&mut keys.iter().rev(), max_rate)
            .map(|(key, sum)| (Span { first: key, last: span.last }, sum));
        let fitting = keys.iter().enumerate().filter(|(_, (_, key_rate))| *key_rate <= max_rate);
        let busiest = fitting.max_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(index, _)| index);
        let inner = busiest.and_then(|index| {
            let (last, sum) = longest_prefix(&mut keys[index..].iter(), max_rate)?;
            Some((Span { first: keys[index].0, last }, sum * INNER_PART_WEIGHT))
        });
        let parts = front.into_iter().chain(back).chain(inner);
        parts.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the last key of the longest prefix whose total rate is at most `max_rate`, and its rate.
fn longest_prefix(
    keys: &mut dyn Iterator<Item = &(u16, f64)>,
    max_rate: f64,
) -> Option<(u16, f64)> {
    let (mut sum, mut last) = (0.0, None);
    for (key, key_rate) in keys {
        if sum + key_rate > max_rate {
            break;
        }
        sum += key_rate;
        last = Some(*key);
    }
    last.map(|key| (key, sum))
}

/// Divides all keys evenly among `targets` targets and returns each stripe with the index of its
/// target. Each target gets `stripes_per_target` stripes, so that adjacent ones belong to different
/// targets.
#[must_use]
pub fn stripes(targets: usize, stripes_per_target: usize) -> Vec<(Span, usize)> {
    let stripe_count = (targets * stripes_per_target).max(1) as u32;
    let width = Span::ALL.width();
    let first_key =
        |stripe: u32| (u64::from(width) * u64::from(stripe) / u64::from(stripe_count)) as u32;
    (0..stripe_count)
        .map(|stripe| {
            let span =
                Span { first: first_key(stripe) as u16, last: (first_key(stripe + 1) - 1) as u16 };
            (span, stripe as usize % targets.max(1))
        })
        .collect()
}

/// Returns the utilisation of a target: its load as a fraction of its slots.
#[must_use]
pub fn utilisation(holdings: &Holdings<'_>, load: &Load, candidate: &Candidate) -> f64 {
    let held = holdings.of(&candidate.instance).iter();
    let rates = held.map(|assignment| load.rate(assignment.span));
    load.utilisation(&candidate.instance, candidate.slots, rates.sum())
}

/// The load of a target while reassignments are chosen.
struct TargetLoad<'a> {
    candidate: &'a Candidate,
    /// The spans that it may donate.
    spans: Vec<Span>,
    /// The rate of the keys that it holds or is about to receive.
    rate: f64,
    /// The utilisation that one request per second causes at it.
    cost: f64,
    /// The utilisation that it has whatever its rate.
    min_utilisation: f64,
    /// Whether it names a rate limit.
    is_limited: bool,
    /// Whether it has no keys left that it can usefully donate.
    is_exhausted: bool,
}

impl<'a> TargetLoad<'a> {
    fn new(holdings: &Holdings<'_>, load: &Load, candidate: &'a Candidate) -> Self {
        let held = holdings.of(&candidate.instance).iter();
        let spans: Vec<Span> = held.map(|assignment| assignment.span).collect();
        let rate = spans.iter().map(|span| load.rate(*span)).sum();
        Self {
            candidate,
            spans,
            rate,
            cost: load.cost(&candidate.instance, candidate.slots),
            min_utilisation: load.min_utilisation(&candidate.instance),
            is_limited: load.rate_limits.contains_key(&candidate.instance),
            is_exhausted: !candidate.can_donate,
        }
    }

    fn utilisation(&self) -> f64 {
        (self.rate * self.cost).max(self.min_utilisation)
    }

    /// Returns how much of the utilisation may come from requests that happened to arrive together:
    /// arrivals within the window of the average vary by the square root of their number. None of it
    /// matters at a target that refuses requests by its own word.
    fn noise(&self) -> f64 {
        if self.is_limited || self.min_utilisation > 0.0 {
            return 0.0;
        }
        let deviation = (self.rate.max(0.0) / (2.0 * RATE_WINDOW_S)).sqrt();
        NOISE_DEVIATIONS * deviation * self.cost
    }

    /// Takes a span that is being reassigned from what the target may donate.
    fn donate(&mut self, span: Span, rate: f64) {
        let rest = self.spans.iter().flat_map(|held| held.without(span)).flatten();
        self.spans = rest.collect();
        self.rate -= rate;
    }

    /// Returns by how much the utilisation of a recipient must be lower for a reassignment.
    fn min_gap(&self) -> f64 {
        if self.is_limited && self.utilisation() >= OVER_LIMIT_UTILISATION {
            MIN_OVER_LIMIT_GAP
        } else {
            MIN_UTILISATION_GAP
        }
    }
}

/// Chooses at most `limit` spans to reassign from the busiest targets to the least busy.
///
/// Each span is one that its donor holds according to the map: keys that a target is about to
/// receive are not reassigned again. Those of the `pending` reassignments count as received.
#[must_use]
pub fn rebalance(
    map: &Map,
    load: &Load,
    candidates: &[Candidate],
    pending: &[Pending],
    limit: usize,
) -> Vec<Reassignment> {
    let holdings = Holdings::new(map);
    let target_load = |candidate| TargetLoad::new(&holdings, load, candidate);
    let mut targets: Vec<TargetLoad<'_>> = candidates.iter().map(target_load).collect();
    apply_pending(&mut targets, load, pending);
    let mean = targets.iter().map(TargetLoad::utilisation).sum::<f64>() / targets.len() as f64;
    let full = MAX_RECIPIENT_UTILISATION.max(mean * MAX_RECIPIENT_TO_MEAN);
    let mut reassignments = Vec::new();
    while reassignments.len() < limit {
        let by_utilisation =
            |a: &usize, b: &usize| targets[*a].utilisation().total_cmp(&targets[*b].utilisation());
        let donors = (0..targets.len()).filter(|index| !targets[*index].is_exhausted);
        let Some(donor) = donors.max_by(by_utilisation) else { break };
        let Some(recipient) = (0..targets.len()).min_by(by_utilisation) else { break };
        let gap = targets[donor].utilisation() - targets[recipient].utilisation();
        let is_new = targets[recipient].spans.is_empty() && targets[recipient].rate <= 0.0;
        if donor == recipient
            || targets[donor].utilisation() < MIN_DONOR_UTILISATION
            || (gap < targets[donor].min_gap() + targets[donor].noise() && !is_new)
        {
            break;
        }
        // Reassigning this rate would make the two equally utilised.
        let even_rate = gap / (targets[donor].cost + targets[recipient].cost);
        let room = (full - targets[recipient].utilisation()) / targets[recipient].cost;
        let max_rate = even_rate.min(room);
        let min_rate = MIN_REASSIGNED_UTILISATION / targets[donor].cost;
        let part = best_part(load, &targets[donor].spans, max_rate, min_rate).or_else(|| {
            // A busy key that is too much to even the two out still goes to a recipient that serves
            // it at a lower cost and stays less utilised than the donor is now.
            let is_cheaper = targets[recipient].cost < targets[donor].cost * MAX_CHEAPER_COST;
            let max_rate = (gap - targets[donor].min_gap()) / targets[recipient].cost;
            let spans = &targets[donor].spans;
            is_cheaper.then(|| best_part(load, spans, max_rate, min_rate)).flatten()
        });
        let Some((index, span)) = part else {
            targets[donor].is_exhausted = true;
            continue;
        };
        let moved_rate = load.rate(span);
        let whole = targets[donor].spans.swap_remove(index);
        targets[donor].spans.extend(whole.without(span).into_iter().flatten());
        targets[donor].rate -= moved_rate;
        targets[recipient].rate += moved_rate;
        reassignments.push(Reassignment {
            span,
            from: targets[donor].candidate.instance.clone(),
            to: targets[recipient].candidate.instance.clone(),
        });
    }
    reassignments
}

/// Counts reassignments that have begun as if they had ended.
fn apply_pending(targets: &mut [TargetLoad<'_>], load: &Load, pending: &[Pending]) {
    let instances = targets.iter().enumerate();
    let indices: HashMap<&Instance, usize> =
        instances.map(|(index, target)| (&target.candidate.instance, index)).collect();
    for Pending { span, from, to } in pending {
        let rate = load.rate(*span);
        if let Some(donor) = indices.get(from) {
            targets[*donor].donate(*span, rate);
        }
        if let Some(recipient) = to.as_ref().and_then(|to| indices.get(to)) {
            targets[*recipient].rate += rate;
        }
    }
}

/// Returns the part of one of the spans with the highest rate up to `max_rate`, if that is
/// `min_rate` or more, and the index of the span.
fn best_part(load: &Load, spans: &[Span], max_rate: f64, min_rate: f64) -> Option<(usize, Span)> {
    let parts = spans.iter().enumerate().filter_map(|(index, span)| {
        let (part, part_rate) = load.part_of(*span, max_rate)?;
        Some((index, part, part_rate))
    });
    let best = parts.max_by(|a, b| a.2.total_cmp(&b.2));
    best.filter(|(_, _, part_rate)| *part_rate >= min_rate).map(|(index, part, _)| (index, part))
}
