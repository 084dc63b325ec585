//! The faults of a simulation, and the defects that it must detect.

use {
    super::{Event, REGISTRATION_EXPIRY_MS, World, tick_at_ms},
    rand::Rng,
};

/// How long a partition lasts in which a target stays reachable for the partitioned leader only.
const SHARED_PARTITION_MS: u64 = 15_000;

/// The faults of one simulation, each as a probability for each command, write or second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub command_lost: f64,
    pub answer_lost: f64,
    pub grant_late: f64,
    pub write_lost: f64,
    pub write_late: f64,
    pub crash: f64,
    pub unregistered: f64,
    pub leader_crash: f64,
    pub leader_partition: f64,
    pub leader_pause: f64,
    /// The fraction of partitions in which a target stays reachable for the partitioned leader
    /// only.
    pub partition_with_target: f64,
}

/// Defects that can be switched on, to verify that the simulation detects them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mutation {
    /// The leader sends commands without a valid leadership lease.
    pub unlimited_lease: bool,
    /// A leader assumes at once that no former leader renews grants any more.
    pub unconfirmed_former_leaders: bool,
    /// A connection that closed is replaced silently.
    pub silent_reconnect: bool,
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        self.schedule(500, Event::Fault);
        let faults = self.faults;
        for target_index in 0..self.targets.len() {
            if self.targets[target_index].is_alive && self.draw(faults.crash / 2.0) {
                self.trace(|| format!("target {target_index} crashes"));
                self.targets[target_index].crash();
                let name = self.targets[target_index].name();
                self.schedule(REGISTRATION_EXPIRY_MS, Event::ExpireRegistration(name));
                let delay_ms = self.rng.random_range(50..5_000);
                self.schedule(delay_ms, Event::Restart(target_index));
            }
            if self.draw(faults.unregistered / 2.0) {
                self.targets[target_index].unregistered_until =
                    self.now_ms + self.rng.random_range(2_000..8_000);
                let name = self.targets[target_index].name();
                self.registry.remove(&name, tick_at_ms(self.now_ms));
            }
        }
        let current = self.leaders.len() - 1;
        let crash = self.draw(faults.leader_crash / 2.0);
        let partitioned = self.draw(faults.leader_partition / 2.0);
        let pause = self.draw(faults.leader_pause / 2.0);
        let duration_ms = self.rng.random_range(1_000..12_000);
        if crash {
            self.leaders[current].is_alive = false;
        } else if partitioned {
            self.leaders[current].partitioned_until = self.now_ms + duration_ms;
            self.leaders[current].last_registry = self.registry.clone();
        } else if pause {
            self.leaders[current].paused_until = self.now_ms + duration_ms;
        }
        let is_shared = partitioned && self.draw(faults.partition_with_target);
        if crash || partitioned || pause {
            self.trace(|| {
                format!(
                    "leader {current} crash {crash} partition {partitioned} pause {pause} \
                     {duration_ms} ms"
                )
            });
            self.elect_leader();
        }
        if is_shared {
            let target_index = self.rng.random_range(0..self.targets.len());
            let until = self.now_ms + SHARED_PARTITION_MS;
            self.leaders[current].partitioned_until = until;
            self.leaders[current + 1].unreachable_target = (target_index, until);
            self.targets[target_index].unregistered_until = until;
            let name = self.targets[target_index].name();
            self.registry.remove(&name, tick_at_ms(self.now_ms));
        }
    }
}
