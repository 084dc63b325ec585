//! What one entry knows of limited targets.

use {
    crate::{Bucket, EvenShare, Permit, Rate, Request, Word},
    hold::Instance,
    key::clock::Tick,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The time for which the end of a limit is remembered, so that an older word from another entry
/// does not bring it back.
const END_RETENTION: Duration = Duration::from_secs(10);

/// The time after which an entry wants to hear from a limited target again, for each entry of the
/// fleet. A target that gets no requests cannot say that its limit is over.
const TRICKLE_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(100);

/// The shortest time for which a target without a permit is passed over, so that a request that
/// looks for another target does not choose the same one.
const MIN_AVOIDANCE: Duration = Duration::from_millis(10);

/// The limit of a target, as an entry knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The rate for all entries together.
    pub rate: Rate,
    /// How long ago the target named it.
    pub age: Duration,
    /// The peer address of the entry that hands out permits, if one is known.
    pub coordinator: Option<SocketAddr>,
}

/// A change in what is known of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The rate before; none if there was no limit.
    pub from: Option<Rate>,
    /// The rate now; none if the limit is over.
    pub to: Option<Rate>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    word: Word,
    /// Whether an answer has brought the word since the last report.
    is_unreported: bool,
    coordinator: Option<SocketAddr>,
    /// Present after this entry had to do without a coordinator.
    share: Option<EvenShare>,
    /// Present if this entry handed out permits.
    bucket: Option<Bucket>,
    /// Until when requests that have a choice pass over the target.
    avoided_until: Tick,
}

impl Entry {
    fn new(word: Word) -> Self {
        Self {
            word,
            is_unreported: false,
            coordinator: None,
            share: None,
            bucket: None,
            avoided_until: Tick::default(),
        }
    }
}

/// The limited targets that an entry knows.
#[derive(Clone, Debug)]
pub struct Table {
    entries: BTreeMap<Instance, Entry>,
    /// The fraction of each limit that coordinators hand out.
    coordinated_fraction: f64,
    /// Whether an answer has changed a limit since the last report.
    has_news: bool,
}

impl Default for Table {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), coordinated_fraction: 1.0, has_news: false }
    }
}

impl Table {
    /// Records what an answer to a request that was sent at `sent_at` says of the limit.
    pub fn record_answer(
        &mut self,
        target: &Instance,
        rate: Option<Rate>,
        sent_at: Tick,
        now: Tick,
    ) -> Option<Change> {
        if rate.is_none() && !self.entries.contains_key(target) {
            return None;
        }
        let word = Word { rate, at: if rate.is_some() { now } else { sent_at } };
        let change = self.merge(target, word);
        let entry = self.entries.get_mut(target)?;
        if entry.word == word {
            entry.is_unreported = true;
            self.has_news |= change.is_some();
        }
        change
    }

    /// Records what another entry heard from a target.
    pub fn merge(&mut self, target: &Instance, word: Word) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(target) else {
            self.entries.insert(target.clone(), Entry::new(word));
            return word.rate.map(|rate| Change { from: None, to: Some(rate) });
        };
        if !word.replaces(&entry.word) {
            return None;
        }
        let change = Change { from: entry.word.rate, to: word.rate };
        entry.word = word;
        match (change.from, change.to) {
            (None, None) => None,
            (Some(from), Some(to)) if from.is_close_to(to) => None,
            _ => Some(change),
        }
    }

    /// Records which entry hands out the permits of a target.
    pub fn set_coordinator(&mut self, target: &Instance, coordinator: Option<SocketAddr>) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.coordinator = coordinator;
        }
    }

    /// Sets the fraction of each limit that coordinators hand out. The rest is left to entries that
    /// have fallen silent, which may be cut off and use their even share.
    pub const fn set_coordinated_fraction(&mut self, fraction: f64) {
        self.coordinated_fraction = fraction;
    }

    /// Returns the limit of a target, if it has named one.
    #[must_use]
    pub fn limit(&self, target: &Instance, now: Tick) -> Option<Limit> {
        let entry = self.entries.get(target)?;
        let age = now.since(entry.word.at);
        entry.word.rate.map(|rate| Limit { rate, age, coordinator: entry.coordinator })
    }

    /// Takes a permit as the coordinator of a target; a target without a limit needs none.
    pub fn take_permit(&mut self, target: &Instance, request: Request, now: Tick) -> Permit {
        let entry = self.entries.get_mut(target);
        let Some((entry, rate)) = entry.and_then(|entry| entry.word.rate.map(|rate| (entry, rate)))
        else {
            return Permit::After(Duration::ZERO);
        };
        let rate = rate.scaled(self.coordinated_fraction);
        entry.bucket.get_or_insert_with(|| Bucket::new(now)).take(rate, request, now)
    }

    /// Takes a turn of this entry's even share while no coordinator answers. `phase` is a random
    /// number from 0 to 1.
    pub fn take_share(
        &mut self,
        target: &Instance,
        entries: usize,
        max_wait: Duration,
        phase: f64,
        now: Tick,
    ) -> Permit {
        let entry = self.entries.get_mut(target);
        let Some((entry, rate)) = entry.and_then(|entry| entry.word.rate.map(|rate| (entry, rate)))
        else {
            return Permit::After(Duration::ZERO);
        };
        let share = entry.share.get_or_insert_with(|| EvenShare::new(rate, entries, phase, now));
        share.take(rate, entries, max_wait, now)
    }

    /// Makes requests that have a choice pass over a target until its next permit is due.
    pub fn avoid(&mut self, target: &Instance, due_in: Duration, now: Tick) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.avoided_until = now.plus(due_in.max(MIN_AVOIDANCE));
        }
    }

    /// Returns true if requests that have a choice pass over a target now.
    #[must_use]
    pub fn is_avoided(&self, target: &Instance, now: Tick) -> bool {
        self.entries
            .get(target)
            .is_some_and(|entry| entry.word.rate.is_some() && now < entry.avoided_until)
    }

    /// Returns true if a limited target should get a request so that it can say whether its limit
    /// is over.
    #[must_use]
    pub fn needs_trickle(&self, target: &Instance, entries: usize, now: Tick) -> bool {
        let interval = TRICKLE_INTERVAL_PER_ENTRY * entries as u32;
        self.limit(target, now).is_some_and(|limit| limit.age >= interval)
            && !self.is_avoided(target, now)
    }

    /// Returns true if no target has a limit, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if an answer has changed a limit since the last report.
    #[must_use]
    pub const fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the words that answers have brought since the last call.
    pub fn take_heard(&mut self) -> Vec<(Instance, Word)> {
        self.has_news = false;
        let unreported = self.entries.iter_mut().filter(|(_, entry)| entry.is_unreported);
        unreported
            .map(|(target, entry)| {
                entry.is_unreported = false;
                (target.clone(), entry.word)
            })
            .collect()
    }

    /// Returns what is known of each target.
    pub fn words(&self) -> impl Iterator<Item = (&Instance, Word)> {
        self.entries.iter().map(|(target, entry)| (target, entry.word))
    }

    /// Removes the limits that ended a while ago, and the targets that `is_known` does not
    /// recognize.
    pub fn expire(&mut self, is_known: impl Fn(&Instance) -> bool, now: Tick) {
        self.entries.retain(|target, entry| {
            let has_ended = entry.word.rate.is_none() && now.since(entry.word.at) >= END_RETENTION;
            is_known(target) && !has_ended
        });
    }
}
