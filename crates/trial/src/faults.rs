//! Faults that a test injects into a fleet.

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
    /// Starts an entry that is not running.
    pub fn start_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let arguments = [
            "entry".to_owned(),
            "--settings".to_owned(),
            entry.settings_path.display().to_string(),
        ];
        let log = self.dir.join(format!("{}.log", entry.vm));
        entry.process = Some(Process::start("almondworks", &arguments, &log));
    }

    /// Adds the addresses of all other entries to the settings file of an entry.
    ///
    /// A new process needs them to find its peers while the platform's list of VMs is unavailable.
    ///
    /// # Panics
    ///
    /// Panics if the settings file cannot be read or written.
    pub fn add_peers_to_settings(&self, index: usize) {
        let path = &self.entries[index].settings_path;
        let text = fs::read_to_string(path).expect("the settings file cannot be read");
        let mut settings: Value =
            serde_json::from_str(&text).expect("the settings file is not JSON");
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != index);
        let peers: Vec<SocketAddr> = others.map(|(_, entry)| entry.peer_address).collect();
        merge_json(&mut settings, &json!({ "peers": peers }));
        fs::write(path, settings.to_string()).expect("the settings file cannot be written");
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Suspends an entry with SIGSTOP.
    pub fn pause_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::pause);
    }

    /// Resumes a suspended entry.
    pub fn resume_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::resume);
    }

    /// Sends SIGTERM to an entry, which starts a planned stop.
    pub fn terminate_entry(&self, index: usize) {
        self.entries[index].process.iter().for_each(Process::terminate);
    }

    /// Waits for an entry to exit and returns its status, or `None` after `limit`.
    pub fn wait_for_entry_exit(&mut self, index: usize, limit: Duration) -> Option<ExitStatus> {
        self.entries[index].process.as_mut()?.wait_for_exit(limit)
    }

    /// Starts a target that is not running, with a new incarnation.
    pub fn start_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let log = self.dir.join(format!("{}.log", target.vm));
        target.process = Some(Process::start("standin", &target.arguments, &log));
    }

    /// Kills a target with SIGKILL.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].process = None;
    }

    /// Returns true if the process of a target has exited or was killed.
    pub fn has_target_exited(&mut self, index: usize) -> bool {
        let has_exited = |process: &mut Process| process.wait_for_exit(Duration::ZERO).is_some();
        self.targets[index].process.as_mut().is_none_or(has_exited)
    }

    /// Suspends a target with SIGSTOP.
    pub fn pause_target(&self, index: usize) {
        self.targets[index].process.iter().for_each(Process::pause);
    }

    /// Resumes a suspended target.
    pub fn resume_target(&self, index: usize) {
        self.targets[index].process.iter().for_each(Process::resume);
    }

    /// Sets the state of a target in the platform's list of VMs.
    pub fn set_target_vm_state(&self, index: usize, state: VmState) {
        self.platform.update_vms(vec![VmRecord { state, ..self.targets[index].vm_record.clone() }]);
    }

    /// Sets the state of an entry in the platform's list of VMs.
    ///
    /// The listed address becomes one where nothing listens.
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

    /// Replaces the faults of a target process.
    ///
    /// # Panics
    ///
    /// Panics if the target does not accept them.
    pub async fn set_target_fault(&self, index: usize, fault: Value) {
        let address = self.target_address(index);
        let (): () = self
            .control_client
            .post(address, "/admin/fault", &fault)
            .await
            .expect("the target did not accept the faults");
    }

    /// Replaces the faults of the platform.
    pub fn set_platform_fault(&self, fault: PlatformFault) {
        self.platform.set_fault(fault);
    }

    /// Replaces the faults of the proxy in front of the process `name`.
    pub fn set_proxy_fault(&self, name: &str, fault: &Fault) {
        self.proxy(name).set_fault(fault.clone());
    }

    /// Returns the proxy in front of the process `name`.
    ///
    /// # Panics
    ///
    /// Panics if the process has no proxy.
    #[must_use]
    pub fn proxy(&self, name: &str) -> &Proxy {
        let process_proxy = self.proxies.iter().find(|proxy| proxy.name == name);
        &process_proxy.unwrap_or_else(|| panic!("no proxy in front of {name}")).proxy
    }

    /// Holds back all traffic between a zone and the other zones, the platform, or both.
    pub fn isolate(&self, zone: usize, from_zones: bool, from_platform: bool) {
        let source_ips = |inside: bool| {
            let entries = self.entries.iter().filter(move |entry| (entry.zone == zone) == inside);
            entries.map(|entry| entry.source_ip).collect::<Vec<IpAddr>>()
        };
        for process_proxy in &self.proxies {
            let cut_from = match process_proxy.zone {
                Some(proxied_zone) if from_zones && proxied_zone == zone => source_ips(false),
                Some(_) if from_zones => source_ips(true),
                None if from_platform => source_ips(true),
                _ => continue,
            };
            process_proxy.proxy.set_fault(Fault { cut_from, ..Fault::default() });
        }
    }

    /// Removes the faults of all proxies and of the platform; those of target processes stay.
    pub fn clear_faults(&self) {
        for process_proxy in &self.proxies {
            process_proxy.proxy.set_fault(Fault::default());
        }
        self.platform.set_fault(PlatformFault::default());
    }
}
