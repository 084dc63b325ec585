//! Names and values of the HTTP headers between callers, entries and targets.

/// The identifier of one attempt, which a target repeats in its response.
pub const REQUEST_ID: &str = "x-request-id";
/// The shard of the request's key.
pub const SHARD: &str = "x-shard";
/// The fencing token under which the entry believes that the target owns the shard.
pub const FENCE: &str = "x-fence";
/// The time left until the first byte of the response, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The latest time to start the request, in milliseconds of the target's clock.
pub const DEADLINE_AT_MS: &str = "x-deadline-at-ms";
/// The target's clock, in milliseconds.
pub const TARGET_NOW_MS: &str = "x-target-now-ms";
/// The target's incarnation, the number that it draws at each start.
pub const TARGET_INCARNATION: &str = "x-target-incarnation";
/// The state of a target that is shutting down; its only value is [`LEAVING`].
pub const TARGET_STATE: &str = "x-target-state";
/// The value of [`TARGET_STATE`] in responses of a target that will stop soon.
pub const LEAVING: &str = "leaving";
/// The target that sent the response, for diagnosis by people.
pub const SERVED_BY: &str = "x-served-by";
/// Whether a refused request has run: `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Why a request was refused; a target sends one of the values in [`reason`].
pub const REASON: &str = "x-reason";
/// The caller's identifier of a request, the same on each repetition of it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Values of [`REASON`] with which a target refuses a request that it has not run.
pub mod reason {
    /// The target does not own the shard under the fencing token of the request.
    pub const NOT_OWNER: &str = "not-owner";
    /// The deadline of the request has passed.
    pub const EXPIRED: &str = "expired";
    /// The target is overloaded.
    pub const SHED: &str = "shed";
    /// The target is shutting down and accepts no new requests.
    pub const DRAINING: &str = "draining";
}
