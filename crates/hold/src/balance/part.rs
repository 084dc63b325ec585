//! Chooses which of its keys a donor gives up, and who gets them.

use {
    super::{Load, TargetLoad, rates::Window},
    crate::map::Span,
};

/// The factor by which the rate of keys that have just become busy may still grow. A release takes until
/// the queue of an overloaded target is empty, so a part that proves to be too large costs that time
/// again at its recipient.
const RISING_RATE_FACTOR: f64 = 2.0;

/// The fraction of the donor's cost of a request below which a recipient counts as cheaper.
const MAX_CHEAPER_COST: f64 = 0.8;

/// The utilisation that a reassignment must take from its donor at least.
const MIN_REASSIGNED_UTILISATION: f64 = 0.08;

/// The weight of a part inside a span relative to a part at an end, because reassigning it leaves
/// one more span.
const INNER_PART_WEIGHT: f64 = 0.8;

/// Chooses what a donor gives up and who gets it: the recipient, the index of the span, and its part.
///
/// The part is the busiest that some recipient has room for. Its recipient is the target that is the
/// least utilised with it, so that a slow target gets less than a fast one.
pub(super) fn choose_part(
    load: &Load,
    targets: &[TargetLoad<'_>],
    donor: usize,
    full: f64,
    min_gap: f64,
) -> Option<(usize, usize, Span)> {
    let giver = &targets[donor];
    let can_receive = |index: &usize| *index != donor && !targets[*index].is_donating;
    let others = || (0..targets.len()).filter(can_receive);
    let least_utilised_with = |rate: f64| {
        let with = |index: &usize| targets[*index].utilisation_with(rate);
        others().min_by(|a, b| with(a).total_cmp(&with(b)))
    };
    // The rate with which the recipient is no more utilised than the donor, nor more than full.
    let room = |index: usize| {
        let recipient = &targets[index];
        let gap = giver.utilisation() - recipient.utilisation();
        let even_rate = gap / (giver.cost + recipient.cost);
        even_rate.min((full - recipient.utilisation()) / recipient.cost)
    };
    // Keys that have just become busy will be found busier still.
    let growth = if giver.window == Window::Short { RISING_RATE_FACTOR } else { 1.0 };
    let max_rate = others().map(room).fold(0.0, f64::max) / growth;
    let min_rate = MIN_REASSIGNED_UTILISATION / giver.cost;
    let window = giver.window;
    if let Some((index, span)) = best_part(load, &giver.spans, window, max_rate, min_rate) {
        let recipient = least_utilised_with(load.rates.of(span, window))?;
        return Some((recipient, index, span));
    }
    // A busy key that is too much to even the two out still goes to a recipient that serves it at a
    // lower cost and stays less utilised than the donor is now.
    let recipient = least_utilised_with(giver.rate)?;
    if targets[recipient].cost >= giver.cost * MAX_CHEAPER_COST {
        return None;
    }
    let gap = giver.utilisation() - targets[recipient].utilisation();
    let max_rate = (gap - min_gap) / targets[recipient].cost;
    let (index, span) = best_part(load, &giver.spans, window, max_rate, min_rate)?;
    Some((recipient, index, span))
}

/// Returns the part of one of the spans with the highest rate up to `max_rate`, if that is
/// `min_rate` or more, and the index of the span.
fn best_part(
    load: &Load,
    spans: &[Span],
    window: Window,
    max_rate: f64,
    min_rate: f64,
) -> Option<(usize, Span)> {
    let parts = spans.iter().enumerate().filter_map(|(index, span)| {
        let (part, part_rate) = part_of(load, *span, window, max_rate)?;
        Some((index, part, part_rate))
    });
    let best = parts.max_by(|a, b| a.2.total_cmp(&b.2));
    best.filter(|(_, _, part_rate)| *part_rate >= min_rate).map(|(index, part, _)| (index, part))
}

/// Returns the part of `span` with the highest rate up to `max_rate`, and its weighted rate.
/// The part lies at an end, which leaves fewer spans, or begins at the busiest key that fits,
/// so that a busy key inside the span can be reassigned.
fn part_of(load: &Load, span: Span, window: Window, max_rate: f64) -> Option<(Span, f64)> {
    let keys: Vec<(u16, f64)> = load.rates.each(span, window);
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
