//! The settings of an entry process on the users' platform.
//!
//! The platform fills in a template of this form (`deploy/settings.jsonc`) at every start and
//! whenever something in it changes. Unknown fields are ignored there, since a newer platform may
//! add some.

use {
    crate::{BoundedU64, Error, ErrorKind, TimeSpan, parse::parse},
    key::{Vm, Zone},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path},
};

/// The part of the platform's grace that is kept back for the end of the process itself.
const GRACE_RESERVE: TimeSpan = TimeSpan::from_millis(600);

/// Everything a process on the platform is told before it starts.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformSettings {
    /// The name of this VM.
    pub vm: Vm,
    /// The availability zone of this VM.
    pub zone: Zone,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the process takes new connections.
    pub ready_listen: SocketAddr,
    /// Where other entries connect.
    pub peer_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The time from a notice to stop until the process is killed.
    pub grace: TimeSpan,
    /// How long a leaving target may still get work after the store says so.
    pub leaving: TimeSpan,
    /// The limit on retries that all entries share.
    pub retries: Retries,
    /// The longest life of a grant that targets accept.
    pub hold_limit: TimeSpan,
    /// The life of a grant.
    #[serde(default = "default_hold")]
    pub hold: TimeSpan,
    /// The share of a core that this process may use.
    #[serde(default = "default_power")]
    pub power: f64,
    /// The log lines of one kind that may be written in a second.
    #[serde(default = "default_log_rate")]
    pub log_lines_per_s: BoundedU64<1, 100_000>,
}

/// The limit on retries of one service by all entries together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Retries {
    /// The share of its requests.
    pub ratio: f64,
    /// What is allowed beyond the share.
    pub extra: f64,
    /// The time over which both are counted.
    pub window: TimeSpan,
}

const fn default_power() -> f64 {
    1.0
}

const fn default_hold() -> TimeSpan {
    TimeSpan::from_millis(7_500)
}

const fn default_log_rate() -> BoundedU64<1, 100_000> {
    BoundedU64::clamped(50)
}

impl PlatformSettings {
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
        let fleet: Self = parse(text)?;
        let wrong = |detail: &str| Err(Error::new(ErrorKind::Contradiction(detail.into()), None));
        if fleet.grace <= GRACE_RESERVE {
            return wrong("grace: expected more than 600ms");
        }
        if !(0.0..=1.0).contains(&fleet.retries.ratio) || fleet.retries.extra < 0.0 {
            return wrong("retries: expected a ratio from 0 to 1 and an extra of 0 or more");
        }
        if fleet.hold.as_millis() == 0 || fleet.hold > fleet.hold_limit {
            return wrong("hold: expected more than 0 and at most hold_limit");
        }
        Ok(fleet)
    }

    /// Tells whether a settings text is meant for the platform.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the text is no JSON with comments.
    pub fn has_platform_form(text: &str) -> Result<bool, Error> {
        #[derive(Deserialize)]
        struct Probe {
            store: Option<SocketAddr>,
        }
        Ok(parse::<Probe>(text)?.store.is_some())
    }

    /// Returns the time from a notice to stop until the process must have ended by itself.
    #[must_use]
    pub fn stop_timeout(&self) -> std::time::Duration {
        self.grace.as_duration().saturating_sub(GRACE_RESERVE.as_duration())
    }
}
