//! Applying what the store says of targets to the registry.

use {
    super::{BeliefLine, State},
    crate::control::feeds::STORE_SOURCE,
    hold::{Registration, registry::Availability},
    key::{Version, Vm, clock::Tick},
    platform::{store::Rows, text},
    serde::Serialize,
    std::collections::HashSet,
};

/// The detail of a journal line about a target whose row was removed.
pub(super) const GONE: &str = "gone from the list";

/// The journal line about a change of a target that is listed or was.
#[derive(Serialize)]
struct ChangeLine<'a> {
    subject: &'a str,
    version: u64,
    detail: &'a str,
    /// Who told: the store, or the entry that this one follows.
    source: &'a str,
    /// For how long the store may have known.
    age_ms: u64,
    /// Whether the target counts as ready now, if only for the rest of a grace period.
    is_ready: bool,
}

impl State {
    /// Applies rows of the registry; they may have changed as early as `changed_at`.
    pub(super) fn apply_target_rows(
        &mut self,
        rows: Rows,
        complete: bool,
        changed_at: Tick,
        now: Tick,
    ) {
        let registered_before = self.registry.len();
        let Rows { rows, version, .. } = rows;
        if complete {
            let listed: HashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
            let is_listed = |vm: &Vm| listed.contains(vm.as_str());
            let removed = self.registry.retain(is_listed, changed_at);
            self.note_removals(&removed, STORE_SOURCE, changed_at, now);
        }
        for row in rows {
            let vm = Vm::from(row.key.as_str());
            let Some(value) = &row.value else {
                if self.registry.remove(&vm, changed_at) {
                    self.relay.record_change(version, &vm);
                    self.log_change(&vm, GONE, STORE_SOURCE, changed_at, now);
                    self.dirty = true;
                }
                continue;
            };
            match text::parse_registration(&row.key, value) {
                Ok(registration) if !self.knows_service(&registration) => {
                    self.log_target(&vm, row.version, "names no known service");
                }
                Ok(registration) => {
                    let state = format!("{:?}", registration.state);
                    let is_new = self.registry.register(registration, row.version, changed_at);
                    let written_at = Some(changed_at);
                    let is_cold = self.registry.record_warmup(&vm, row.version, written_at, now);
                    if is_new || is_cold {
                        self.relay.record_change(version, &vm);
                        self.log_change(&vm, &state, STORE_SOURCE, changed_at, now);
                        self.dirty = true;
                    }
                }
                Err(error) => self.log_target(&vm, row.version, &error.to_string()),
            }
        }
        if self.registry.len() > registered_before {
            self.registry_grew_at = Some(now);
        }
        self.update_warmups(now);
    }

    /// Returns true if the routing configuration names the service of a registration, or is not
    /// known yet. A registration for another service was not written by the target itself, so it
    /// proves nothing about the address in it.
    fn knows_service(&self, registration: &Registration) -> bool {
        let Some(routing) = self.routing.routing() else { return true };
        routing.service(&registration.service).is_some()
    }

    /// Logs the targets that a complete read by `source` lacks, removed at `removed_at` at the
    /// earliest.
    pub(super) fn note_removals(
        &mut self,
        removed: &[Vm],
        source: &str,
        removed_at: Tick,
        now: Tick,
    ) {
        self.dirty |= !removed.is_empty();
        for vm in removed {
            self.log_change(vm, "not in the whole list", source, removed_at, now);
        }
    }

    /// Logs that a target that the registry knows has changed, at `changed_at` at the earliest.
    pub(super) fn log_change(
        &self,
        vm: &Vm,
        detail: &str,
        source: &str,
        changed_at: Tick,
        now: Tick,
    ) {
        let Some(target) = self.registry.get(vm) else { return };
        let line = ChangeLine {
            subject: vm.as_str(),
            version: target.version.get(),
            detail,
            source,
            age_ms: now.since(changed_at).as_millis() as u64,
            is_ready: self.registry.availability(target, now) == Availability::Ready,
        };
        self.shared.journal.log("target", &line);
    }

    fn log_target(&self, vm: &Vm, version: Version, detail: &str) {
        self.shared
            .journal
            .log("target", &BeliefLine { subject: vm.as_str(), version: version.get(), detail });
    }
}
