//! Guards that count requests: each once at its end, and attempts while they are in flight.

use {
    crate::{snapshot::Service, traffic::target::Target},
    route::Reason,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// Counts a request once when it is dropped, at the end of the request.
#[derive(Debug)]
pub(crate) struct RequestTracker {
    service: Arc<Service>,
    target: Option<Arc<Target>>,
    started_at: Instant,
    latency: Option<Duration>,
    served: Option<bool>,
    _permit: OwnedSemaphorePermit,
}

impl RequestTracker {
    pub(crate) fn new(
        service: Arc<Service>,
        started_at: Instant,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self { service, target: None, started_at, latency: None, served: None, _permit: permit }
    }

    /// Records that the response was relayed whole.
    pub(crate) fn record_served(&mut self) {
        self.served = Some(true);
    }

    /// Records that the response broke off on the target's side.
    pub(crate) fn record_failed(&mut self) {
        self.served = Some(false);
    }

    /// Records a refusal, which counts as a failure of the service unless the caller is at fault.
    pub(crate) fn record_refused(&mut self, reason: Reason) {
        self.served = Some(reason.is_callers_fault());
    }

    /// Records that the response of a target has begun, and counts it as in flight there.
    pub(crate) fn record_response(&mut self, target: &Arc<Target>) {
        self.latency = Some(self.started_at.elapsed());
        self.release_target();
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        self.target = Some(Arc::clone(target));
    }

    fn release_target(&mut self) {
        if let Some(target) = self.target.take() {
            target.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.release_target();
        let latency = self.latency.unwrap_or_else(|| self.started_at.elapsed());
        // A request whose caller went away is not a failure of the service.
        let served = self.served.unwrap_or(true);
        self.service.state.record_request(&self.service.conf, served, latency);
    }
}

/// Counts an attempt as in flight at its target until it is dropped.
pub(crate) struct InFlightGuard(Arc<Target>);

impl InFlightGuard {
    pub(crate) fn new(target: &Arc<Target>) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(target))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
