//! What a test does to a fleet.

use {
    crate::{
        Fleet,
        fleet::{loopback, merge_json, zone_name},
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
    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
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
    pub fn add_peers_to_settings(&self, index: usize) {
        let file = &self.entries[index].settings;
        let text = fs::read_to_string(file).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != index);
        let peers: Vec<SocketAddr> = others.map(|(_, entry)| entry.peer_address).collect();
        merge_json(&mut settings, &json!({ "peers": peers }));
        fs::write(file, settings.to_string()).expect("the settings can be written");
    }

    /// Ends an entry at once.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Stops an entry from running until it is resumed.
    pub fn pause_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::pause);
    }

    /// Lets an entry run again.
    pub fn resume_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::resume);
    }

    /// Tells an entry to stop.
    pub fn terminate_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::terminate);
    }

    /// Returns how an entry ended, if it did within `limit`.
    pub fn wait_for_entry_exit(&mut self, index: usize, limit: Duration) -> Option<ExitStatus> {
        self.entries[index].process.as_mut()?.wait_for_exit(limit)
    }

    /// Starts a target that is down, as a fresh process.
    pub fn start_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let log = self.folder.join(format!("{}.log", target.vm));
        target.process = Some(Process::start("standin", &target.arguments, &log));
    }

    /// Ends a target at once.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].process = None;
    }

    /// Tells whether a target has ended by itself.
    pub fn has_target_exited(&mut self, index: usize) -> bool {
        let has_exited = |process: &mut Process| process.wait_for_exit(Duration::ZERO).is_some();
        self.targets[index].process.as_mut().is_none_or(has_exited)
    }

    /// Stops a target from running until it is resumed.
    pub fn pause_target(&self, index: usize) {
        self.targets[index].process.iter().for_each(Process::pause);
    }

    /// Lets a target run again.
    pub fn resume_target(&self, index: usize) {
        self.targets[index].process.iter().for_each(Process::resume);
    }

    /// Changes what the platform's list says of a target.
    pub fn set_target_vm_state(&self, index: usize, state: VmState) {
        self.platform.update_vms(vec![VmRecord { state, ..self.targets[index].vm_record.clone() }]);
    }

    /// Changes what the platform's list says of an entry.
    pub fn set_entry_vm_state(&self, index: usize, state: VmState) {
        let entry = &self.entries[index];
        self.platform.update_vms(vec![VmRecord {
            vm: entry.vm.clone(),
            role: ENTRY_ROLE.into(),
            zone: zone_name(entry.zone),
            address: loopback(1),
            state,
        }]);
    }

    /// Sets the faults of a target itself.
    pub async fn set_target_fault(&self, index: usize, fault: Value) {
        let address = self.target_address(index);
        let (): () = self
            .control_client
            .post(address, "/admin/fault", &fault)
            .await
            .expect("the target answers");
    }

    /// Sets the faults of the platform.
    pub fn set_platform_fault(&self, fault: PlatformFault) {
        self.platform.set(fault);
    }

    /// Sets the faults on the way to the process of that name.
    pub fn set_proxy_fault(&self, name: &str, fault: &Fault) {
        self.proxy(name).set(fault.clone());
    }

    /// Returns the proxy before the process of that name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn proxy(&self, name: &str) -> &Proxy {
        let proxy = self.proxies.iter().find(|proxy| proxy.name == name);
        &proxy.unwrap_or_else(|| panic!("no proxy before {name}")).proxy
    }

    /// Cuts a zone off from the other zones, from the platform, or from both.
    pub fn isolate(&self, zone: usize, others: bool, platform: bool) {
        let sources = |inside: bool| {
            let entries = self.entries.iter().filter(move |entry| (entry.zone == zone) == inside);
            entries.map(|entry| entry.source_ip).collect::<Vec<IpAddr>>()
        };
        for proxy in &self.proxies {
            let cut_from = match proxy.zone {
                Some(behind) if others && behind == zone => sources(false),
                Some(_) if others => sources(true),
                None if platform => sources(true),
                _ => continue,
            };
            proxy.proxy.set(Fault { cut_from, ..Fault::default() });
        }
    }

    /// Ends the faults of all ways and of the platform.
    pub fn clear_faults(&self) {
        for proxy in &self.proxies {
            proxy.proxy.set(Fault::default());
        }
        self.platform.set(PlatformFault::default());
    }
}
