//! Spreading keys by their load.

use {
    crate::map::{Instance, Map, Span},
    std::collections::BTreeMap,
};

/// The time over which rates are averaged, in seconds.
const RATE_WINDOW_S: f64 = 2.0;

/// A rate below which a key counts as idle, in requests a second.
const IDLE_RATE: f64 = 0.02;

/// The difference in utilisation that is worth a move.
const GAIN: f64 = 0.3;

/// The utilisation below which a target has nothing to give away.
const BUSY: f64 = 0.35;

/// The gain in utilisation that a move must bring at least.
const LEAST_GAIN: f64 = 0.08;

/// What a part inside a span is worth against one at an end, since it leaves one span more.
const INNER_WORTH: f64 = 0.8;

/// The weight of a new observation of service time.
const TIME_WEIGHT: f64 = 0.2;

/// The service time of a target that has not been observed, in seconds.
const DEFAULT_TIME_S: f64 = 0.15;

/// The rates of keys, averaged over a short time.
#[derive(Clone, Debug, Default)]
pub struct Load {
    rates: BTreeMap<u16, f64>,
    times: BTreeMap<Instance, f64>,
}

/// A target that may take keys, or give some away.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its run.
    pub instance: Instance,
    /// The requests it works on at once.
    pub slots: u32,
    /// Whether keys can be taken from it now.
    pub can_donate: bool,
}

/// Keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub span: Span,
    /// The target that has them.
    pub from: Instance,
    /// The target that should.
    pub to: Instance,
}

impl Load {
    /// Adds the requests for a key within the last `seconds`.
    pub fn record_requests(&mut self, key: u16, requests: u32) {
        *self.rates.entry(key).or_default() += f64::from(requests) / RATE_WINDOW_S;
    }

    /// Lets `seconds` pass.
    pub fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / RATE_WINDOW_S).exp();
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate > IDLE_RATE
        });
    }

    /// Notes how long a target takes for a request, in seconds.
    pub fn record_service_time(&mut self, instance: &Instance, seconds: f64) {
        let time = self.times.entry(instance.clone()).or_insert(DEFAULT_TIME_S);
        *time += TIME_WEIGHT * (seconds - *time);
    }

    /// Returns the rate of a span.
    #[must_use]
    pub fn rate(&self, span: Span) -> f64 {
        self.rates.range(span.first..=span.last).map(|(_, rate)| rate).sum()
    }

    fn cost(&self, candidate: &Candidate) -> f64 {
        let time = self.times.get(&candidate.instance).copied().unwrap_or(DEFAULT_TIME_S);
        time / f64::from(candidate.slots.max(1))
    }

    /// Returns the part of `span` whose rate comes nearest to `rate` from below: one at an end, so that
    /// little is cut, or one from a busy key on, so that such a key is reached inside the span.
    fn part_of(&self, span: Span, rate: f64) -> Option<(Span, f64)> {
        let keys: Vec<(u16, f64)> =
            self.rates.range(span.first..=span.last).map(|(key, rate)| (*key, *rate)).collect();
        let front = take(&mut keys.iter(), rate)
            .map(|(key, sum)| (Span { first: span.first, last: key }, sum));
        let back = take(&mut keys.iter().rev(), rate)
            .map(|(key, sum)| (Span { first: key, last: span.last }, sum));
        let fitting = keys.iter().enumerate().filter(|(_, (_, own))| *own <= rate);
        let busiest = fitting.max_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(at, _)| at);
        let inner = busiest.and_then(|at| {
            let (last, sum) = take(&mut keys[at..].iter(), rate)?;
            Some((Span { first: keys[at].0, last }, sum * INNER_WORTH))
        });
        let parts = front.into_iter().chain(back).chain(inner);
        parts.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Returns the last of the keys that together have at most `rate`, and their rate.
fn take(keys: &mut dyn Iterator<Item = &(u16, f64)>, rate: f64) -> Option<(u16, f64)> {
    let (mut sum, mut last) = (0.0, None);
    for (key, own) in keys {
        if sum + own > rate {
            break;
        }
        sum += own;
        last = Some(*key);
    }
    last.map(|key| (key, sum))
}

