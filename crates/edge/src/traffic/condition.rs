//! Whether a target can be used, by what this entry has seen of it and heard from it.

use {
    crate::sync::lock,
    hold::Span,
    key::{Version, clock::Tick},
    route::{Backpressure, backpressure::Intake},
    std::{
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The back-off after a target could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(400);

/// The time for which a target that only other entries reach is not tried from here.
const RELAYED_BACKOFF: Duration = Duration::from_millis(1_500);

/// The time for which requests to a target that no other entry reached are not passed on.
const UNREACHED_BACKOFF: Duration = Duration::from_secs(1);

/// The time for which a target gets no requests for keys that it denied to hold.
const DENIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The closing time of a target that is not leaving, in microseconds since boot.
const NEVER_CLOSES_US: u64 = u64::MAX;

/// Keys that the target denied to hold.
#[derive(Debug)]
struct DeniedSpan {
    span: Span,
    /// The version of the map that names it as their holder.
    map_version: Version,
    until: Instant,
}

/// The condition of one instance of a target.
#[derive(Debug)]
pub(crate) struct Condition {
    /// The end of the back-off after a failed connection.
    unreachable_until: Mutex<Option<Instant>>,
    /// The time until which no other entry is taken to reach the target.
    unreached_elsewhere_until: Mutex<Option<Instant>>,
    /// Whether another target answers at the address.
    ended: AtomicBool,
    /// When the target takes no more requests by its registration, in microseconds since boot.
    closes_at_us: AtomicU64,
    /// When the target takes no more requests by its own word, which it cannot take back.
    leaves_at_us: AtomicU64,
    backpressure: Mutex<Backpressure>,
    denied_spans: Mutex<Vec<DeniedSpan>>,
}

impl Default for Condition {
    fn default() -> Self {
        Self {
            unreachable_until: Mutex::default(),
            unreached_elsewhere_until: Mutex::default(),
            ended: AtomicBool::new(false),
            closes_at_us: AtomicU64::new(NEVER_CLOSES_US),
            leaves_at_us: AtomicU64::new(NEVER_CLOSES_US),
            backpressure: Mutex::default(),
            denied_spans: Mutex::default(),
        }
    }
}

impl Condition {
    /// Records that a connection to the target was opened.
    pub(crate) fn record_reached(&self) {
        *lock(&self.unreachable_until) = None;
    }

    /// Records that the target could not be reached.
    pub(crate) fn record_unreachable(&self) {
        self.avoid_for(UNREACHABLE_BACKOFF);
    }

    /// Records that another target answers at the address. Returns true if that is new.
    pub(crate) fn record_end(&self) -> bool {
        !self.ended.swap(true, Ordering::Relaxed)
    }

    /// Keeps requests away from the target for a while, such as from an entry that reaches no
    /// target itself.
    pub(crate) fn avoid_for(&self, span: Duration) {
        *lock(&self.unreachable_until) = Some(Instant::now() + span);
    }

    /// Returns true if the last connection to the target failed a short time ago, and another entry
    /// may reach it.
    pub(crate) fn may_be_reached_elsewhere(&self) -> bool {
        let now = Instant::now();
        let is_pending = |until: &Mutex<Option<Instant>>| lock(until).is_some_and(|at| now < at);
        is_pending(&self.unreachable_until)
            && !is_pending(&self.unreached_elsewhere_until)
            && !self.ended.load(Ordering::Relaxed)
            && !self.is_closed()
    }

    /// Records whether another entry reached the target that this one did not. If so, this entry
    /// leaves it to the others for longer.
    pub(crate) fn record_relayed(&self, reached: bool) {
        if reached {
            self.avoid_for(RELAYED_BACKOFF);
        } else {
            *lock(&self.unreached_elsewhere_until) = Some(Instant::now() + UNREACHED_BACKOFF);
        }
    }

    /// Records that the target shed a request.
    pub(crate) fn record_shed(&self) {
        lock(&self.backpressure).record_shed(Instant::now());
    }

    /// Records that a request at the target has had no response for longer than such requests
    /// take, so that others are preferred for a while.
    pub(crate) fn record_hang(&self) {
        lock(&self.backpressure).record_hang(Instant::now());
    }

    /// Records that such a request was answered after all.
    pub(crate) fn record_late_answer(&self) {
        lock(&self.backpressure).record_late_answer();
    }

    /// Records that the target denied to hold keys that a map assigns to it.
    pub(crate) fn record_denial(&self, span: Span, map_version: Version) {
        let now = Instant::now();
        let mut denied_spans = lock(&self.denied_spans);
        denied_spans.retain(|denied| now < denied.until && denied.span != span);
        denied_spans.push(DeniedSpan { span, map_version, until: now + DENIAL_BACKOFF });
    }

    /// Returns true if the target denied to hold a key recently, and no newer map assigns the key
    /// to it.
    pub(crate) fn has_denied(&self, key: u16, map_version: Version) -> bool {
        let now = Instant::now();
        lock(&self.denied_spans).iter().any(|denied| {
            now < denied.until && denied.map_version >= map_version && denied.span.contains(key)
        })
    }

    /// Sets when the target takes no more requests; `None` if it is not leaving.
    pub(crate) fn set_closing_time(&self, closes_at: Option<Tick>) {
        self.closes_at_us
            .store(closes_at.map_or(NEVER_CLOSES_US, Tick::as_micros), Ordering::Relaxed);
    }

    /// Returns true if the target takes no more requests.
    pub(crate) fn is_closed(&self) -> bool {
        let closes_at_us = self
            .closes_at_us
            .load(Ordering::Relaxed)
            .min(self.leaves_at_us.load(Ordering::Relaxed));
        closes_at_us != NEVER_CLOSES_US && Tick::now().as_micros() >= closes_at_us
    }

    /// Records that the target said that it leaves and takes no requests from `leaves_at` on.
    /// Returns true if that is new; a later word changes nothing.
    pub(crate) fn record_leaving(&self, leaves_at: Tick) -> bool {
        let (new, known) = (leaves_at.as_micros(), NEVER_CLOSES_US);
        let order = Ordering::Relaxed;
        self.leaves_at_us.compare_exchange(known, new, order, order).is_ok()
    }

    /// Records that the target wants nothing for `span`. Returns true if it wanted something
    /// before.
    pub(crate) fn record_deferral(&self, span: Duration) -> bool {
        lock(&self.backpressure).record_deferral(span, Instant::now())
    }

    /// Records that the target took a request: it wants more.
    pub(crate) fn record_taken(&self) {
        lock(&self.backpressure).record_taken(Instant::now());
    }

    /// Returns for how long the target wants nothing, if it does.
    pub(crate) fn deferred_for(&self) -> Option<Duration> {
        lock(&self.backpressure).deferred_for(Instant::now())
    }

    /// Returns what the target takes besides `others` that are in flight. `is_over_limit` says that
    /// it has no permit left under its rate limit.
    pub(crate) fn intake(&self, others: usize, is_over_limit: bool) -> Intake {
        lock(&self.backpressure).intake(others, is_over_limit, Instant::now())
    }

    /// Returns true if the target has ended, is closed, or could not be reached recently.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
            || self.is_closed()
            || lock(&self.unreachable_until).is_some_and(|until| Instant::now() < until)
    }
}
