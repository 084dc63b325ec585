//! The settings of an entry process.

use {
    crate::{
        BoundedU64, Error, ErrorKind,
        parse::{Step, locate, parse},
    },
    key::{Vm, Zone},
    quota::Limits,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::HashSet,
        fs,
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// The settings of an entry process, read at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name that all entries of a fleet share. Connections from a peer with another name are
    /// refused.
    pub cluster: SmolStr,
    /// The name of this VM in the platform's list of VMs.
    pub vm: Vm,
    /// The availability zone of this VM.
    pub zone: Zone,
    /// The local address for outgoing connections; by default, the operating system chooses it.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other entries.
    pub peer_listen: SocketAddr,
    /// The address for operators.
    pub operator_listen: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The addresses of peers to connect to before the platform's list of VMs is known.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The number of threads that serve traffic.
    #[serde(default = "default_threads")]
    pub traffic_threads: BoundedU64<1, 256>,
    /// The timing of leases.
    #[serde(default)]
    pub lease: Lease,
    /// The timing of the control plane.
    #[serde(default)]
    pub control: Control,
    /// The limits of the data path.
    #[serde(default)]
    pub traffic: Traffic,
    /// The minimum severity of log messages.
    #[serde(default)]
    pub log_level: LogLevel,
    /// The address to which metrics are sent as statsd datagrams.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The timing of leases, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// The duration of a lease, by the target's clock.
    pub ttl_ms: BoundedU64<100, 600_000>,
    /// The interval between renewals.
    pub renew_ms: BoundedU64<10, 60_000>,
    /// The time without a reply after which a target is considered lost.
    pub suspect_ms: BoundedU64<20, 600_000>,
    /// The margin for clocks that run at different rates.
    pub drift_ms: BoundedU64<1, 60_000>,
    /// The time without a heartbeat after which a peer is considered lost.
    pub peer_lost_ms: BoundedU64<20, 600_000>,
    /// The maximum wait for requests in flight before a planned reassignment is abandoned.
    pub drain_ms: BoundedU64<10, 600_000>,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            ttl_ms: BoundedU64::clamped(1_300),
            renew_ms: BoundedU64::clamped(250),
            suspect_ms: BoundedU64::clamped(700),
            drift_ms: BoundedU64::clamped(20),
            peer_lost_ms: BoundedU64::clamped(600),
            drain_ms: BoundedU64::clamped(2_000),
        }
    }
}

/// The timing of the control plane, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// The interval at which the platform's table is polled.
    pub poll_ms: BoundedU64<10, 60_000>,
    /// The timeout of a request to the platform.
    pub platform_timeout_ms: BoundedU64<10, 60_000>,
    /// The timeout of a control request to a target.
    pub target_timeout_ms: BoundedU64<10, 60_000>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            poll_ms: BoundedU64::clamped(250),
            platform_timeout_ms: BoundedU64::clamped(1_000),
            target_timeout_ms: BoundedU64::clamped(400),
        }
    }
}

/// The limits of the data path.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// The maximum size of a request body that is buffered for a retry, in bytes.
    pub held_body_bytes: BoundedU64<0, 16_777_216>,
    /// The maximum number of requests that wait at once, for an owner of their key or a free slot.
    pub waiting: BoundedU64<1, 1_000_000>,
    /// The buffer size of a connection, in bytes.
    pub buffer_bytes: BoundedU64<8_192, 1_048_576>,
    /// The time between the notice to the load balancer and the close of the listening socket, in
    /// milliseconds.
    pub notice_ms: BoundedU64<0, 600_000>,
    /// The maximum wait of a stopping process for requests in flight, in milliseconds.
    pub stop_ms: BoundedU64<100, 86_400_000>,
    /// The memory that this process may use, in megabytes; without it, only the absurd is excluded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<BoundedU64<16, 16_777_216>>,
    /// The number of file descriptors that this process may have; without it, there is no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<BoundedU64<128, 16_777_216>>,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            held_body_bytes: BoundedU64::clamped(64 << 10),
            waiting: BoundedU64::clamped(4_096),
            buffer_bytes: BoundedU64::clamped(64 << 10),
            notice_ms: BoundedU64::clamped(500),
            stop_ms: BoundedU64::clamped(3_600_000),
            memory: None,
            descriptors: None,
        }
    }
}

impl Traffic {
    /// Returns the limits of what is held for callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits::of_vm(self.memory.map(BoundedU64::get), self.descriptors.map(BoundedU64::get))
    }
}

/// The minimum severity of log messages that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures that need an operator.
    Error,
    /// Also failures from which the fleet recovers by itself.
    Warn,
    /// Also decisions and changes of state.
    #[default]
    Info,
    /// Also details of the control plane.
    Debug,
}

const fn default_threads() -> BoundedU64<1, 256> {
    BoundedU64::clamped(2)
}

impl Settings {
    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the file cannot be read or its content is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|error| Error::new(ErrorKind::Unreadable(error.to_string()), None))?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the line and the column of the first invalid value.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = parse(text)?;
        settings.check_addresses(text)?;
        settings.check_lease(text)?;
        Ok(settings)
    }

    fn check_addresses(&self, text: &str) -> Result<(), Error> {
        let listening = [
            ("listen", self.listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        let mut addresses = HashSet::new();
        for (field, address) in listening {
            if !addresses.insert(address) {
                let kind = ErrorKind::Duplicate(address.to_string());
                return Err(Error::new(kind, locate(text, &[Step::Field(field)])));
            }
        }
        let mut peers = HashSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            if !peers.insert(peer) {
                let path = [Step::Field("peers"), Step::Element(index)];
                let kind = ErrorKind::Duplicate(peer.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    fn check_lease(&self, text: &str) -> Result<(), Error> {
        let lease = &self.lease;
        let contradiction = |field, detail: &str| {
            let path = [Step::Field("lease"), Step::Field(field)];
            Err(Error::new(ErrorKind::Contradiction(detail.to_owned()), locate(text, &path)))
        };
        if lease.renew_ms.get() * 2 > lease.suspect_ms.get() {
            return contradiction("renew_ms", "renew_ms must be at most half of suspect_ms");
        }
        if lease.suspect_ms.get() >= lease.ttl_ms.get() {
            return contradiction("suspect_ms", "suspect_ms must be less than ttl_ms");
        }
        Ok(())
    }
}

impl Lease {
    /// Returns the duration of a lease, by the target's clock.
    #[must_use]
    pub const fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms.get())
    }

    /// Returns the interval between renewals.
    #[must_use]
    pub const fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.renew_ms.get())
    }

    /// Returns the time without a reply after which a target is considered lost.
    #[must_use]
    pub const fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_ms.get())
    }

    /// Returns the margin for clocks that run at different rates.
    #[must_use]
    pub const fn clock_drift(&self) -> Duration {
        Duration::from_millis(self.drift_ms.get())
    }

    /// Returns the time without a heartbeat after which a peer is considered lost.
    #[must_use]
    pub const fn peer_lost_after(&self) -> Duration {
        Duration::from_millis(self.peer_lost_ms.get())
    }

    /// Returns the maximum wait for requests in flight in a planned reassignment.
    #[must_use]
    pub const fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms.get())
    }
}
