//! The operators' configuration: the services, their dependencies, limits and objectives.

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

/// A duration in milliseconds, up to ten minutes.
pub type Millis = BoundedU64<1, 600_000>;

/// The operators' configuration, one version of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The services, in the order of the file.
    pub services: Vec<Service>,
}

/// A service as the operators' configuration defines it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, which is also the first segment of a request's path and the role of its VMs.
    pub name: Name,
    /// How keys are found and owned; absent for a service whose requests any target may serve.
    #[serde(default)]
    pub keyed: Option<Keyed>,
    /// The services that this one needs in order to serve requests.
    #[serde(default)]
    pub depends_on: Vec<Name>,
    /// The methods whose requests are idempotent, so that they may be retried.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<SmolStr>,
    /// The timeouts and load limits.
    #[serde(default)]
    pub limits: Limits,
    /// The service-level objective, against which the error budget's burn rate is measured.
    #[serde(default)]
    pub objective: Objective,
}

/// How the keys of a service are found in requests and owned by targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keyed {
    /// Where a request carries its key.
    pub key: KeySource,
    /// The number of shards. It must not change while shards have owners, because it decides which
    /// shard a key belongs to.
    pub shards: BoundedU64<1, 262_144>,
    /// The number of cells into which the targets of one zone are divided.
    #[serde(default = "default_cells")]
    pub cells_per_zone: BoundedU64<1, 1_024>,
    /// What the targets check before they apply a grant.
    #[serde(default)]
    pub fencing: Fencing,
    /// What happens to the keys of an availability zone that is cut off from the platform.
    #[serde(default)]
    pub isolation: Isolation,
}

/// Where a request carries its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum KeySource {
    /// In the path segment with this index; segment zero is the name of the service.
    Segment(BoundedU64<1, 16>),
    /// In the header with this name.
    Header(SmolStr),
}

/// What a target checks before it applies a grant or runs a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses a grant with an outdated stamp, and a request whose fencing token does not match
    /// its lease.
    #[default]
    Full,
    /// It observes the deadline of its lease, but checks neither stamps nor fencing tokens.
    Lease,
}

/// What happens to the keys of an availability zone that is cut off from the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Isolation {
    /// The targets of the zone keep its keys and serve the callers in the zone.
    #[default]
    Hold,
    /// The zone stops serving after this many milliseconds, and other zones take over its keys.
    MoveAfterMs(BoundedU64<1_000, 600_000>),
}

/// The timeouts and load limits of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum time until the first byte of the response.
    pub deadline_ms: Millis,
    /// The maximum time until the first byte in one attempt of an idempotent request, which is
    /// retried after that.
    pub attempt_ms: Millis,
    /// The maximum time without progress while a body is transferred.
    pub stall_ms: Millis,
    /// The maximum time in the queue for a free slot before a request is refused.
    pub queue_ms: Millis,
    /// The maximum number of requests in flight in one entry.
    pub concurrency: BoundedU64<1, 100_000>,
    /// The number of connections that one target accepts from all entries together.
    pub connections: BoundedU64<1, 10_000>,
    /// The retry budget: the number of retries allowed for every hundred requests.
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
    /// Returns the maximum time until the first byte of the response.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.get())
    }

    /// Returns the maximum time until the first byte in one attempt.
    #[must_use]
    pub const fn attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.attempt_ms.get())
    }

    /// Returns the maximum time without progress while a body is transferred.
    #[must_use]
    pub const fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stall_ms.get())
    }

    /// Returns the maximum time in the queue for a free slot.
    #[must_use]
    pub const fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_ms.get())
    }
}

/// The service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of requests that must succeed, in parts per million.
    pub success_ppm: BoundedU64<0, 1_000_000>,
    /// The maximum latency of a successful request.
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
    /// Returns true if requests with `method` are idempotent.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|allowed| allowed == method)
    }
}

impl OperatorConfig {
    /// Parses and checks a configuration.
    ///
    /// ```
    /// use conf::OperatorConfig;
    ///
    /// let config = OperatorConfig::parse(r#"{ "services": [{ "name": "packs" }] } // one"#)?;
    /// assert_eq!(config.services.len(), 1);
    /// # Ok::<_, conf::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the line and the column of the first invalid value.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let config: Self = parse(text)?;
        config.check_names(text)?;
        config.check_dependencies(text)?;
        config.check_circular_dependencies(text)?;
        Ok(config)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    fn check_names(&self, text: &str) -> Result<(), Error> {
        let mut seen = HashSet::new();
        for (service_index, service) in self.services.iter().enumerate() {
            let name = service.name.as_str();
            let path = [Step::Field("services"), Step::Element(service_index), Step::Field("name")];
            if !is_service_name(name) {
                let detail = format!(
                    "`{name}` is not a service name, expected 1 to 64 characters of a-z 0-9 -"
                );
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
        for (service_index, service) in self.services.iter().enumerate() {
            for (dependency_index, dependency) in service.depends_on.iter().enumerate() {
                if self.service(dependency.as_str()).is_some() {
                    continue;
                }
                let path = [
                    Step::Field("services"),
                    Step::Element(service_index),
                    Step::Field("depends_on"),
                    Step::Element(dependency_index),
                ];
                let kind = ErrorKind::UnknownDependency(dependency.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    fn check_circular_dependencies(&self, text: &str) -> Result<(), Error> {
        for (service_index, service) in self.services.iter().enumerate() {
            if self.transitive_dependencies(service).contains(&service.name) {
                let path = [
                    Step::Field("services"),
                    Step::Element(service_index),
                    Step::Field("depends_on"),
                ];
                let kind = ErrorKind::CircularDependency(service.name.to_string());
                return Err(Error::new(kind, locate(text, &path)));
            }
        }
        Ok(())
    }

    /// Returns the dependencies of `service`, direct and indirect.
    #[must_use]
    pub fn transitive_dependencies(&self, service: &Service) -> HashSet<Name> {
        let mut dependencies = HashSet::new();
        let mut pending: Vec<&Name> = service.depends_on.iter().collect();
        while let Some(name) = pending.pop() {
            if !dependencies.insert(name.clone()) {
                continue;
            }
            if let Some(dependency) = self.service(name.as_str()) {
                pending.extend(&dependency.depends_on);
            }
        }
        dependencies
    }
}

/// Reports whether `name` can be a segment of a path, since the first segment of a request's path
/// names its service.
fn is_service_name(name: &str) -> bool {
    const MAX_NAME_BYTES: usize = 64;
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
