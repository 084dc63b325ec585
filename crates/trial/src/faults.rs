//! What a test does to a fleet.

use {
    crate::{
        Fleet,
        fleet::{local, merge, zone_name},
        process::Process,
    },
    serde_json::{Value, json},
    standin::{
        platform::Fault as PlatformFault,
        proxy::{Fault, Proxy},
    },
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        process::ExitStatus,
        time::Duration,
    },
    store::vms::{ENTRY_ROLE, VmRecord, VmState},
};

impl Fleet {
    /// Starts an entry that is down.
    pub fn start_entry(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let arguments =
            ["entry".to_owned(), "--settings".to_owned(), entry.settings.display().to_string()];
        let log = self.folder.join(format!("{}.log", entry.vm));
        entry.process = Some(Process::start("almondworks", &arguments, &log));
    }

    /// Writes the peers' addresses into the settings of an entry, which a fresh process needs while
    /// the platform's list is out of reach.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be read and written.
    pub fn add_peers(&self, at: usize) {
        let file = &self.entries[at].settings;
        let text = fs::read_to_string(file).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != at);
        let peers: Vec<SocketAddr> = others.map(|(_, entry)| entry.peers).collect();
        merge(&mut settings, &json!({ "peers": peers }));
        fs::write(file, settings.to_string()).expect("the settings can be written");
    }

    /// Ends an entry at once.
    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].process = None;
    }

    /// Stops an entry from running until it is resumed.
    pub fn pause_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::pause);
    }

    /// Lets an entry run again.
    pub fn resume_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::resume);
    }

    /// Tells an entry to stop.
    pub fn terminate_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::terminate);
    }

    /// Returns how an entry ended, if it did within `limit`.
    pub fn entry_ended(&mut self, at: usize, limit: Duration) -> Option<ExitStatus> {
        self.entries[at].process.as_mut()?.ended(limit)
    }

    /// Starts a target that is down, as a fresh process.
    pub fn start_target(&mut self, at: usize) {
        let target = &mut self.targets[at];
        let log = self.folder.join(format!("{}.log", target.vm));
        target.process = Some(Process::start("standin", &target.arguments, &log));
    }

    /// Ends a target at once.
    pub fn kill_target(&mut self, at: usize) {
        self.targets[at].process = None;
    }

    /// Tells whether a target has ended by itself.
    pub fn target_ended(&mut self, at: usize) -> bool {
        let ended = |process: &mut Process| process.ended(Duration::ZERO).is_some();
        self.targets[at].process.as_mut().is_none_or(ended)
    }

    /// Stops a target from running until it is resumed.
    pub fn pause_target(&self, at: usize) {
        self.targets[at].process.iter().for_each(Process::pause);
    }

    /// Lets a target run again.
    pub fn resume_target(&self, at: usize) {
        self.targets[at].process.iter().for_each(Process::resume);
    }

    /// Changes what the platform's list says of a target.
    pub fn list_target(&self, at: usize, state: VmState) {
        self.platform.update_vms(vec![VmRecord { state, ..self.targets[at].listed.clone() }]);
    }

    /// Changes what the platform's list says of an entry.
    pub fn list_entry(&self, at: usize, state: VmState) {
        let entry = &self.entries[at];
        self.platform.update_vms(vec![VmRecord {
            vm: entry.vm.clone(),
            role: ENTRY_ROLE.into(),
            zone: zone_name(entry.zone),
            address: local(1),
            state,
        }]);
    }

    /// Sets the faults of a target itself.
    pub async fn upset_target(&self, at: usize, fault: Value) {
        let address = self.target_address(at);
        let (): () =
            self.wire.post(address, "/admin/fault", &fault).await.expect("the target answers");
    }

    /// Sets the faults of the platform.
    pub fn upset_platform(&self, fault: PlatformFault) {
        self.platform.set_fault(fault);
    }

    /// Sets the faults on the way to the process of that name.
    pub fn upset_way(&self, name: &str, fault: &Fault) {
        self.proxy(name).set_fault(fault.clone());
    }

    /// Returns the proxy before the process of that name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn proxy(&self, name: &str) -> &Proxy {
        let way = self.ways.iter().find(|way| way.name == name);
        &way.unwrap_or_else(|| panic!("no proxy before {name}")).proxy
    }

    /// Cuts a zone off from the other zones, from the platform, or from both.
    pub fn isolate(&self, zone: usize, others: bool, platform: bool) {
        let sources = |inside: bool| {
            let entries = self.entries.iter().filter(move |entry| (entry.zone == zone) == inside);
            entries.map(|entry| entry.source).collect::<Vec<IpAddr>>()
        };
        for way in &self.ways {
            let cut_from = match way.zone {
                Some(behind) if others && behind == zone => sources(false),
                Some(_) if others => sources(true),
                None if platform => sources(true),
                _ => continue,
            };
            way.proxy.set_fault(Fault { cut_from, ..Fault::default() });
        }
    }

    /// Ends the faults of all ways and of the platform.
    pub fn heal(&self) {
        for way in &self.ways {
            way.proxy.set_fault(Fault::default());
        }
        self.platform.set_fault(PlatformFault::default());
    }
}
