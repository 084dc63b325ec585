//! Passing the registry on to entries that follow this one, and applying what another passes on.
//!
//! A query waits until something in the registry has changed that other entries need: a target that
//! is new, has moved, leaves or is gone. Heartbeats alone, which change every registration about
//! once a second, are not passed on. A query that has waited for as long as it says, at most
//! [`Pace::wait`](member::Pace::wait), is answered anyway, since the answer also says how long ago
//! the store confirmed what is known.

use {
    super::{State, registering::GONE},
    crate::control::{
        feeds::Following,
        message::{RegistryQuery, RegistryUpdate, Removal, VersionedRegistration},
    },
    hold::{
        Registration,
        registry::{RegisteredTarget, State as RegistrationState},
    },
    key::{Version, Vm, clock::Tick},
    member::{ChangeLog, Member},
    std::time::Duration,
    tokio::sync::{oneshot, watch},
};

/// The time after the last query for which this entry counts as followed.
const FOLLOWED_FOR: Duration = Duration::from_secs(3);

/// A query that waits for a change.
#[derive(Debug)]
struct Waiter {
    query: RegistryQuery,
    since: Tick,
    /// How long it waits for news.
    wait: Duration,
    reply_to: oneshot::Sender<RegistryUpdate>,
}

/// What this entry can tell others of the registry.
#[derive(Debug)]
pub(crate) struct Relay {
    /// The version of the store up to which the registry was read.
    version: Version,
    /// When the store last confirmed that version.
    confirmed_at: Option<Tick>,
    changes: ChangeLog<Vm>,
    waiters: Vec<Waiter>,
    /// Whether the store confirmed it to this process, rather than to another entry.
    pub(super) is_direct: bool,
    /// When another entry last asked.
    asked_at: Option<Tick>,
    /// How the feed of the registry follows it.
    pub(super) following: watch::Sender<Following>,
    outages: watch::Receiver<u64>,
}

impl Relay {
    pub(crate) fn new(following: watch::Sender<Following>, outages: watch::Receiver<u64>) -> Self {
        Self {
            version: Version::ZERO,
            confirmed_at: None,
            is_direct: false,
            changes: ChangeLog::default(),
            waiters: Vec::new(),
            asked_at: None,
            following,
            outages,
        }
    }

    /// Records that the registry was read up to a version, as of the time `at`. If it was read in
    /// full, the changes before are not known.
    pub(super) fn record_read(&mut self, version: Version, complete: bool, at: Tick) {
        if complete {
            self.changes.restart(version);
        }
        self.version = self.version.max(version);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that a target changed in a version.
    pub(super) fn record_change(&mut self, version: Version, vm: &Vm) {
        self.changes.record(version, vm.clone());
    }

    /// Returns true if this entry reads the registry from the store. Another entry may follow it only
    /// then: two that follow each other would hear nothing.
    pub(super) const fn reads_store(&self) -> bool {
        self.is_direct && self.confirmed_at.is_some()
    }

    /// Returns true if there are entries that this one can follow.
    pub(super) fn follows_others(&self) -> bool {
        !self.following.borrow().readers.is_empty()
    }

    /// Records that the store does not answer.
    pub(super) const fn record_outage(&mut self) {
        self.confirmed_at = None;
    }
}

impl State {
    /// Answers a query at once if there is news, or else lets it wait.
    pub(super) fn handle_registry_query(
        &mut self,
        query: RegistryQuery,
        reply_to: oneshot::Sender<RegistryUpdate>,
        now: Tick,
    ) {
        self.relay.asked_at = Some(now);
        self.update_followed(now);
        let max_wait = self.shared.pace().wait;
        let wait = query.wait_ms.map_or(max_wait, |ms| Duration::from_millis(ms).min(max_wait));
        self.answer_or_keep(Waiter { query, since: now, wait, reply_to }, now);
    }

    /// Tells the feed of the registry whether other entries follow this one.
    pub(super) fn update_followed(&self, now: Tick) {
        let is_followed = self.relay.asked_at.is_some_and(|at| now.since(at) < FOLLOWED_FOR);
        self.relay.following.send_if_modified(|following| {
            std::mem::replace(&mut following.is_followed, is_followed) != is_followed
        });
    }

    /// Answers the queries for which there is news, and those that have waited for long enough.
    pub(super) fn answer_registry_queries(&mut self, now: Tick) {
        let waiters = std::mem::take(&mut self.relay.waiters);
        for waiter in waiters {
            self.answer_or_keep(waiter, now);
        }
    }

    fn answer_or_keep(&mut self, waiter: Waiter, now: Tick) {
        let has_news = self.relay.confirmed_at.is_none()
            || self.has_news(waiter.query.after)
            || self.has_table_news(&waiter.query);
        if !has_news && now.since(waiter.since) < waiter.wait {
            self.relay.waiters.push(waiter);
            return;
        }
        let update = self.registry_update(&waiter.query, waiter.since, now);
        // An entry whose call timed out asks again.
        if waiter.reply_to.send(update).is_err() {
            self.shared.counters.count("replies", "too late");
        }
    }

    /// Returns true if this entry knows of a change after `version`, or cannot tell.
    fn has_news(&self, version: Version) -> bool {
        version < self.relay.version
            && self.relay.changes.has_changed_since(version).unwrap_or(true)
    }