/// Divides all keys evenly among targets, in several stripes each so that neighbours are apart.
#[must_use]
pub fn stripes(count: usize, each: usize) -> Vec<(Span, usize)> {
    let pieces = (count * each).max(1) as u32;
    let width = Span::ALL.width();
    let edge = |piece: u32| (u64::from(width) * u64::from(piece) / u64::from(pieces)) as u32;
    (0..pieces)
        .map(|piece| {
            let span = Span { first: edge(piece) as u16, last: (edge(piece + 1) - 1) as u16 };
            (span, piece as usize % count.max(1))
        })
        .collect()
}

/// Returns the load of a target as a part of its slots.
#[must_use]
pub fn utilisation(map: &Map, load: &Load, candidate: &Candidate) -> f64 {
    let rates = map.held_by(&candidate.instance).map(|assignment| load.rate(assignment.span));
    rates.sum::<f64>() * load.cost(candidate)
}

/// A target while moves are chosen.
struct TargetLoad<'a> {
    candidate: &'a Candidate,
    /// What it may give away.
    spans: Vec<Span>,
    /// The rate of all that it has and will get.
    rate: f64,
    cost: f64,
    /// Whether it has nothing more that is worth a move.
    settled: bool,
}

impl<'a> TargetLoad<'a> {
    fn new(map: &Map, load: &Load, candidate: &'a Candidate) -> Self {
        let held = map.held_by(&candidate.instance).map(|assignment| assignment.span);
        let spans: Vec<Span> = held.collect();
        let rate = spans.iter().map(|span| load.rate(*span)).sum();
        Self { candidate, spans, rate, cost: load.cost(candidate), settled: !candidate.can_donate }
    }

    fn utilisation(&self) -> f64 {
        self.rate * self.cost
    }
}

/// Chooses what to move so that the busiest targets get less to do, at most `limit` spans. Each is
/// taken from the target that has it by the map: what a target is about to get is not given on.
#[must_use]
pub fn rebalance(
    map: &Map,
    load: &Load,
    candidates: &[Candidate],
    limit: usize,
) -> Vec<Reassignment> {
    let side = |candidate| TargetLoad::new(map, load, candidate);
    let mut sides: Vec<TargetLoad<'_>> = candidates.iter().map(side).collect();
    let mut reassignments = Vec::new();
    while reassignments.len() < limit {
        let order =
            |a: &usize, b: &usize| sides[*a].utilisation().total_cmp(&sides[*b].utilisation());
        let giving = (0..sides.len()).filter(|at| !sides[*at].settled);
        let Some(busy) = giving.max_by(order) else { break };
        let Some(idle) = (0..sides.len()).min_by(order) else { break };
        let gap = sides[busy].utilisation() - sides[idle].utilisation();
        let joins = sides[idle].spans.is_empty() && sides[idle].rate <= 0.0;
        if busy == idle || sides[busy].utilisation() < BUSY || (gap < GAIN && !joins) {
            break;
        }
        let rate = gap / (sides[busy].cost + sides[idle].cost);
        let least = LEAST_GAIN / sides[busy].cost;
        let Some((at, span)) = best_part(load, &sides[busy].spans, rate, least) else {
            sides[busy].settled = true;
            continue;
        };
        let moved = load.rate(span);
        let whole = sides[busy].spans.swap_remove(at);
        sides[busy].spans.extend(whole.without(span).into_iter().flatten());
        sides[busy].rate -= moved;
        sides[idle].rate += moved;
        reassignments.push(Reassignment {
            span,
            from: sides[busy].candidate.instance.clone(),
            to: sides[idle].candidate.instance.clone(),
        });
    }
    reassignments
}

/// Returns the part of one of the spans whose rate comes nearest to `rate` from below, if that is
/// `least` or more.
fn best_part(load: &Load, spans: &[Span], rate: f64, least: f64) -> Option<(usize, Span)> {
    let parts = spans.iter().enumerate().filter_map(|(at, span)| {
        let (part, moved) = load.part_of(*span, rate)?;
        Some((at, part, moved))
    });
    let best = parts.max_by(|a, b| a.2.total_cmp(&b.2));
    best.filter(|(_, _, moved)| *moved >= least).map(|(at, part, _)| (at, part))
}
