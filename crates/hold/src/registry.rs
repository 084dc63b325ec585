//! The registry of targets, as this process last read it from the store.
//!
//! A registration can disappear for two reasons that call for opposite reactions: the target left
//! or failed, or the store had an outage and let registrations expire for lack of heartbeats. An
//! outage has this effect only if it lasts for a few heartbeats, and then on all targets alike. So a
//! registration that is missing right after such an outage counts as present for a short grace
//! period if many others are missing as well. The failed polls of one busy process are no outage,
//! and the few targets that are missing after them have left.
//!
//! A store that comes back from a copy lists targets as they were some time ago. What a target says
//! of itself is ordered by its start and its sequence number, so a registration of a later era that
//! is no newer by these does not bring back a target that is leaving or gone.

mod registration;
mod target;

pub use self::{
    registration::{Registration, State},
    target::RegisteredTarget,
};

use {
    self::target::{Missing, Warmup},
    crate::{evacuation::Evacuations, map::Instance},
    key::{Era, Service, Version, Vm, clock::Tick},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// How long after an outage of the store a missing registration counts as present. Within this time
/// targets register again.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// How long the store must have been silent for registrations to expire, if a poll of it failed.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// The same, if no poll is known to have failed: no poll waits for so long when all is well.
const MIN_SILENCE: Duration = Duration::from_millis(2_500);

/// One part in this many of the known targets must be missing after an outage for it to be the
/// reason.
const LAPSED_DIVISOR: usize = 4;

/// The time by which the end of a target's warm-up must move for other entries to be told. The time
/// that a registration takes to be read varies by less.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(1_000);

/// How long a missing target is kept in the registry.
const MISSING_RETENTION: Duration = Duration::from_secs(60);

/// Whether a target can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The target is registered as ready, or is missing within the grace period of an outage.
    Ready,
    /// The target reports that it is leaving, or its registration is missing, since that instant at
    /// the earliest.
    Leaving(Tick),
    /// The target is registered as ready, but an operator has evacuated its availability zone.
    Evacuated,
}

/// The registrations that disappeared in one grace period.
#[derive(Clone, Copy, Debug, Default)]
struct Lapse {
    grace_until: Tick,
    count: usize,
}

/// The registry of targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    targets: BTreeMap<Vm, RegisteredTarget>,
    /// The names of the targets at each address. The planner looks for a later target at the
    /// address of each holder in every round.
    vms_by_address: HashMap<SocketAddr, BTreeSet<Vm>>,
    /// When the store gave the newest answer that is known here.
    answered_at: Option<Tick>,
    /// The targets that the last outage may have cost their registrations.
    lapse: Lapse,
    /// When an outage of the store began that has not ended.
    unavailable_since: Option<Tick>,
    /// When the last outage ended.
    available_since: Option<Tick>,
    /// When the store last came back from a copy.
    restored_at: Option<Tick>,
    /// When the registry was first read.
    first_read_at: Option<Tick>,
    /// The era of the store in which the registry was last read.
    era: Era,
    /// The availability zones whose targets must not be used.
    evacuations: Evacuations,
}

impl Registry {
    /// Returns the availability zones that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the availability zones that are evacuated, to record what is heard of them.
    pub const fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Records a registration that may have changed as early as `changed_at`. Returns true if the
    /// target was unknown or missing, or if its instance, state or address changed; a heartbeat
    /// alone changes none of these.
    pub fn register(
        &mut self,
        registration: Registration,
        version: Version,
        changed_at: Tick,
    ) -> bool {
        let before = self.targets.get(&registration.vm);
        // A registration that is read again exists, even if a peer reported it missing meanwhile.
        let is_old = |target: &RegisteredTarget| {
            target.version > version || (target.version == version && target.missing.is_none())
        };
        let is_copy = |target: &RegisteredTarget| target.is_copy(&registration, version.era());
        if before.is_some_and(|target| is_old(target) || is_copy(target)) {
            return false;
        }
        let is_new = before.is_none_or(|target| {
            target.missing.is_some()
                || target.registration.instance() != registration.instance()
                || target.registration.state != registration.state
                || target.registration.address != registration.address
        });
        let since = before.and_then(|target| target.leaving_since);
        let leaving_since =
            (registration.state == State::Leaving).then_some(since.unwrap_or(changed_at));
        let same =
            before.filter(|target| target.registration.instance() == registration.instance());
        let said_leaving_at = same.and_then(|target| target.said_leaving_at);
        let warmup = same.map(|target| target.warmup).unwrap_or_default();
        let target = RegisteredTarget {
            version,
            leaving_since,
            said_leaving_at,
            missing: None,
            warmup,
            registration,
        };
        self.insert(target);
        is_new
    }

