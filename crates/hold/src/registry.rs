//! The list of targets, as this process last read it.
//!
//! An entry can vanish from the list for two reasons that call for opposite answers: the target left
//! or was lost, or the store was away and let entries lapse that it had no sign of life for. The
//! registry excuses an entry that is missing right after an outage that this process saw, for a short
//! time.

use {
    crate::map::Instance,
    key::{Service, Version, Vm, Zone, clock::Tick},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The time after an outage within which targets are listed again.
const RETURN: Duration = Duration::from_millis(2_000);

/// The time for which a target that was lost is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes requests.
    Ready,
    /// It will stop soon and takes no new work.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The name.
    pub vm: Vm,
    /// The start of its process, in milliseconds of its own clock; tells two runs apart.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// The service it runs.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The requests it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: State,
    /// How much longer it is slow after its start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warmup_remaining_ms: u64,
}

impl Registration {
    /// Returns the run of the target.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance { vm: self.vm.clone(), started_at_ms: self.started_at_ms }
    }
}

/// Whether a target can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is listed as ready, or is missing after an outage that excuses it.
    Ready,
    /// It says that it is leaving, or has vanished from the list, since then at the earliest.
    Leaving(Tick),
}

/// A target with what the registry knows of it.
#[derive(Clone, Debug)]
pub struct RegisteredTarget {
    /// Its newest entry.
    pub registration: Registration,
    /// The store's version of that entry.
    pub version: Version,
    left: Option<Tick>,
    missing: Option<Missing>,
}

/// An entry that has vanished.
#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Tick,
    /// Until when an outage of the store before it is taken to be the reason.
    excused_until: Tick,
}

impl RegisteredTarget {
    /// Tells whether the list showed the target when it was last read.
    #[must_use]
    pub const fn is_registered(&self) -> bool {
        self.missing.is_none()
    }
}

/// The list.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    targets: BTreeMap<Vm, RegisteredTarget>,
    silent_since: Option<Tick>,
    back_since: Option<Tick>,
    read_since: Option<Tick>,
}

impl Registry {
    /// Takes an entry that may have changed at `at`, and tells whether anything but a sign of life is
    /// new.
    pub fn register(&mut self, registration: Registration, version: Version, at: Tick) -> bool {
        let before = self.targets.get(&registration.vm);
        // An entry that is read again is there, whatever a peer said meanwhile.
        let is_old = |known: &RegisteredTarget| {
            known.version > version || (known.version == version && known.missing.is_none())
        };
        if before.is_some_and(is_old) {
            return false;
        }
        let is_new = before.is_none_or(|known| {
            known.missing.is_some()
                || known.registration.instance() != registration.instance()
                || known.registration.state != registration.state
                || known.registration.address != registration.address
        });
        let since = before.and_then(|known| known.left);
        let left = (registration.state == State::Leaving).then_some(since.unwrap_or(at));
        let known = RegisteredTarget { version, left, missing: None, registration };
        self.targets.insert(known.registration.vm.clone(), known);
        is_new
    }

    /// Drops entries that turn out to be no target's own.
    pub fn remove_if(&mut self, foreign: impl Fn(&Registration) -> bool) {
        self.targets.retain(|_, known| !foreign(&known.registration));
    }

    /// Notes that an entry was removed, perhaps as early as `at`, and tells whether that is new.
    pub fn remove(&mut self, vm: &Vm, at: Tick) -> bool {
        // While the store is silent here, a peer's knowledge of it may already be later than the end
        // of the outage.
        let back = if self.silent_since.is_some() { Some(at) } else { self.back_since };
        let excused_until = back.map_or(Tick::default(), |back| back.plus(RETURN));
        match self.targets.get_mut(vm) {
            Some(known) if known.missing.is_none() => {
                known.missing = Some(Missing { since: at, excused_until });
                true
            }
            _ => false,
        }
    }

    /// Removes every target that a whole reading of the list does not show; they may have vanished
    /// as early as `at`.
    pub fn retain(&mut self, listed: impl Fn(&Vm) -> bool, at: Tick) -> bool {
        let gone: Vec<Vm> = self.targets.keys().filter(|vm| !listed(vm)).cloned().collect();
        let mut changed = false;
        for vm in &gone {
            changed |= self.remove(vm, at);
        }
        changed
    }

    /// Tells whether a target that this process has never seen listed can be taken for gone: the list
    /// has been read for longer than entries are missing after an outage.
    #[must_use]
    pub fn is_complete(&self, now: Tick) -> bool {
        let since = self.read_since.max(self.back_since);
        self.silent_since.is_none() && since.is_some_and(|since| now.since(since) >= RETURN)
    }

    /// Notes whether the list could be read.
    pub fn record_poll(&mut self, answered: bool, now: Tick) {
        if answered {
            self.read_since.get_or_insert(now);
        }
        match (answered, self.silent_since) {
            (false, None) => self.silent_since = Some(now),
            (true, Some(_)) => {
                self.silent_since = None;
                self.back_since = Some(now);
            }
            _ => {}
        }
    }

    /// Returns for how long the list could not be read.
    #[must_use]
    pub fn unavailable_for(&self, now: Tick) -> Duration {
        self.silent_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Forgets targets that were lost long ago.
    pub fn expire(&mut self, now: Tick) {
        self.targets.retain(|_, known| {
            known.missing.is_none_or(|missing| now.since(missing.since) < MEMORY)
        });
    }

    /// Returns the targets of a service that are listed or were a short while ago.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a RegisteredTarget> {
        self.targets.values().filter(move |known| known.registration.service == *service)
    }

    /// Returns every target.
    pub fn targets(&self) -> impl Iterator<Item = &RegisteredTarget> {
        self.targets.values()
    }

    /// Returns a target by name.
    #[must_use]
    pub fn get(&self, vm: &Vm) -> Option<&RegisteredTarget> {
        self.targets.get(vm)
    }

    /// Returns how many targets are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.values().filter(|known| known.missing.is_none()).count()
    }

    /// Tells whether no target is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tells whether a target can be used.
    #[must_use]
    pub fn availability(&self, known: &RegisteredTarget, now: Tick) -> Availability {
        let missing = known.missing.filter(|missing| now >= missing.excused_until);
        let missing = missing.map(|missing| missing.since.max(missing.excused_until));
        known.left.or(missing).map_or(Availability::Ready, Availability::Leaving)
    }

    /// Returns for how long a target has been leaving at most.
    #[must_use]
    pub fn leaving_for(&self, known: &RegisteredTarget, now: Tick) -> Duration {
        match self.availability(known, now) {
            Availability::Ready => Duration::ZERO,
            Availability::Leaving(since) => now.since(since),
        }
    }

    /// Tells whether the presence of a target changes with time alone, or did within `span`.
    #[must_use]
    pub fn has_grace_period_within(&self, span: Duration, now: Tick) -> bool {
        let missing = self.targets.values().filter_map(|known| known.missing);
        missing.into_iter().any(|missing| now < missing.excused_until.plus(span))
    }

    /// Tells whether a run of a target is proved to have ended: the name or the address belongs to
    /// a later one.
    #[must_use]
    pub fn has_ended(&self, instance: &Instance, address: SocketAddr) -> bool {
        let renewed = self
            .targets
            .get(&instance.vm)
            .is_some_and(|known| known.registration.started_at_ms > instance.started_at_ms);
        let reused = |known: &RegisteredTarget| {
            known.missing.is_none()
                && known.registration.address == address
                && known.registration.vm != instance.vm
                && known.registration.started_at_ms > instance.started_at_ms
        };
        renewed || self.targets.values().any(reused)
    }
}
