//! What one entry knows of targets that are cold, or may be.

use {
    super::{Bound, Outcomes, Pacer, Stage},
    crate::{Permit, Request},
    hold::Instance,
    key::{Vm, clock::Tick},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// The number of doublings of the rate after the cold time, one a second. With the last, the rate is
/// eight times the ceiling, which binds no target that serves its usual load.
const MAX_DOUBLINGS: u32 = 3;

const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which a coordinator that did not answer is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The shortest time for which a target without a permit is passed over, so that a request that
/// looks for another target does not choose the same one.
const MIN_AVOIDANCE: Duration = Duration::from_millis(10);

/// The time after which an unused pacer, and a target that nothing is known of, is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// What the registry says of one target of a service with a slow start.
#[derive(Clone, Debug)]
pub struct Registered {
    /// The instance that is registered.
    pub instance: Instance,
    /// Until when it is cold, if it is.
    pub cold_until: Option<Tick>,
    /// When it wrote its registration, at the earliest.
    pub written_at: Tick,
}

/// What an entry asks a coordinator of a cold target.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// What the target tolerates.
    pub bound: Bound,
    /// How far the target has warmed up, as the entry that asks knows.
    pub stage: Stage,
    /// How the earlier requests of that entry ended.
    pub outcomes: Outcomes,
    /// The request that needs a permit.
    pub request: Request,
}

/// That a connection to a target was lost or refused: it may have restarted.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    lost_at: Tick,
    /// How long a target of its service is cold after its start.
    span: Duration,
    /// When it first responded after that.
    responded_at: Option<Tick>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    instance: Option<Instance>,
    cold_until: Option<Tick>,
    doubt: Option<Doubt>,
    /// Present if this entry gives out the permits of the target.
    pacer: Option<Pacer>,
    /// The outcomes that no coordinator has been told yet.
    outcomes: Outcomes,
    /// When this entry may next send a request without a permit.
    next_lone_at: Option<Tick>,
    /// Until when requests that have a choice pass over the target.
    avoided_until: Tick,
}

impl Entry {
    fn stage(&self, now: Tick) -> Option<Stage> {
        if self.doubt.is_some_and(|doubt| !doubt.is_over(now)) {
            return Some(Stage::COLD);
        }
        let until = self.cold_until?;
        if now < until {
            return Some(Stage::COLD);
        }
        let seconds = now.since(until).div_duration_f64(DOUBLING_INTERVAL) as u32;
        (seconds < MAX_DOUBLINGS).then_some(Stage { doublings: seconds + 1 })
    }

    fn is_of_use(&self, now: Tick) -> bool {
        let is_recent = |at: Tick| now.since(at) < RETENTION;
        self.stage(now).is_some() || self.pacer.as_ref().is_some_and(|one| is_recent(one.used_at()))
    }
}

impl Doubt {
    /// Returns true if the target was cold no longer, had it started just before it responded.
    fn is_over(&self, now: Tick) -> bool {
        self.responded_at.is_some_and(|at| now.since(at) >= self.span)
    }
}

/// The targets that this entry knows to be cold or possibly cold, by the names of their VMs.
#[derive(Clone, Debug, Default)]
pub struct Warmups {
    entries: HashMap<Vm, Entry>,
    /// The coordinators that did not answer, and when.
    failures: HashMap<SocketAddr, Tick>,
}

impl Warmups {
    /// Takes over what the registry says. Returns the targets that have become cold.
    ///
    /// A doubt ends with a registration of the same instance that was certainly written after the
    /// connection was lost and says that the target is warm. If the registration says that it is
    /// cold, that counts from then on.
    pub fn update(
        &mut self,
        registered: impl IntoIterator<Item = Registered>,
        now: Tick,
    ) -> Vec<Vm> {
        let mut became_cold = Vec::new();
        for Registered { instance, cold_until, written_at } in registered {
            let is_cold = cold_until.is_some_and(|until| now < until);
            if !is_cold && !self.entries.contains_key(&instance.vm) {
                continue;
            }
            let entry = self.entries.entry(instance.vm.clone()).or_default();
            if entry.doubt.is_some_and(|doubt| written_at > doubt.lost_at) {
                entry.doubt = None;
            }
            if is_cold && entry.cold_until.is_none_or(|until| until <= now) {
                became_cold.push(instance.vm.clone());
            }
            // Without a cold time the registration says that the target is warm by now.
            entry.cold_until = match (cold_until, entry.cold_until) {
                (Some(until), _) => Some(until),
                (None, before) => before.map(|until| until.min(now)),
            };
            entry.instance = Some(instance);
        }
        became_cold
    }

