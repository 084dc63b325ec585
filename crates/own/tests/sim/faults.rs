//! Fault injection into the simulation.

use {
    super::{Endpoint, Message, PlatformFault, Sim},
    conf::settings::Lease,
    key::{Incarnation, Process, Zone},
    own::{
        Config, Event, Node,
        lease::{Holder, Timing},
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    store::vms::VmState,
};

impl Sim {
    /// Starts an entry that is down, as a new process.
    pub fn start_entry(&mut self, index: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let (config, now) = (Arc::clone(&self.config), self.now);
        let entry = &mut self.entries[index];
        if entry.node.is_some() {
            return;
        }
        let me = Process { vm: entry.vm.clone(), incarnation };
        let zone = entry.zone.clone();
        let balance_interval = Duration::from_secs(1);
        let mut node = Node::new(
            Config { me, zone, timing: Timing::from(&Lease::default()), balance_interval },
            now,
        );
        node.handle(Event::Services(config), now);
        entry.incarnation = incarnation;
        entry.node = Some(node);
        entry.paused = false;
        entry.inbox.clear();
        entry.table_revision = 0;
        entry.next_poll_at = now;
        entry.next_heartbeat_at.clear();
        entry.pending_grants.clear();
        entry.resigning = false;
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].node = None;
        self.entries[index].inbox.clear();
    }

    pub fn pause_entry(&mut self, index: usize, paused: bool) {
        self.entries[index].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.entries[index].inbox) {
                self.deliver(Endpoint::Entry(index), message);
            }
        }
    }

    /// Makes an entry resign from its cells in order to stop.
    fn resign_entry(&mut self, index: usize) {
        if !self.entries[index].paused {
            self.entries[index].resigning = true;
            self.handle_event(index, Event::Resign);
        }
    }

    /// Stops an entry that has handed over its cells, after it has announced its end to the peers.
    fn stop_resigned_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let is_idle = entry.node.as_ref().is_some_and(Node::is_idle);
        if !is_idle || !entry.resigning || entry.paused {
            return;
        }
        let process = Process {
            vm: self.entries[index].vm.clone(),
            incarnation: self.entries[index].incarnation,
        };
        for other in 0..self.entries.len() {
            if other != index {
                self.send(
                    Endpoint::Entry(index),
                    Endpoint::Entry(other),
                    Message::ProcessEnded(process.clone()),
                );
            }
        }
        self.kill_entry(index);
    }

    pub fn pause_target(&mut self, index: usize, paused: bool) {
        self.targets[index].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.targets[index].inbox) {
                self.deliver(Endpoint::Target(index), message);
            }
        }
    }

    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].holder = None;
        self.targets[index].inbox.clear();
    }

    pub fn start_target(&mut self, index: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let target = &mut self.targets[index];
        if target.holder.is_none() && !target.vm_lost {
            target.incarnation = incarnation;
            target.holder = Some(Holder::new(self.setup.fencing, incarnation));
            target.paused = false;
        }
    }

    /// Removes a target's VM permanently; the platform's list shows it after a delay.
    fn lose_target_vm(&mut self, index: usize) {
        self.kill_target(index);
        self.targets[index].vm_lost = true;
        let (vm, zone) = (self.targets[index].vm.clone(), self.targets[index].zone.clone());
        self.register_vm(&vm, "folds", &zone, 1_000 + index, VmState::Gone);
    }

    /// Cuts the links of a zone to the other zones, to the platform, or to both.
    pub fn isolate_zone(&mut self, zone: usize, others: bool, platform: bool) {
        let zone = self.zone_at(zone);
        let endpoints = self.endpoints();
        for a in &endpoints {
            for b in &endpoints {
                let (inside, outside) = (self.zone_of(*a), self.zone_of(*b));
                let to_platform =
                    platform && *b == Endpoint::Platform && inside.as_ref() == Some(&zone);
                let between = others
                    && inside.as_ref() == Some(&zone)
                    && outside.as_ref().is_some_and(|outside| *outside != zone);
                if to_platform || between {
                    self.cut_links.insert((*a, *b));
                    self.cut_links.insert((*b, *a));
                }
            }
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let entries = (0..self.entries.len()).map(Endpoint::Entry);
        let targets = (0..self.targets.len()).map(Endpoint::Target);
        entries.chain(targets).chain([Endpoint::Platform]).collect()
    }

    fn zone_of(&self, endpoint: Endpoint) -> Option<Zone> {
        match endpoint {
            Endpoint::Entry(index) => Some(self.entries[index].zone.clone()),
            Endpoint::Target(index) => Some(self.targets[index].zone.clone()),
            Endpoint::Platform => None,
        }
    }

    /// Ends every fault except the loss of VMs.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.platform = PlatformFault::default();
        for index in 0..self.entries.len() {
            self.pause_entry(index, false);
            if self.entries[index].resigning {
                self.kill_entry(index);
            }
            self.start_entry(index);
        }
        for index in 0..self.targets.len() {
            self.pause_target(index, false);
            self.start_target(index);
            self.targets[index].leaving = false;
        }
    }

    /// Injects or ends one fault, chosen at random.
    pub fn inject_fault(&mut self) {
        self.trace(|| format!("cut {:?} platform {:?}", self.cut_links, self.platform));
        let entry = self.rng.random_range(0..self.entries.len());
        let target = self.rng.random_range(0..self.targets.len());
        let zone = self.rng.random_range(0..self.setup.zones);
        match self.rng.random_range(0..20) {
            0 | 1 => self.pause_entry(entry, true),
            2 => self.pause_entry(entry, false),
            3 => self.kill_entry(entry),
            4 => self.start_entry(entry),
            5 | 6 => self.pause_target(target, true),
            7 | 8 => self.pause_target(target, false),
            9 => self.kill_target(target),
            10 => self.start_target(target),
            11 => self.platform.down = !self.platform.down,
            12 => self.platform.loss_percent = if self.platform.loss_percent > 0 { 0 } else { 30 },
            13 => {
                let (others, platform) = (self.rng.random(), self.rng.random());
                self.isolate_zone(zone, others, platform);
            }
            14 => self.cut_links.clear(),
            15 => self.resign_entry(entry),
            16 => self.stop_resigned_entry(entry),
            17 => {
                // The first target of each zone is never lost.
                if target >= self.setup.zones {
                    self.lose_target_vm(target);
                }
            }
            18 => self.targets[target].leaving = !self.targets[target].leaving,
            _ => {
                // Cuts one direction between an entry and a target.
                let ends = [Endpoint::Entry(entry), Endpoint::Target(target)];
                let link = if self.rng.random() { (ends[0], ends[1]) } else { (ends[1], ends[0]) };
                self.cut_links.insert(link);
            }
        }
    }
}
