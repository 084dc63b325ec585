//! The operators' text: the services, what each needs, and the limits that keep it honest.

use {
    crate::{
        BoundedU64, Error, ErrorKind,
        parse::{Step, locate, parse},
    },
    key::Service as Name,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{collections::HashSet, time::Duration},
};

/// A time in milliseconds, up to ten minutes.
pub type Millis = BoundedU64<1, 600_000>;

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The services, in the order of the text.
    pub services: Vec<Service>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, which is also the first segment of a request's path and the role of its VMs.
    pub name: Name,
    /// How keys are read and owned; absent for a service that any target may answer.
    #[serde(default)]
    pub keyed: Option<Keyed>,
    /// The services that this one needs to answer.
    #[serde(default)]
    pub depends_on: Vec<Name>,
    /// The methods that may run more than once without harm.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<SmolStr>,
    /// The limits of time and load.
    #[serde(default)]
    pub limits: Limits,
    /// The objective that the burn report measures against.
    #[serde(default)]
    pub objective: Objective,
}

/// How the keys of a service are read and owned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keyed {
    /// Where the key stands in a request.
    pub key: KeySource,
    /// The number of shards; it must not change while the service has owners.
    pub shards: BoundedU64<1, 262_144>,
    /// The cells into which the targets of one zone are divided.
    #[serde(default = "default_cells")]
    pub cells_per_zone: BoundedU64<1, 1_024>,
    /// What the targets compare before they obey.
    #[serde(default)]
    pub fencing: Fencing,
    /// What happens to the keys of an availability zone that is cut off.
    #[serde(default)]
    pub isolation: Isolation,
}

/// Where the key of a request stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum KeySource {
    /// The path segment with this number; the service's name is segment zero.
    Segment(BoundedU64<1, 16>),
    /// The value of this header.
    Header(SmolStr),
}

/// What a target compares before it obeys an order about its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses an order or a request with a stamp or fence that is out of date.
    #[default]
    Full,
    /// It keeps to the deadline of its lease but compares neither stamps nor fences.
    Lease,
}

/// What happens to the keys of an availability zone that has lost the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Isolation {
    /// The zone keeps its keys and serves its own callers.
    #[default]
    Hold,
    /// The zone stops after this many milliseconds, and other zones take its keys over.
    MoveAfterMs(BoundedU64<1_000, 600_000>),
}

/// The limits of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The longest time to the first byte of an answer.
    pub deadline_ms: Millis,
    /// The time after which one attempt without a first byte counts as silent.
    pub attempt_ms: Millis,
    /// The longest pause inside a body.
    pub stall_ms: Millis,
    /// The longest wait for a free place before a request is refused.
    pub queue_ms: Millis,
    /// The requests in flight in one entry.
    pub concurrency: BoundedU64<1, 100_000>,
    /// The connections that one target accepts from all entries together.
    pub connections: BoundedU64<1, 10_000>,
    /// The retries allowed for each hundred requests.
    pub retry_percent: BoundedU64<0, 100>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            deadline_ms: BoundedU64::clamped(4_000),
            attempt_ms: BoundedU64::clamped(1_000),
            stall_ms: BoundedU64::clamped(10_000),
            queue_ms: BoundedU64::clamped(500),
            concurrency: BoundedU64::clamped(1_024),
            connections: BoundedU64::clamped(110),
            retry_percent: BoundedU64::clamped(20),
        }
    }
}

impl Limits {
    /// Returns the deadline as a duration.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.get())
    }

    /// Returns the time of one attempt as a duration.
    #[must_use]
    pub const fn attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.attempt_ms.get())
    }

    /// Returns the longest pause in a body as a duration.
    #[must_use]
    pub const fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stall_ms.get())
    }

    /// Returns the longest wait for a place as a duration.
    #[must_use]
    pub const fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_ms.get())
    }
}

/// The service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of requests that must succeed, in millionths.
    pub success_ppm: BoundedU64<0, 1_000_000>,
    /// The latency that counts as a success.
    pub latency_ms: Millis,
}

impl Default for Objective {
    fn default() -> Self {
        Self { success_ppm: BoundedU64::clamped(999_000), latency_ms: BoundedU64::clamped(1_000) }
    }
}

const fn default_cells() -> BoundedU64<1, 1_024> {
    BoundedU64::clamped(1)
}

fn default_idempotent() -> Vec<SmolStr> {
    ["GET", "HEAD", "OPTIONS"].map(SmolStr::new_static).to_vec()
}

impl Service {
    /// Tells whether `method` may run more than once without harm.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|allowed| allowed == method)
    }
}

impl OperatorConfig {
    /// Reads and checks a text.
    ///
    /// ```
    /// let text = conf::OperatorConfig::parse(r#"{ "services": [{ "name": "packs" }] } // one"#)?;
    /// assert_eq!(text.services.len(), 1);
    /// # Ok::<_, conf::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the line and the column of the first value that is wrong.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Self = parse(text)?;
        parsed.check_names(text)?;
        parsed.check_dependencies(text)?;
        parsed.check_circles(text)?;
        Ok(parsed)
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    fn check_names(&self, text: &str) -> Result<(), Error> {
        let mut seen = HashSet::new();
        for (at, service) in self.services.iter().enumerate() {
            let name = service.name.as_str();
            let path = [Step::Field("services"), Step::Item(at), Step::Field("name")];
            if !is_segment(name) {
                let detail = format!("`{name}` is no service name, expected 1 to 64 of a-z 0-9 -");
                return Err(Error::new(ErrorKind::Invalid(detail), locate(text, &path)));
            }
            if !seen.insert(name) {
                let kind = ErrorKind::Duplicate(name.to_owned());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    fn check_dependencies(&self, text: &str) -> Result<(), Error> {
        for (at, service) in self.services.iter().enumerate() {
            for (index, needed) in service.depends_on.iter().enumerate() {
                if self.service(needed.as_str()).is_some() {
                    continue;
                }
                let path = [
                    Step::Field("services"),
                    Step::Item(at),
                    Step::Field("depends_on"),
                    Step::Item(index),
                ];
                let kind = ErrorKind::UnknownDependency(needed.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    fn check_circles(&self, text: &str) -> Result<(), Error> {
        for (at, service) in self.services.iter().enumerate() {
            if self.transitive_dependencies(service).contains(&service.name) {
                let path = [Step::Field("services"), Step::Item(at), Step::Field("depends_on")];
                let kind = ErrorKind::CircularDependency(service.name.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    /// Returns every service that `service` needs, directly or through others.
    #[must_use]
    pub fn transitive_dependencies(&self, service: &Service) -> HashSet<Name> {
        let mut found = HashSet::new();
        let mut open: Vec<&Name> = service.depends_on.iter().collect();
        while let Some(name) = open.pop() {
            if !found.insert(name.clone()) {
                continue;
            }
            if let Some(needed) = self.service(name.as_str()) {
                open.extend(&needed.depends_on);
            }
        }
        found
    }
}

fn is_segment(name: &str) -> bool {
    const LONGEST_NAME: usize = 64;
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= LONGEST_NAME && name.bytes().all(allowed)
}
