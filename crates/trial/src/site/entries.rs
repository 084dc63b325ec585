//! The entries of a site.

use {
    super::{Site, ZONE_NAMES},
    crate::{
        fleet::bind_free_address,
        process::{Process, free_address},
    },
    serde_json::{Value, json},
    standin::proxy::{self, Proxy},
    std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
};

/// The program of an entry.
const PROGRAM: &str = "almondworks";

/// An address that is not this machine's: no connection can be opened from it.
const FOREIGN_ADDRESS: &str = "192.0.2.1";

pub(super) struct Entry {
    pub(super) caller_address: SocketAddr,
    pub(super) ready_address: SocketAddr,
    pub(super) peer_address: SocketAddr,
    pub(super) relay_address: SocketAddr,
    pub(super) metrics_address: SocketAddr,
    pub(super) settings_path: PathBuf,
    /// The proxy between the entry and the store.
    pub(super) store_proxy: Arc<Proxy>,
    /// The program that the entry runs: a name in the build directory, or a path.
    pub(super) program: String,
    pub(super) process: Option<Process>,
}

impl Site {
    /// Adds an entry, which has not started yet.
    pub(super) async fn add_entry(
        &mut self,
        index: usize,
        grant_duration_ms: u64,
        store_address: SocketAddr,
    ) {
        let store_proxy = Arc::new(Proxy::default());
        let (proxy_listener, proxied_store_address) = bind_free_address().await;
        tokio::spawn(Arc::clone(&store_proxy).forward_connections(proxy_listener, store_address));
        let [caller_address, ready_address, peer_address, relay_address, metrics_address] =
            [(); 5].map(|()| free_address());
        let vm = format!("e{index}");
        let settings = json!({
            "vm": vm,
            "zone": ZONE_NAMES[index % ZONE_NAMES.len()],
            "listen": caller_address,
            "ready_listen": ready_address,
            "peer_listen": peer_address,
            "relay_listen": relay_address,
            "metrics_listen": metrics_address,
            "store": proxied_store_address,
            "grace": "6s",
            "leaving": "2s",
            "hold_limit": "10s",
            "hold": format!("{grant_duration_ms}ms"),
            "retries": { "ratio": 0.2, "extra": 60, "window": "10s" },
        });
        let settings_path = self.dir.join(format!("{vm}.jsonc"));
        fs::write(&settings_path, settings.to_string())
            .expect("the settings file cannot be written");
        let entry = Entry {
            caller_address,
            ready_address,
            peer_address,
            relay_address,
            metrics_address,
            settings_path,
            store_proxy,
            program: PROGRAM.to_owned(),
            process: None,
        };
        self.entries.push(entry);
    }

    /// Sets a field of an entry's settings for its next start.
    ///
    /// # Panics
    ///
    /// Panics if the settings file cannot be read and written.
    pub fn set_setting(&self, index: usize, field: &str, value: Value) {
        let path = &self.entries[index].settings_path;
        let text = fs::read_to_string(path).expect("the settings file cannot be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings in JSON");
        settings[field] = value;
        fs::write(path, settings.to_string()).expect("the settings file cannot be written");
    }

    /// Sets the program that an entry runs from its next start on, such as that of an earlier
    /// release; `None` is the present one.
    pub fn set_program(&mut self, index: usize, path: Option<&str>) {
        self.entries[index].program = path.unwrap_or(PROGRAM).to_owned();
    }

    /// Starts an entry that is not running.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.entries[index].settings_path.display().to_string();
        let arguments = ["entry".to_owned(), "--settings".to_owned(), settings];
        let program = &self.entries[index].program;
        let process = Process::start(program, &arguments, &self.entry_log_path(index));
        self.entries[index].process = Some(process);
    }

    /// Replaces the faults of the proxy between an entry and the store.
    pub fn set_store_proxy_fault(&self, index: usize, fault: proxy::Fault) {
        self.entries[index].store_proxy.set_fault(fault);
    }

    /// Returns the address at which an entry serves other entries.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.entries[index].peer_address
    }

    /// Returns the path of an entry's log file.
    #[must_use]
    pub fn entry_log_path(&self, index: usize) -> PathBuf {
        self.dir.join(format!("e{index}.log"))
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Restarts an entry in such a way that it can open no connection to a target.
    pub fn restart_isolated(&mut self, index: usize) {
        self.kill_entry(index);
        self.set_setting(index, "source", json!(FOREIGN_ADDRESS));
        self.start_entry(index);
    }

    /// Kills an entry with SIGKILL while requests to the site are pending, and leaves it there.
    pub fn kill_entry_now(&self, index: usize) {
        if let Some(process) = &self.entries[index].process {
            process.send_kill();
        }
    }

    /// Sends SIGTERM to an entry, which starts a planned stop.
    pub fn terminate_entry(&self, index: usize) {
        if let Some(process) = &self.entries[index].process {
            process.terminate();
        }
    }

    /// Waits for an entry to exit and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not running or does not exit within 10 seconds.
    pub fn wait_for_exit_code(&mut self, index: usize) -> Option<i32> {
        let mut process = self.entries[index].process.take().expect("the entry is not running");
        process
            .wait_for_exit(Duration::from_secs(10))
            .expect("the entry did not exit in time")
            .code()
    }

    /// Returns the resident memory of an entry, in kilobytes; zero if it is not running.
    #[must_use]
    pub fn entry_memory_kb(&self, index: usize) -> u64 {
        self.entries[index].process.as_ref().map_or(0, Process::memory_kb)
    }

    /// Returns the number of open file descriptors of an entry; zero if it is not running.
    #[must_use]
    pub fn entry_descriptors(&self, index: usize) -> usize {
        self.entries[index].process.as_ref().map_or(0, Process::descriptors)
    }

    /// Returns the address at which an entry serves callers.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.entries[index].caller_address
    }

    /// Returns the address at which the load balancer checks an entry.
    #[must_use]
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        self.entries[index].ready_address
    }

    /// Returns the address at which an entry takes requests from isolated ones.
    #[must_use]
    pub fn relay_address(&self, index: usize) -> SocketAddr {
        self.entries[index].relay_address
    }

    /// Suspends an entry with SIGSTOP, or resumes it.
    pub fn set_entry_paused(&self, index: usize, paused: bool) {
        if let Some(process) = &self.entries[index].process {
            if paused { process.pause() } else { process.resume() }
        }
    }
}
