//! Chooses keys to reassign so that the load of targets stays even.

mod part;
mod rates;

use {
    self::{
        part::choose_part,
        rates::{IDLE_REQUESTS_PER_S, Rates, Window},
    },
    crate::map::{Holdings, Instance, Map, Span},
    key::clock::Tick,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The time constant of the exponential average of answer rates, in seconds.
const ANSWER_WINDOW_S: f64 = 2.0;

/// The difference in utilisation below which no keys are reassigned, unless the recipient has none.
const MIN_UTILISATION_GAP: f64 = 0.3;

/// The same difference for a donor that gets more requests than its rate limit allows, some of
/// which are refused until keys are reassigned.
const MIN_OVER_LIMIT_GAP: f64 = 0.1;

/// The same difference for a donor that is overloaded and whose rate has no noise. At 0.3, targets of half the usual speed, to
/// which the first map gives as many keys as to others, stay at twice the mean.
const MIN_OVERLOADED_GAP: f64 = 0.2;

/// The utilisation from which a donor counts as overloaded, if that is also this factor of the mean.
const OVERLOADED_UTILISATION: f64 = 0.65;
const OVERLOADED_TO_MEAN: f64 = 1.3;

/// The utilisation from which a target with a rate limit counts as over it: arrivals vary, so that
/// requests are refused before the mean reaches the limit.
const OVER_LIMIT_UTILISATION: f64 = 0.85;

/// The utilisation below which a target donates no keys.
const MIN_DONOR_UTILISATION: f64 = 0.35;

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
    rates: Rates,
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
        self.rates.record(key, requests);
    }

    /// Decays the rates by the time that has passed, in seconds.
    pub fn decay(&mut self, seconds: f64) {
        self.rates.decay(seconds);
        let factor = (-seconds / ANSWER_WINDOW_S).exp();
        self.answer_rates.retain(|_, rate| {
            *rate *= factor;
            *rate > IDLE_REQUESTS_PER_S
        });
    }

    /// Records `count` answers of a target and how long it took for each, in seconds.
    pub fn record_answers(&mut self, instance: &Instance, count: u32, seconds: f64) {
        *self.answer_rates.entry(instance.clone()).or_default() +=
            f64::from(count) / ANSWER_WINDOW_S;
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
        self.rates.of(span, Window::default())
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
    /// The window by which its keys are judged.
    window: Window,
    /// The rate of the keys that it holds or is about to receive.
    rate: f64,
    /// The utilisation that one request per second causes at it.
    cost: f64,
    /// The utilisation that it has whatever its rate.
    min_utilisation: f64,
    /// Whether it names a rate limit.
    is_limited: bool,
    /// Whether a reassignment from it has begun. Until that has ended its queue is as long as before,
    /// so it receives nothing.
    is_donating: bool,
    /// Whether it has no keys left that it can usefully donate.
    is_exhausted: bool,
}

impl<'a> TargetLoad<'a> {
    fn new(
        spans: Vec<Span>,
        load: &Load,
        candidate: &'a Candidate,
        background: Option<Window>,
    ) -> Self {
        let window = load.rates.window(&spans, background);
        let rate = spans.iter().map(|span| load.rates.of(*span, window)).sum();
        Self {
            candidate,
            spans,
            window,
            rate,
            cost: load.cost(&candidate.instance, candidate.slots),
            min_utilisation: load.min_utilisation(&candidate.instance),
            is_limited: load.rate_limits.contains_key(&candidate.instance),
            is_donating: false,
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
        NOISE_DEVIATIONS * self.window.deviation(self.rate) * self.cost
    }

    /// Takes a span that is being reassigned from what the target may donate.
    fn donate(&mut self, span: Span, rate: f64) {
        let rest = self.spans.iter().flat_map(|held| held.without(span)).flatten();
        self.spans = rest.collect();
        self.rate -= rate;
    }

    /// Returns by how much the utilisation of a recipient must be lower for a reassignment.
    fn min_gap(&self, mean: f64) -> f64 {
        if self.is_limited && self.utilisation() >= OVER_LIMIT_UTILISATION {
            MIN_OVER_LIMIT_GAP
        } else if self.is_background()
            && self.utilisation() >= OVERLOADED_UTILISATION.max(mean * OVERLOADED_TO_MEAN)
        {
            MIN_OVERLOADED_GAP
        } else {
            MIN_UTILISATION_GAP
        }
    }

    /// Returns true if its keys get as many requests as most do, so that its rate has no noise.
    const fn is_background(&self) -> bool {
        matches!(self.window, Window::Background(_))
    }

    /// Returns the utilisation with `rate` more requests per second.
    fn utilisation_with(&self, rate: f64) -> f64 {
        rate.mul_add(self.cost, self.utilisation())
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
    let spans_of = |candidate: &Candidate| {
        let held = holdings.of(&candidate.instance).iter();
        held.map(|assignment| assignment.span).collect()
    };
    let spans: Vec<Vec<Span>> = candidates.iter().map(spans_of).collect();
    let background = load.rates.background(spans.iter().map(Vec::as_slice));
    let with_spans = candidates.iter().zip(spans);
    let mut targets: Vec<TargetLoad<'_>> = with_spans
        .map(|(candidate, spans)| TargetLoad::new(spans, load, candidate, background))
        .collect();
    apply_pending(&mut targets, load, pending);
    let mean = targets.iter().map(TargetLoad::utilisation).sum::<f64>() / targets.len() as f64;
    let full = MAX_RECIPIENT_UTILISATION.max(mean * MAX_RECIPIENT_TO_MEAN);
    let mut reassignments = Vec::new();
    while reassignments.len() < limit {
        let by_utilisation =
            |a: &usize, b: &usize| targets[*a].utilisation().total_cmp(&targets[*b].utilisation());
        let donors = (0..targets.len()).filter(|index| !targets[*index].is_exhausted);
        let Some(donor) = donors.max_by(by_utilisation) else { break };
        let recipients = (0..targets.len()).filter(|index| !targets[*index].is_donating);
        let Some(recipient) = recipients.min_by(by_utilisation) else { break };
        let gap = targets[donor].utilisation() - targets[recipient].utilisation();
        let is_new = targets[recipient].spans.is_empty() && targets[recipient].rate <= 0.0;
        let min_gap = targets[donor].min_gap(mean);
        if donor == recipient
            || targets[donor].utilisation() < MIN_DONOR_UTILISATION
            || (gap < min_gap + targets[donor].noise() && !is_new)
        {
            break;
        }
        let Some((recipient, index, span)) = choose_part(load, &targets, donor, full, min_gap)
        else {
            targets[donor].is_exhausted = true;
            continue;
        };
        let moved_rate = load.rates.of(span, targets[donor].window);
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
        let donor = indices.get(from).copied();
        let window = donor.map_or_else(Window::default, |donor| targets[donor].window);
        let rate = load.rates.of(*span, window);
        if let Some(donor) = donor {
            targets[donor].donate(*span, rate);
            targets[donor].is_donating = true;
        }
        if let Some(recipient) = to.as_ref().and_then(|to| indices.get(to)) {
            targets[*recipient].rate += rate;
        }
    }
}