    /// Records that a connection to a target was lost or refused. Targets of its service are cold
    /// for `span` after they start. Returns true if the target counted as warm before.
    pub fn record_lost(&mut self, target: &Vm, span: Duration, now: Tick) -> bool {
        let entry = self.entries.entry(target.clone()).or_default();
        let is_new = entry.stage(now).is_none();
        entry.doubt = Some(Doubt { lost_at: now, span, responded_at: None });
        is_new
    }

    /// Records a response of a target. It is good if it came in about the usual time and is no
    /// refusal.
    pub fn record_response(&mut self, target: &Vm, is_good: bool, now: Tick) {
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.outcomes.good += u32::from(is_good);
        entry.outcomes.bad += u32::from(!is_good);
        if let Some(doubt) = &mut entry.doubt {
            doubt.responded_at.get_or_insert(now);
        }
    }

    /// Records that a request to a target got no response.
    pub fn record_unanswered(&mut self, target: &Vm) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.outcomes.bad += 1;
        }
    }

    /// Returns the outcomes to be told to the coordinator of a target, and forgets them.
    pub fn take_outcomes(&mut self, target: &Vm) -> Outcomes {
        self.entries
            .get_mut(target)
            .map(|entry| std::mem::take(&mut entry.outcomes))
            .unwrap_or_default()
    }

    /// Returns how far a target has warmed up; none if it needs no permits.
    #[must_use]
    pub fn stage(&self, target: &Vm, now: Tick) -> Option<Stage> {
        self.entries.get(target)?.stage(now)
    }

    /// Returns true if no target is cold, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of targets that need permits.
    #[must_use]
    pub fn cold_count(&self, now: Tick) -> usize {
        self.entries.values().filter(|entry| entry.stage(now).is_some()).count()
    }

    /// Takes a permit as a coordinator of a target. Of what this entry and the one that asks know of
    /// its warm-up, the colder counts.
    pub fn take(&mut self, target: &Vm, question: Question, now: Tick) -> Permit {
        let Question { bound, stage, outcomes, request } = question;
        let entry = self.entries.entry(target.clone()).or_default();
        let stage = entry.stage(now).map_or(stage, |own| own.min(stage));
        let pacer = entry.pacer.get_or_insert_with(|| Pacer::new(bound, now));
        pacer.record(bound, outcomes, now);
        pacer.take(bound, stage, request, now)
    }

    /// Takes the turn of this entry while it reaches no coordinator. `phase` is a random number from
    /// 0 to 1, by which the first turns of entries that are cut off together are spread.
    pub fn take_lone(&mut self, target: &Vm, entries: usize, phase: f64, now: Tick) -> Permit {
        let interval = Bound::lone_interval(entries);
        let entry = self.entries.entry(target.clone()).or_default();
        let next_at = *entry.next_lone_at.get_or_insert_with(|| now.plus(interval.mul_f64(phase)));
        if now < next_at {
            return Permit::Refused(next_at.since(now));
        }
        entry.next_lone_at = Some(now.plus(interval));
        Permit::After(Duration::ZERO)
    }

    /// Returns the coordinators that can be asked now, of those of a target.
    #[must_use]
    pub fn askable(&self, coordinators: &[SocketAddr], now: Tick) -> Vec<SocketAddr> {
        let has_failed = |address: &SocketAddr| {
            self.failures.get(address).is_some_and(|at| now.since(*at) < FAILURE_BACKOFF)
        };
        coordinators.iter().copied().filter(|address| !has_failed(address)).collect()
    }

    /// Records that a coordinator did not answer in time.
    pub fn record_failure(&mut self, coordinator: SocketAddr, now: Tick) {
        self.failures.insert(coordinator, now);
    }

    /// Makes requests that have a choice pass over a target until its next permit is due.
    pub fn avoid(&mut self, target: &Vm, due_in: Duration, now: Tick) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.avoided_until = now.plus(due_in.max(MIN_AVOIDANCE));
        }
    }

    /// Returns true if requests that have a choice pass over a target now.
    #[must_use]
    pub fn is_avoided(&self, target: &Vm, now: Tick) -> bool {
        self.entries.get(target).is_some_and(|entry| now < entry.avoided_until)
    }

    /// Forgets targets that are warm, and those that `is_known` does not recognize.
    pub fn expire(&mut self, is_known: impl Fn(&Vm) -> bool, now: Tick) {
        self.entries.retain(|target, entry| {
            let is_lost_long_ago =
                entry.doubt.is_some_and(|doubt| now.since(doubt.lost_at) >= RETENTION);
            entry.is_of_use(now) && (is_known(target) || !is_lost_long_ago)
        });
        self.failures.retain(|_, at| now.since(*at) < FAILURE_BACKOFF);
    }
}
