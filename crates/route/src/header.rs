//! The headers between callers, entries and targets.

/// The identity of one attempt; a target repeats it in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// The shard that the request's key belongs to.
pub const SHARD: &str = "x-shard";
/// The fence under which the entry believes the target owns the shard.
pub const FENCE: &str = "x-fence";
/// The milliseconds that remain for the answer's first byte.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The end of the time for starting the request, in milliseconds of the target's clock.
pub const DEADLINE_AT_MS: &str = "x-deadline-at-ms";
/// The target's clock in milliseconds.
pub const TARGET_NOW_MS: &str = "x-target-now-ms";
/// The run of the target.
pub const TARGET_INCARNATION: &str = "x-target-incarnation";
/// Present with the value `leaving` on the answers of a target that will stop soon.
pub const TARGET_STATE: &str = "x-target-state";
/// The value of [`TARGET_STATE`] on a target that will stop soon.
pub const LEAVING: &str = "leaving";
/// The target that answered, for people who look into a request.
pub const SERVED_BY: &str = "x-served-by";
/// Whether a refused request has run: `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Why a request was refused.
pub const REASON: &str = "x-reason";
/// The caller's name for a request, the same on each repeat of it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The reasons with which a target refuses a request that it has not run.
pub mod reason {
    /// The target does not own the shard under the fence of the request.
    pub const NOT_OWNER: &str = "not-owner";
    /// The deadline of the request has passed.
    pub const EXPIRED: &str = "expired";
    /// The target has too much to do.
    pub const SHED: &str = "shed";
    /// The target takes no new work.
    pub const DRAINING: &str = "draining";
}
