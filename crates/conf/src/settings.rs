//! The settings of one entry process.

use {
    crate::{
        BoundedU64, Error, ErrorKind,
        parse::{Step, locate, parse},
    },
    key::{Vm, Zone},
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

/// Everything a process is told before it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name that all entries of one fleet share; a peer with another name is refused.
    pub cluster: SmolStr,
    /// The name of this VM in the platform's list.
    pub vm: Vm,
    /// The availability zone of this VM.
    pub zone: Zone,
    /// The address from which this process connects; by default the system chooses.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other entries connect.
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Peer addresses to try before the platform's list of VMs is known.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The threads that carry traffic.
    #[serde(default = "default_threads")]
    pub traffic_threads: BoundedU64<1, 256>,
    /// The lease timing.
    #[serde(default)]
    pub lease: Lease,
    /// The bounds of the control plane.
    #[serde(default)]
    pub control: Control,
    /// The bounds of the data path.
    #[serde(default)]
    pub traffic: Traffic,
    /// The least severe log level that is written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Where metrics are sent, as statsd datagrams.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The timing of leases, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// The life of a lease, counted in the target's clock.
    pub ttl_ms: BoundedU64<100, 600_000>,
    /// The time between renewals.
    pub renew_ms: BoundedU64<10, 60_000>,
    /// The silence after which a target counts as lost.
    pub suspect_ms: BoundedU64<20, 600_000>,
    /// The allowance for clocks that run at different rates.
    pub drift_ms: BoundedU64<1, 60_000>,
    /// The silence after which a peer counts as lost.
    pub peer_lost_ms: BoundedU64<20, 600_000>,
    /// The longest wait for requests in flight before a planned move is given up.
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

/// The bounds of the control plane, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// The time between two looks at the table.
    pub poll_ms: BoundedU64<10, 60_000>,
    /// The time one exchange with the platform may take.
    pub platform_timeout_ms: BoundedU64<10, 60_000>,
    /// The time one exchange with a target may take.
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

/// The bounds of the data path.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// The largest request body that is held so that it can be sent again, in bytes.
    pub held_body_bytes: BoundedU64<0, 16_777_216>,
    /// The requests that may wait for an owner or a place at once.
    pub waiting: BoundedU64<1, 1_000_000>,
    /// The buffer of one connection, in bytes.
    pub buffer_bytes: BoundedU64<8_192, 1_048_576>,
    /// The time between the notice to the balancer and the end of the listening, in milliseconds.
    pub notice_ms: BoundedU64<0, 600_000>,
    /// The longest wait of a stopping process for requests in flight, in milliseconds.
    pub stop_ms: BoundedU64<100, 86_400_000>,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            held_body_bytes: BoundedU64::clamped(64 << 10),
            waiting: BoundedU64::clamped(4_096),
            buffer_bytes: BoundedU64::clamped(64 << 10),
            notice_ms: BoundedU64::clamped(500),
            stop_ms: BoundedU64::clamped(3_600_000),
        }
    }
}

/// The least severe log level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures that need a person.
    Error,
    /// Failures that the fleet repairs itself.
    Warn,
    /// Decisions and changes of state.
    #[default]
    Info,
    /// Details of the control plane.
    Debug,
}

const fn default_threads() -> BoundedU64<1, 256> {
    BoundedU64::clamped(2)
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that tells what is wrong and where.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|error| Error::new(ErrorKind::Unreadable(error.to_string()), None))?;
        Self::parse(&text)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the line and the column of the first value that is wrong.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Self = parse(text)?;
        parsed.check_addresses(text)?;
        parsed.check_lease(text)?;
        Ok(parsed)
    }

    fn check_addresses(&self, text: &str) -> Result<(), Error> {
        let own = [
            ("listen", self.listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        let mut seen = HashSet::new();
        for (field, address) in own {
            if !seen.insert(address) {
                let kind = ErrorKind::Duplicate(address.to_string());
                return Err(Error::new(kind, locate(text, &[Step::Field(field)])));
            }
        }
        let mut peers = HashSet::new();
        for (at, peer) in self.peers.iter().enumerate() {
            if !peers.insert(peer) {
                let path = [Step::Field("peers"), Step::Item(at)];
                let kind = ErrorKind::Duplicate(peer.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    fn check_lease(&self, text: &str) -> Result<(), Error> {
        let lease = &self.lease;
        let wrong = |field, detail: &str| {
            let path = [Step::Field("lease"), Step::Field(field)];
            Err(Error::new(ErrorKind::Contradiction(detail.to_owned()), locate(text, &path)))
        };
        if lease.renew_ms.get() * 2 > lease.suspect_ms.get() {
            return wrong("renew_ms", "expected at most half of suspect_ms");
        }
        if lease.suspect_ms.get() >= lease.ttl_ms.get() {
            return wrong("suspect_ms", "expected less than ttl_ms");
        }
        Ok(())
    }
}

impl Lease {
    /// Returns the life of a lease.
    #[must_use]
    pub const fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms.get())
    }

    /// Returns the time between renewals.
    #[must_use]
    pub const fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.renew_ms.get())
    }

    /// Returns the silence after which a target counts as lost.
    #[must_use]
    pub const fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_ms.get())
    }

    /// Returns the allowance for drift.
    #[must_use]
    pub const fn clock_drift(&self) -> Duration {
        Duration::from_millis(self.drift_ms.get())
    }

    /// Returns the silence after which a peer counts as lost.
    #[must_use]
    pub const fn peer_lost_after(&self) -> Duration {
        Duration::from_millis(self.peer_lost_ms.get())
    }

    /// Returns the longest wait for requests in flight in a planned move.
    #[must_use]
    pub const fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms.get())
    }
}