    /// Records what the latest registration of a target says of its warm-up, which counts from the
    /// time at which it was read. `written_at` is the earliest time at which it can have been
    /// written, if that is known. Returns true if the target has become cold, or will be for notably
    /// longer than was known, which other entries need to know.
    pub fn record_warmup(
        &mut self,
        vm: &Vm,
        version: Version,
        written_at: Option<Tick>,
        read_at: Tick,
    ) -> bool {
        let target = self.targets.get_mut(vm);
        let is_unread = |target: &&mut RegisteredTarget| {
            target.version == version && target.warmup.version != version
        };
        let Some(target) = target.filter(is_unread) else { return false };
        let left = Duration::from_millis(target.registration.warmup_remaining_ms);
        let cold_until = (!left.is_zero()).then(|| read_at.plus(left));
        let known = target.warmup.cold_until.unwrap_or_default().max(read_at);
        target.warmup = Warmup { version, cold_until, written_at };
        cold_until.is_some_and(|until| until.since(known) > WARMUP_TOLERANCE)
    }

    fn insert(&mut self, target: RegisteredTarget) {
        let (vm, address) = (target.registration.vm.clone(), target.registration.address);
        if let Some(before) = self.targets.insert(vm.clone(), target) {
            self.remove_address(&before.registration);
        }
        self.vms_by_address.entry(address).or_default().insert(vm);
    }

    fn remove_address(&mut self, registration: &Registration) {
        let Some(vms) = self.vms_by_address.get_mut(&registration.address) else { return };
        vms.remove(&registration.vm);
        if vms.is_empty() {
            self.vms_by_address.remove(&registration.address);
        }
    }

    /// Keeps only the targets for which `is_kept` returns true.
    fn retain_targets(&mut self, is_kept: impl Fn(&RegisteredTarget) -> bool) {
        let is_dropped = |target: &&RegisteredTarget| !is_kept(target);
        let dropped: Vec<Registration> = self
            .targets
            .values()
            .filter(is_dropped)
            .map(|target| target.registration.clone())
            .collect();
        for registration in &dropped {
            self.targets.remove(&registration.vm);
            self.remove_address(registration);
        }
    }

    /// Records that an instance said in an answer that it leaves. Returns true if that is new.
    pub fn record_said_leaving(&mut self, instance: &Instance, said_at: Tick) -> bool {
        let target = self.targets.get_mut(&instance.vm);
        let Some(target) = target.filter(|target| target.registration.instance() == *instance)
        else {
            return false;
        };
        let is_new = target.said_leaving_at.is_none();
        let earliest = target.said_leaving_at.map_or(said_at, |known| known.min(said_at));
        target.said_leaving_at = Some(earliest);
        is_new
    }

