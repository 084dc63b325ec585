//! Spreading keys by their load.

use {
    crate::map::{Life, Map, Span},
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
    times: BTreeMap<Life, f64>,
}

/// A target that may take keys.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its run.
    pub life: Life,
    /// The requests it works on at once.
    pub slots: u32,
}

/// Keys that should go to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shift {
    /// The keys.
    pub span: Span,
    /// The target that has them.
    pub from: Life,
    /// The target that should.
    pub to: Life,
}

impl Load {
    /// Adds the requests for a key within the last `seconds`.
    pub fn add(&mut self, key: u16, requests: u32) {
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
    pub fn observe(&mut self, life: &Life, seconds: f64) {
        let time = self.times.entry(life.clone()).or_insert(DEFAULT_TIME_S);
        *time += TIME_WEIGHT * (seconds - *time);
    }

    /// Returns the rate of a span.
    #[must_use]
    pub fn rate(&self, span: Span) -> f64 {
        self.rates.range(span.first..=span.last).map(|(_, rate)| rate).sum()
    }

    fn cost(&self, candidate: &Candidate) -> f64 {
        let time = self.times.get(&candidate.life).copied().unwrap_or(DEFAULT_TIME_S);
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
    let rates = map.held_by(&candidate.life).map(|holding| load.rate(holding.span));
    rates.sum::<f64>() * load.cost(candidate)
}

/// Chooses what to move so that the busiest targets get less to do, at most `limit` spans.
#[must_use]
pub fn shifts(map: &Map, load: &Load, candidates: &[Candidate], limit: usize) -> Vec<Shift> {
    let spans_of = |candidate: &Candidate| {
        map.held_by(&candidate.life).map(|holding| holding.span).collect::<Vec<Span>>()
    };
    let mut held: Vec<Vec<Span>> = candidates.iter().map(spans_of).collect();
    let mut settled = vec![false; candidates.len()];
    let mut shifts = Vec::new();
    while shifts.len() < limit {
        let utilisation: Vec<f64> = candidates
            .iter()
            .zip(&held)
            .map(|(candidate, spans)| {
                spans.iter().map(|span| load.rate(*span)).sum::<f64>() * load.cost(candidate)
            })
            .collect();
        let order = |a: &usize, b: &usize| utilisation[*a].total_cmp(&utilisation[*b]);
        let Some(busy) = (0..candidates.len()).filter(|at| !settled[*at]).max_by(order) else {
            break;
        };
        let Some(idle) = (0..candidates.len()).min_by(order) else { break };
        let gap = utilisation[busy] - utilisation[idle];
        let joins = held[idle].is_empty();
        if busy == idle || utilisation[busy] < BUSY || (gap < GAIN && !joins) {
            break;
        }
        let rate = gap / (load.cost(&candidates[busy]) + load.cost(&candidates[idle]));
        let ends = held[busy].iter().enumerate().filter_map(|(at, span)| {
            let (end, moved) = load.part_of(*span, rate)?;
            Some((at, end, moved))
        });
        let best = ends.max_by(|a, b| a.2.total_cmp(&b.2));
        let least = LEAST_GAIN / load.cost(&candidates[busy]);
        let Some((at, span, _)) = best.filter(|(_, _, moved)| *moved >= least) else {
            settled[busy] = true;
            continue;
        };
        let whole = held[busy].swap_remove(at);
        held[busy].extend(whole.without(span).into_iter().flatten());
        held[idle].push(span);
        shifts.push(Shift {
            span,
            from: candidates[busy].life.clone(),
            to: candidates[idle].life.clone(),
        });
    }
    shifts
}
