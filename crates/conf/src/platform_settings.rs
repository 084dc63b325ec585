//! The settings of an entry process on the users' platform.
//!
//! The platform fills in a template of this form (`deploy/settings.jsonc`) at each start of the
//! process and whenever a value in it changes. Unknown fields are ignored, unlike in
//! [`Settings`](crate::Settings), because a newer platform may add some.

use {
    crate::{BoundedU64, Error, ErrorKind, TimeSpan, parse::parse},
    key::{Vm, Zone},
    quota::Limits,
    serde::Deserialize,
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        path::Path,
    },
};

/// The part of `grace` that is reserved for the exit of the process itself.
const GRACE_RESERVE: TimeSpan = TimeSpan::from_millis(600);

/// The settings of an entry process on the users' platform.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformSettings {
    /// The name of this VM.
    pub vm: Vm,
    /// The availability zone of this VM.
    pub zone: Zone,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address at which the load balancer checks whether the process accepts new connections.
    pub ready_listen: SocketAddr,
    /// The address for other entries.
    pub peer_listen: SocketAddr,
    /// The address at which other entries that reach no target pass requests on to this one;
    /// without one, it takes none.
    #[serde(default)]
    pub relay_listen: Option<SocketAddr>,
    /// The address from which metrics are scraped.
    pub metrics_listen: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The local address of connections to targets; by default, the operating system chooses it.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// The time between the signal to stop and the kill of the process.
    pub grace: TimeSpan,
    /// Whether this process belongs to the first start of the whole fleet. Such a process knows that
    /// no key was granted before it started.
    #[serde(default)]
    pub first_start: bool,
    /// The time for which a target may still get requests after the store marked it as leaving.
    pub leaving: TimeSpan,
    /// The time within which an acknowledged routing configuration must be in force. A request that
    /// no route matches is answered 404 only if no newer version existed at most this long ago.
    #[serde(default = "default_routing_apply")]
    pub routing_apply: TimeSpan,
    /// The retry budget that all entries share.
    pub retries: Retries,
    /// How far a cold target may be sent more than its configuration states; without it, no more.
    #[serde(default)]
    pub slow_start: SlowStartMargin,
    /// The time after which the targets of an evacuated availability zone get no more requests.
    #[serde(default = "default_evacuation")]
    pub evacuation: TimeSpan,
    /// The maximum duration of a grant that targets accept.
    pub hold_limit: TimeSpan,
    /// The duration of a grant.
    #[serde(default = "default_hold")]
    pub hold: TimeSpan,
    /// The share of a processor core that this process may use.
    #[serde(default = "default_power")]
    pub power: f64,
    /// The memory that this process may use, in megabytes; without it, only the absurd is excluded.
    #[serde(default)]
    pub memory: Option<BoundedU64<16, 16_777_216>>,
    /// The number of file descriptors that this process may have; without it, there is no limit.
    #[serde(default)]
    pub descriptors: Option<BoundedU64<128, 16_777_216>>,
    /// The maximum number of log lines of one kind a second.
    #[serde(default = "default_log_rate")]
    pub log_lines_per_s: BoundedU64<1, 100_000>,
}

/// The retry budget of one service, for all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Retries {
    /// The number of retries allowed, as a share of the requests to the service.
    pub ratio: f64,
    /// The number of retries allowed in addition to that share.
    pub extra: f64,
    /// The period over which requests and retries are counted.
    pub window: TimeSpan,
}

/// What a cold target gets, at most, in any second: `overshoot` times the rate that its service
/// states, and `slack` requests.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct SlowStartMargin {
    /// The factor on the stated rate.
    pub overshoot: f64,
    /// The number of requests in addition.
    pub slack: f64,
}

impl Default for SlowStartMargin {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

const fn default_evacuation() -> TimeSpan {
    TimeSpan::from_millis(5_000)
}

const fn default_power() -> f64 {
    1.0
}

const fn default_routing_apply() -> TimeSpan {
    TimeSpan::from_millis(2_000)
}

const fn default_hold() -> TimeSpan {
    TimeSpan::from_millis(7_500)
}

const fn default_log_rate() -> BoundedU64<1, 100_000> {
    BoundedU64::clamped(50)
}

impl PlatformSettings {
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
    /// Returns an [`Error`] for the first value that is invalid. One of the kind
    /// [`ErrorKind::Contradiction`] has no position.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = parse(text)?;
        let contradiction =
            |detail: &str| Err(Error::new(ErrorKind::Contradiction(detail.into()), None));
        if settings.grace <= GRACE_RESERVE {
            return contradiction("grace must be longer than 600ms");
        }
        if !(0.0..=1.0).contains(&settings.retries.ratio) || settings.retries.extra < 0.0 {
            return contradiction(
                "retries: ratio must be from 0 to 1 and extra must not be negative",
            );
        }
        let SlowStartMargin { overshoot, slack } = settings.slow_start;
        if !(1.0..=100.0).contains(&overshoot) || !(0.0..=1_000_000.0).contains(&slack) {
            return contradiction(
                "slow_start: overshoot must be from 1 to 100 and slack from 0 to 1000000",
            );
        }
        if settings.hold.as_millis() == 0 || settings.hold > settings.hold_limit {
            return contradiction("hold must be at least 1ms and at most hold_limit");
        }
        Ok(settings)
    }

    /// Reports whether `text` holds settings for the users' platform, which alone name a store.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the text is not JSON with comments or `store` is not an address.
    pub fn has_platform_form(text: &str) -> Result<bool, Error> {
        #[derive(Deserialize)]
        struct Probe {
            store: Option<SocketAddr>,
        }
        Ok(parse::<Probe>(text)?.store.is_some())
    }

    /// Returns the limits of what is held for callers and targets.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits::of_vm(self.memory.map(BoundedU64::get), self.descriptors.map(BoundedU64::get))
    }

    /// Returns the time from the signal to stop until the process must have exited by itself.
    #[must_use]
    pub fn stop_timeout(&self) -> std::time::Duration {
        self.grace.as_duration().saturating_sub(GRACE_RESERVE.as_duration())
    }
}