    /// Returns the instances that said within `span` that they leave, and when.
    pub fn said_leaving_within(
        &self,
        span: Duration,
        now: Tick,
    ) -> impl Iterator<Item = (Instance, Tick)> + '_ {
        let said = self
            .targets
            .values()
            .filter_map(|target| Some((target.registration.instance(), target.said_leaving_at?)));
        said.filter(move |(_, said_at)| now.since(*said_at) < span)
    }

    /// Removes the registrations that `is_foreign` recognizes as written by another process than a
    /// target.
    pub fn remove_if(&mut self, is_foreign: impl Fn(&Registration) -> bool) {
        self.retain_targets(|target| !is_foreign(&target.registration));
    }

    /// Records that a registration was removed, perhaps as early as `removed_at`. Returns true if
    /// that is new.
    pub fn remove(&mut self, vm: &Vm, removed_at: Tick) -> bool {
        // During an outage here, a peer that reports the removal may already have seen the outage
        // end.
        let outage_end =
            if self.unavailable_since.is_some() { Some(removed_at) } else { self.available_since };
        let grace_until = outage_end.map_or(Tick::default(), |end| end.plus(OUTAGE_GRACE_PERIOD));
        let known = self.targets.get_mut(vm).filter(|target| target.missing.is_none());
        let Some(target) = known else { return false };
        let after_restore = self.restored_at.is_some() && self.restored_at == self.available_since;
        target.missing =
            Some(Missing { since: removed_at, grace_until, after_restore, era: self.era });
        if target.leaving_since.is_none() {
            if self.lapse.grace_until != grace_until {
                self.lapse = Lapse { grace_until, count: 0 };
            }
            self.lapse.count += 1;
        }
        true
    }

    /// Returns true if an outage may be the reason that a registration is missing: its grace period
    /// has not ended, and the store came back from a copy, or many others disappeared as well.
    fn may_have_lapsed(&self, missing: Missing, now: Tick) -> bool {
        let is_one_of_many = self.lapse.grace_until == missing.grace_until
            && self.lapse.count * LAPSED_DIVISOR > self.targets.len();
        now < missing.grace_until && (missing.after_restore || is_one_of_many)
    }

    /// Removes every target that a complete read of the registry does not contain. They may have
    /// been removed as early as `removed_at`. Returns those whose removal is new.
    pub fn retain(&mut self, is_registered: impl Fn(&Vm) -> bool, removed_at: Tick) -> Vec<Vm> {
        let mut missing: Vec<Vm> =
            self.targets.keys().filter(|vm| !is_registered(vm)).cloned().collect();
        missing.retain(|vm| self.remove(vm, removed_at));
        missing
    }

    /// Returns true if a target that this process has never seen can be regarded as gone: the
    /// registry has been readable for longer than the grace period after an outage.
    #[must_use]
    pub fn is_complete(&self, now: Tick) -> bool {
        let since = self.first_read_at.max(self.available_since);
        self.unavailable_since.is_none()
            && since.is_some_and(|since| now.since(since) >= OUTAGE_GRACE_PERIOD)
    }

    /// Records the era of the store in which the registry is read. A later era counts as the end of
    /// an outage, however short: the store has lost registrations, and targets write them again.
    pub fn record_era(&mut self, era: Era, now: Tick) {
        if era > self.era && self.first_read_at.is_some() {
            self.available_since = Some(now);
            self.restored_at = Some(now);
        }
        self.era = self.era.max(era);
    }

    /// Records the highest sequence number that a target is known to have written.
    pub fn record_sequence(&mut self, vm: &Vm, sequence: u64) {
        if let Some(target) = self.targets.get_mut(vm) {
            target.registration.sequence = target.registration.sequence.max(sequence);
        }
    }

    /// Returns the time since the last outage ended, if there was one.
    #[must_use]
    pub fn available_for(&self, now: Tick) -> Option<Duration> {
        self.available_since.map(|since| now.since(since))
    }

    /// Records that the store did not answer a poll of the registry.
    pub fn record_failure(&mut self, now: Tick) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Records an answer about the registry that the store gave at `given_at`, to this process or to
    /// one that passed it on. It ends an outage if the store was silent for long enough before.
    pub fn record_answer(&mut self, given_at: Tick) {
        self.first_read_at.get_or_insert(given_at);
        let failed_at = self.unavailable_since.take();
        let min_silence = if failed_at.is_some() { MIN_OUTAGE } else { MIN_SILENCE };
        let silent_since = self.answered_at.or(failed_at);
        if silent_since.is_some_and(|since| given_at.since(since) >= min_silence) {
            self.available_since = Some(given_at);
        }
        self.answered_at = self.answered_at.max(Some(given_at));
    }

    /// Returns for how long the registry could not be read; zero if it can.
    #[must_use]
    pub fn unavailable_for(&self, now: Tick) -> Duration {
        self.unavailable_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Removes the targets that have been missing for longer than the retention time.
    pub fn expire(&mut self, now: Tick) {
        self.retain_targets(|target| {
            target.missing.is_none_or(|missing| now.since(missing.since) < MISSING_RETENTION)
        });
    }

    /// Returns the targets of a service, including recently missing ones.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a RegisteredTarget> {
        self.targets.values().filter(move |target| target.registration.service == *service)
    }

    /// Returns all targets, including recently missing ones.
    pub fn targets(&self) -> impl Iterator<Item = &RegisteredTarget> {
        self.targets.values()
    }

    /// Returns the target with a name.
    #[must_use]
    pub fn get(&self, vm: &Vm) -> Option<&RegisteredTarget> {
        self.targets.get(vm)
    }

    /// Returns the number of registered targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.values().filter(|target| target.missing.is_none()).count()
    }

    /// Returns true if no target is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a target can be used.
    #[must_use]
    pub fn availability(&self, target: &RegisteredTarget, now: Tick) -> Availability {
        let missing = target.missing.filter(|missing| !self.may_have_lapsed(*missing, now));
        let missing = missing.map(|missing| missing.since);
        let registered = target.leaving_since.or(missing);
        let since = [registered, target.said_leaving_at].into_iter().flatten().min();
        if let Some(since) = since {
            return Availability::Leaving(since);
        }
        let is_evacuated = self.evacuations.contains(&target.registration.zone);
        if is_evacuated { Availability::Evacuated } else { Availability::Ready }
    }

    /// Returns for how long a target has been leaving, at most.
    #[must_use]
    pub fn leaving_for(&self, target: &RegisteredTarget, now: Tick) -> Duration {
        match self.availability(target, now) {
            Availability::Ready | Availability::Evacuated => Duration::ZERO,
            Availability::Leaving(since) => now.since(since),
        }
    }

    /// Returns true if the grace period of any missing target has not ended, or ended less than
    /// `span` ago. The availability of such a target changes with time alone, without an event.
    #[must_use]
    pub fn has_grace_period_within(&self, span: Duration, now: Tick) -> bool {
        let missing = self.targets.values().filter_map(|target| target.missing);
        missing.into_iter().any(|missing| now < missing.grace_until.plus(span))
    }

    /// Returns true if an instance is known to have ended: its name or its address belongs to a
    /// later instance.
    #[must_use]
    pub fn has_ended(&self, instance: &Instance, address: SocketAddr) -> bool {
        let is_name_reused = self
            .targets
            .get(&instance.vm)
            .is_some_and(|target| target.registration.started_at_ms > instance.started_at_ms);
        let is_address_reused = |target: &RegisteredTarget| {
            target.missing.is_none()
                && target.registration.address == address
                && target.registration.vm != instance.vm
                && target.registration.started_at_ms > instance.started_at_ms
        };
        let at_address = self.vms_by_address.get(&address).into_iter().flatten();
        is_name_reused || at_address.filter_map(|vm| self.targets.get(vm)).any(is_address_reused)
    }
}
