//! The targets of a site.

use {
    super::{Site, SitePlan, ZONE_NAMES},
    crate::{
        eventually,
        fleet::bind_free_address,
        process::{Process, free_address},
    },
    serde_json::json,
    standin::{
        holder,
        proxy::{self, Proxy},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time},
};

/// A target and the proxy in front of it.
pub(super) struct Target {
    /// Where the process listens.
    pub(super) listen_address: SocketAddr,
    /// The address of the proxy, which the target registers as its own.
    pub(super) registered_address: SocketAddr,
    pub(super) arguments: Vec<String>,
    pub(super) proxy: Arc<Proxy>,
    pub(super) process: Option<Process>,
}

impl Site {
    /// Waits until every target listens, since requests are already served before the last one
    /// does.
    pub(super) async fn wait_until_targets_listen(&self) {
        for target in &self.targets {
            eventually("a target listens", || async {
                TcpStream::connect(target.listen_address).await.ok().map(|_| ())
            })
            .await;
        }
    }

    pub(super) async fn add_target(
        &mut self,
        index: usize,
        plan: &SitePlan,
        store_address: SocketAddr,
    ) {
        let vm = format!("t{index}");
        let keyed = index < plan.keyed_targets;
        let listen_address = free_address();
        let proxy = Arc::new(Proxy::default());
        let (listener, proxy_address) = bind_free_address().await;
        let (admin_listener, _) = bind_free_address().await;
        let registered_address = if plan.proxied { proxy_address } else { listen_address };
        tokio::spawn(Arc::clone(&proxy).serve(listener, listen_address, admin_listener));
        let service = if keyed { "catalogue" } else { "orders" };
        let journal = self.dir.join(format!("{vm}.journal"));
        let mut arguments: Vec<String> = ["holder", "--listen", &listen_address.to_string()]
            .iter()
            .map(ToString::to_string)
            .collect();
        for (name, value) in [
            ("--store", store_address.to_string()),
            ("--journal", journal.display().to_string()),
            ("--vm", vm),
            ("--service", service.to_owned()),
            ("--zone", ZONE_NAMES[index % ZONE_NAMES.len()].to_owned()),
            ("--address", registered_address.to_string()),
        ] {
            arguments.extend([name.to_owned(), value]);
        }
        if keyed {
            arguments.push("--keyed".to_owned());
        }
        let process = Some(Process::start("standin", &arguments, &self.dir.join("targets.log")));
        self.targets.push(Target { listen_address, registered_address, arguments, proxy, process });
    }

    /// Kills a target with SIGKILL.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].process = None;
    }

    /// Starts a target that is not running.
    pub fn start_target(&mut self, index: usize) {
        let log = self.dir.join("targets.log");
        let arguments = self.targets[index].arguments.clone();
        self.targets[index].process = Some(Process::start("standin", &arguments, &log));
    }

    /// Starts a target that is not running, so that it registers as cold for `cold_ms` milliseconds.
    pub fn start_cold_target(&mut self, index: usize, cold_ms: u64) {
        let arguments = &mut self.targets[index].arguments;
        arguments.extend(["--cold-ms".to_owned(), cold_ms.to_string()]);
        self.start_target(index);
    }

    /// Returns the address that a target registers, which is that of its proxy.
    #[must_use]
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.targets[index].registered_address
    }

    /// Replaces the faults of a target process.
    ///
    /// # Panics
    ///
    /// Panics if the target does not accept them.
    pub async fn set_target_fault(&self, index: usize, fault: holder::Fault) {
        let address = self.targets[index].listen_address;
        let result = self.control_client.post::<_, ()>(address, "/admin/fault", &fault).await;
        result.expect("the target did not accept the faults");
    }

    /// Replaces the faults of the proxy in front of a target.
    pub fn set_proxy_fault(&self, index: usize, fault: proxy::Fault) {
        self.targets[index].proxy.set_fault(fault);
    }

    /// Lists a target of the service `orders` that the test serves itself, until `stop` is set: its
    /// registration expires unless it is written again.
    pub async fn keep_listed(&self, address: SocketAddr, stop: &AtomicBool) {
        for sequence in 1_u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let registration = json!({
                "service": "orders", "address": address, "zone": "a", "version": "v1", "slots": 2,
                "state": "ready", "coldLeft": "0ms", "sequence": sequence, "born": 1,
            });
            self.store.write_row("servers", "of-the-test", registration.to_string().as_bytes());
            time::sleep(Duration::from_millis(300)).await;
        }
    }
}
