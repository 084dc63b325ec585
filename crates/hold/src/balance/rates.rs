//! The request rates of keys, averaged over windows of three lengths.
//!
//! This is for keys that become busy within a second and stay so for a few, in a service whose keys
//! otherwise get few requests each. A short window shows the change at once, but arrivals that happen
//! to fall together look like one; a long window shows small differences that last. So each target is
//! judged by the longest window that the shorter ones do not contradict ([`Rates::window`]). The
//! longest of all is the assumption that a key is asked for as often as most keys are, which has no
//! noise: a target with more keys, or a slower one, is found by it within seconds.
//!
//! A key that is not asked for any more is forgotten, so that the cost of [`Rates::decay`] follows the
//! keys in use. A service of 1,150 requests a second on all keys has some 20,000 of them.

use {crate::map::Span, std::collections::BTreeMap};

/// The rate at or below which a key counts as idle, in requests per second.
pub(super) const IDLE_REQUESTS_PER_S: f64 = 0.02;

/// The rate by the long window below which an idle key is forgotten, in requests per second. A key
/// with one request is remembered for 23 s; a smaller value costs memory for little accuracy.
const FORGOTTEN_REQUESTS_PER_S: f64 = 0.01;

/// The time for which the windows must have been filled, as a fraction of their length, to be used.
const MIN_FILLED_FRACTION: f64 = 0.6;

/// The deviations, by chance alone, from which a shorter window contradicts a longer one. With 3, one of
/// 192 targets seems to change at nearly every round.
const CONTRADICTING_DEVIATIONS: f64 = 4.0;

/// The deviations from which a window contradicts that all keys have the same rate. There is no reason
/// why they should have, so less is asked.
const BACKGROUND_DEVIATIONS: f64 = 2.0;

/// The number of targets from which their median tells the rate of most keys.
const MIN_TARGETS_FOR_BACKGROUND: usize = 12;

/// The fraction of the rate by which a shorter window must also differ. Entries report in batches, by
/// which the rate of the short window swings by up to a quarter.
const CONTRADICTING_FRACTION: f64 = 0.3;

/// The shortest time between two decays, in seconds: a round of planning may follow each result.
const MIN_DECAY_S: f64 = 0.05;

/// A window over which rates are averaged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Window {
    Short,
    #[default]
    Medium,
    Long,
    /// No window: every key has this rate, in requests per second.
    Background(f64),
}

impl Window {
    /// Returns the time constant of the exponential average, in seconds.
    pub(super) const fn seconds(self) -> f64 {
        match self {
            Self::Short => 0.3,
            Self::Medium => 2.0,
            Self::Long => 10.0,
            Self::Background(_) => f64::INFINITY,
        }
    }

    fn factor(self, seconds: f64) -> f64 {
        (-seconds / self.seconds()).exp()
    }

    /// Returns the standard deviation of a rate by chance, in requests per second.
    pub(super) fn deviation(self, rate: f64) -> f64 {
        (rate.max(0.0) / (2.0 * self.seconds())).sqrt()
    }
}

/// The rates of one key by each window.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// The requests that the short and the long window do not contain yet.
    new: f64,
    short: f64,
    medium: f64,
    long: f64,
}

impl Rate {
    const fn by(&self, window: Window) -> f64 {
        match window {
            Window::Short => self.short,
            Window::Medium => self.medium,
            Window::Long => self.long,
            Window::Background(rate) => rate,
        }
    }
}

/// The request rates of keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    keys: BTreeMap<u16, Rate>,
    /// The time for which requests have been counted, and that since the last decay, in seconds.
    counted_s: f64,
    since_decay_s: f64,
}

impl Rates {
    pub(super) fn record(&mut self, key: u16, requests: u32) {
        let rate = self.keys.entry(key).or_default();
        rate.new += f64::from(requests);
        rate.medium += f64::from(requests) / Window::Medium.seconds();
    }

    /// Decays the rates by the time that has passed, in seconds.
    pub(super) fn decay(&mut self, seconds: f64) {
        self.since_decay_s += seconds;
        if self.since_decay_s < MIN_DECAY_S {
            return;
        }
        let passed_s = std::mem::take(&mut self.since_decay_s);
        self.counted_s += passed_s;
        let [short, medium, long] =
            [Window::Short, Window::Medium, Window::Long].map(|window| window.factor(passed_s));
        self.keys.retain(|_, rate| {
            let new = std::mem::take(&mut rate.new);
            // Requests of the whole interval, the earliest of which have decayed already.
            rate.short = rate.short * short + new * (1.0 - short) / passed_s;
            rate.medium *= medium;
            rate.long = rate.long * long + new * (1.0 - long) / passed_s;
            rate.medium > IDLE_REQUESTS_PER_S || rate.long > FORGOTTEN_REQUESTS_PER_S
        });
    }