    /// Returns what is known of the registry and of other tables that a query does not know.
    fn registry_update(&self, query: &RegistryQuery, since: Tick, now: Tick) -> RegistryUpdate {
        let after = query.after;
        let is_behind = self.relay.version < after;
        let changes = self.relay.changes.since(after);
        let complete = !is_behind && changes.is_none();
        let changed: Vec<&RegisteredTarget> = match &changes {
            _ if is_behind => Vec::new(),
            Some(changes) => changes.iter().filter_map(|vm| self.registry.get(vm)).collect(),
            None => self.registry.targets().collect(),
        };
        let (registered, missing): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|target| target.is_registered());
        let millis = |duration: Duration| duration.as_millis() as u64;
        RegistryUpdate {
            version: self.relay.version,
            age_ms: self.relay.confirmed_at.map(|at| millis(now.since(at))),
            waited_ms: millis(now.since(since)),
            complete,
            registered: registered
                .into_iter()
                .map(|target| self.versioned_registration(target, now))
                .collect(),
            removed: missing
                .into_iter()
                .filter_map(|target| {
                    let missing_ms = millis(now.since(target.missing_since()?));
                    let vm = target.registration.vm.clone();
                    Some(Removal { vm, missing_ms, sequence: target.registration.sequence })
                })
                .collect(),
            outages: *self.relay.outages.borrow(),
            available_ms: self.registry.available_for(now).map(millis),
            tables: query.tables.as_ref().map(|tables| self.tables_update(tables, now)),
        }
    }

    /// Returns a registration as it is passed on, with the time for which the target is still cold.
    pub(super) fn versioned_registration(
        &self,
        target: &RegisteredTarget,
        now: Tick,
    ) -> VersionedRegistration {
        let millis = |duration: Duration| duration.as_millis() as u64;
        let cold_left = target.cold_until().map_or(Duration::ZERO, |until| until.since(now));
        let is_dated = target.written_at() != Tick::default();
        VersionedRegistration {
            registration: Registration {
                warmup_remaining_ms: millis(cold_left),
                ..target.registration.clone()
            },
            version: target.version,
            leaving_for_ms: millis(self.registry.leaving_for(target, now)),
            written_ms: is_dated.then(|| millis(now.since(target.written_at()))),
        }
    }

    /// Applies what the entry `reader` knows of the registry, as of the time `answered_at`.
    pub(super) fn apply_registry_update(
        &mut self,
        reader: &Vm,
        mut update: RegistryUpdate,
        answered_at: Tick,
        now: Tick,
    ) {
        if let Some(tables) = update.tables.take() {
            self.apply_tables_update(reader, tables, answered_at, now);
        }
        let RegistryUpdate { version, age_ms: Some(age_ms), complete, .. } = update else { return };
        let before = |ms: u64| answered_at.before(Duration::from_millis(ms));
        self.registry.record_answer(before(age_ms));
        self.registry.record_era(version.era(), answered_at);
        self.relay.record_read(version, complete, before(age_ms));
        self.relay.is_direct = false;
        if complete {
            let is_listed = |vm: &Vm| {
                update.registered.iter().any(|target| target.registration.vm == *vm)
                    || update.removed.iter().any(|removal| removal.vm == *vm)
            };
            let removed = self.registry.retain(is_listed, before(age_ms));
            self.note_removals(&removed, reader.as_str(), before(age_ms), now);
        }
        let registered_before = self.registry.len();
        for listed in update.registered {
            let VersionedRegistration { registration, version: row, leaving_for_ms, written_ms } =
                listed;
            let (vm, state) = (registration.vm.clone(), registration.state);
            let changed_at = before(leaving_for_ms);
            let is_new = self.registry.register(registration, row, changed_at);
            if self.registry.record_warmup(&vm, row, written_ms.map(before), now) || is_new {
                self.relay.record_change(version, &vm);
                self.dirty = true;
                if state == RegistrationState::Leaving {
                    self.log_change(&vm, "Leaving", reader.as_str(), changed_at, now);
                }
            }
        }
        for Removal { vm, missing_ms, sequence } in update.removed {
            self.registry.record_sequence(&vm, sequence);
            let removed_at = before(missing_ms);
            if self.registry.remove(&vm, removed_at) {
                self.relay.record_change(version, &vm);
                self.log_change(&vm, GONE, reader.as_str(), removed_at, now);
                self.dirty = true;
            }
        }
        if self.registry.len() > registered_before {
            self.registry_grew_at = Some(answered_at);
        }
        self.update_warmups(now);
    }

    /// Tells the feed of the registry which entries to follow. The leader decides by the registry,
    /// so it reads the store itself.
    pub(super) fn update_readers(&self) {
        let members = self.members.iter().map(|(vm, member)| Member {
            vm,
            zone: &member.zone,
            power: member.power,
            address: member.address,
        });
        let readers = if self.leadership.is_some() {
            Vec::new()
        } else {
            member::readers(&self.me.vm, &self.shared.settings.zone, members)
        };
        self.relay.following.send_if_modified(|following| {
            let changed = following.readers != readers;
            following.readers = readers;
            changed
        });
    }
}
