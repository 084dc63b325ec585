//! What a caller is told about a request that was not answered.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a refused request has run. There is no third value: part of an answer is never passed
/// off as one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It has not run and will not run: no byte was sent, or the target proved it.
    #[display("not-run")]
    NotRun,
    /// It may have run, or may yet.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The entry knows no routing text yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The path names no service of the operators' text.
    #[display("unknown-service")]
    UnknownService,
    /// The request carries no key where the service expects one.
    #[display("no-key")]
    NoKey,
    /// A header of the request cannot be read.
    #[display("bad-header")]
    BadHeader,
    /// No target owns the key at present.
    #[display("no-owner")]
    NoOwner,
    /// No target of the service could be reached.
    #[display("unreachable")]
    Unreachable,
    /// The service has more to do than its limits allow.
    #[display("overloaded")]
    Overloaded,
    /// A service that this one needs is down.
    #[display("dependency-down")]
    DependencyDown,
    /// The request was in flight when several targets crashed.
    #[display("quarantined")]
    Quarantined,
    /// The claim that keeps a request from running twice cannot be recorded.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// A request with the same idempotency key was sent before.
    #[display("duplicate")]
    Duplicate,
    /// The deadline passed before an answer began.
    #[display("deadline")]
    Deadline,
    /// The connection to the target broke before an answer began.
    #[display("connection-lost")]
    ConnectionLost,
    /// The target's answer was not the answer to this request.
    #[display("mismatched-answer")]
    MismatchedAnswer,
    /// The target's answer does not say where it ends, so that a cut would look whole.
    #[display("unframed-answer")]
    UnframedAnswer,
    /// The caller speaks a version of HTTP in which a cut answer would look whole.
    #[display("old-protocol")]
    OldProtocol,
    /// The caller's request body broke off.
    #[display("bad-body")]
    BadBody,
}

impl Reason {
    /// Returns the HTTP status that goes with the reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::NoKey | Self::BadHeader | Self::BadBody => 400,
            Self::Duplicate => 409,
            Self::Deadline => 504,
            Self::ConnectionLost | Self::MismatchedAnswer | Self::UnframedAnswer => 502,
            Self::OldProtocol => 505,
            _ => 503,
        }
    }

    /// Tells whether the request itself is at fault, so that its refusal is no failure of the service.
    #[must_use]
    pub const fn is_callers_fault(self) -> bool {
        matches!(
            self,
            Self::UnknownService
                | Self::NoKey
                | Self::BadHeader
                | Self::BadBody
                | Self::Duplicate
                | Self::OldProtocol
                | Self::Quarantined
        )
    }

    /// Returns after how long the caller may try again, where that makes sense.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoOwner | Self::Unreachable | Self::Overloaded => Some(Duration::from_secs(1)),
            Self::DependencyDown | Self::ClaimUnavailable => Some(Duration::from_secs(5)),
            Self::Quarantined => Some(Duration::from_secs(60)),
            _ => None,
        }
    }
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
}

impl Refusal {
    /// Returns a refusal of a request that has not run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self { outcome: Outcome::NotRun, reason }
    }

    /// Returns a refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason }
    }
}
