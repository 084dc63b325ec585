//! What goes wrong in the model.

use {
    super::{End, Message, PlatformFault, Sim},
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
    /// Starts an entry that is down, as a fresh process.
    pub fn start_entry(&mut self, at: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let (text, now) = (Arc::clone(&self.text), self.now);
        let entry = &mut self.entries[at];
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
        node.handle(Event::Services(text), now);
        entry.incarnation = incarnation;
        entry.node = Some(node);
        entry.paused = false;
        entry.inbox.clear();
        entry.revision = 0;
        entry.scan_due = now;
        entry.hello_due.clear();
        entry.offers.clear();
        entry.resigning = false;
    }

    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].node = None;
        self.entries[at].inbox.clear();
    }

    pub fn pause_entry(&mut self, at: usize, paused: bool) {
        self.entries[at].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.entries[at].inbox) {
                self.deliver(End::Entry(at), message);
            }
        }
    }

    /// Tells an entry to stop.
    fn resign_entry(&mut self, at: usize) {
        if !self.entries[at].paused {
            self.entries[at].resigning = true;
            self.feed(at, Event::Resign);
        }
    }

    /// Ends an entry that has handed everything over, after its farewell.
    fn farewell_entry(&mut self, at: usize) {
        let entry = &self.entries[at];
        let idle = entry.node.as_ref().is_some_and(Node::is_idle);
        if !idle || !entry.resigning || entry.paused {
            return;
        }
        let process =
            Process { vm: self.entries[at].vm.clone(), incarnation: self.entries[at].incarnation };
        for other in 0..self.entries.len() {
            if other != at {
                self.send(End::Entry(at), End::Entry(other), Message::Ended(process.clone()));
            }
        }
        self.kill_entry(at);
    }

    pub fn pause_target(&mut self, at: usize, paused: bool) {
        self.targets[at].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.targets[at].inbox) {
                self.deliver(End::Target(at), message);
            }
        }
    }

    pub fn kill_target(&mut self, at: usize) {
        self.targets[at].holder = None;
        self.targets[at].inbox.clear();
    }

    pub fn start_target(&mut self, at: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let target = &mut self.targets[at];
        if target.holder.is_none() && !target.lost {
            target.incarnation = incarnation;
            target.holder = Some(Holder::new(self.setup.fencing, incarnation));
            target.paused = false;
        }
    }

    /// Ends a target's VM for good; the list says so after its lag.
    fn lose_target_vm(&mut self, at: usize) {
        self.kill_target(at);
        self.targets[at].lost = true;
        let (vm, zone) = (self.targets[at].vm.clone(), self.targets[at].zone.clone());
        self.list(&vm, "folds", &zone, 1_000 + at, VmState::Gone);
    }

    /// Cuts a zone off from the other zones, from the platform, or from both.
    pub fn isolate(&mut self, zone: usize, others: bool, platform: bool) {
        let zone = self.zone(zone);
        let ends = self.ends();
        for a in &ends {
            for b in &ends {
                let (inside, outside) = (self.zone_of(*a), self.zone_of(*b));
                let to_platform = platform && *b == End::Platform && inside.as_ref() == Some(&zone);
                let between = others
                    && inside.as_ref() == Some(&zone)
                    && outside.as_ref().is_some_and(|outside| *outside != zone);
                if to_platform || between {
                    self.cut.insert((*a, *b));
                    self.cut.insert((*b, *a));
                }
            }
        }
    }

    fn ends(&self) -> Vec<End> {
        let entries = (0..self.entries.len()).map(End::Entry);
        let targets = (0..self.targets.len()).map(End::Target);
        entries.chain(targets).chain([End::Platform]).collect()
    }

    fn zone_of(&self, end: End) -> Option<Zone> {
        match end {
            End::Entry(at) => Some(self.entries[at].zone.clone()),
            End::Target(at) => Some(self.targets[at].zone.clone()),
            End::Platform => None,
        }
    }

    /// Ends every fault but losses.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.platform = PlatformFault::default();
        for at in 0..self.entries.len() {
            self.pause_entry(at, false);
            if self.entries[at].resigning {
                self.kill_entry(at);
            }
            self.start_entry(at);
        }
        for at in 0..self.targets.len() {
            self.pause_target(at, false);
            self.start_target(at);
            self.targets[at].leaving = false;
        }
    }

    /// Does something bad, chosen by the seed.
    pub fn fault(&mut self) {
        self.trace(|| format!("cut {:?} platform {:?}", self.cut, self.platform));
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
            12 => self.platform.lose_percent = if self.platform.lose_percent > 0 { 0 } else { 30 },
            13 => {
                let (others, platform) = (self.rng.random(), self.rng.random());
                self.isolate(zone, others, platform);
            }
            14 => self.cut.clear(),
            15 => self.resign_entry(entry),
            16 => self.farewell_entry(entry),
            17 => {
                // A zone keeps one VM that cannot be lost.
                if target >= self.setup.zones {
                    self.lose_target_vm(target);
                }
            }
            18 => self.targets[target].leaving = !self.targets[target].leaving,
            _ => {
                // One direction between one entry and one target.
                let ends = [End::Entry(entry), End::Target(target)];
                let way = if self.rng.random() { (ends[0], ends[1]) } else { (ends[1], ends[0]) };
                self.cut.insert(way);
            }
        }
    }
}