    /// Returns the rate of a span by a window, in requests per second.
    pub(super) fn of(&self, span: Span, window: Window) -> f64 {
        if let Window::Background(rate) = window {
            return rate * f64::from(span.width());
        }
        let filled = self.filled(window);
        let keys = self.keys.range(span.first..=span.last);
        keys.map(|(_, rate)| rate.by(window)).sum::<f64>() / filled
    }

    /// Returns the rate of each key of a span that has one.
    pub(super) fn each(&self, span: Span, window: Window) -> Vec<(u16, f64)> {
        if let Window::Background(rate) = window {
            return (span.first..=span.last).map(|key| (key, rate)).collect();
        }
        let filled = self.filled(window);
        let keys = self.keys.range(span.first..=span.last);
        keys.map(|(key, rate)| (*key, rate.by(window) / filled)).collect()
    }

    /// Returns the rate of most keys, if it is known: the median over targets with these spans, which
    /// some busy keys do not change.
    pub(super) fn background<'a>(
        &self,
        targets: impl Iterator<Item = &'a [Span]>,
    ) -> Option<Window> {
        let window = if self.is_usable(Window::Long) { Window::Long } else { Window::Medium };
        if !self.is_usable(Window::Short) || self.counted_s < Window::Medium.seconds() {
            return None;
        }
        let rate_of_key = |spans: &[Span]| {
            let width: u32 = spans.iter().map(|span| span.width()).sum();
            let rate: f64 = spans.iter().map(|span| self.of(*span, window)).sum();
            rate / f64::from(width)
        };
        let mut rates: Vec<f64> =
            targets.filter(|spans| !spans.is_empty()).map(rate_of_key).collect();
        if rates.len() < MIN_TARGETS_FOR_BACKGROUND {
            return None;
        }
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).map(|rate| Window::Background(*rate))
    }

    /// Returns the longest window whose rate the shorter ones do not contradict, for a target with
    /// these spans.
    pub(super) fn window(&self, spans: &[Span], background: Option<Window>) -> Window {
        let rate = |window| spans.iter().map(|span| self.of(*span, window)).sum::<f64>();
        let medium = rate(Window::Medium);
        let mut chosen = (Window::Medium, medium);
        if self.is_usable(Window::Long) {
            let long = rate(Window::Long);
            if !contradicts(Window::Medium, medium, long) {
                chosen = (Window::Long, long);
            }
        }
        if let Some(background) = background {
            let expected = rate(background);
            if !differs(chosen.0, chosen.1, expected, BACKGROUND_DEVIATIONS) {
                chosen = (background, expected);
            }
        }
        if self.is_usable(Window::Short)
            && contradicts(Window::Short, rate(Window::Short), chosen.1)
        {
            chosen.0 = Window::Short;
        }
        chosen.0
    }

    /// Returns the fraction of a window for which requests have been counted. Only the medium window
    /// is not corrected for it: its rates count from the first request.
    fn filled(&self, window: Window) -> f64 {
        match window {
            Window::Medium | Window::Background(_) => 1.0,
            Window::Short | Window::Long => {
                (1.0 - window.factor(self.counted_s)).max(f64::MIN_POSITIVE)
            }
        }
    }

    fn is_usable(&self, window: Window) -> bool {
        self.filled(window) >= MIN_FILLED_FRACTION
    }
}

/// Returns true if a rate by a shorter window differs from that by a longer one by more than chance
/// and the batches of reports.
fn contradicts(shorter: Window, rate: f64, longer_rate: f64) -> bool {
    differs(shorter, rate, longer_rate, CONTRADICTING_DEVIATIONS)
        && (rate - longer_rate).abs() > CONTRADICTING_FRACTION * longer_rate
}

/// Returns true if a rate by a shorter window differs from that by a longer one by more than some
/// deviations.
fn differs(shorter: Window, rate: f64, longer_rate: f64, deviations: f64) -> bool {
    (rate - longer_rate).abs() > deviations * shorter.deviation(longer_rate.max(rate))
}
