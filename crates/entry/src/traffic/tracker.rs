//! Following requests to their end, so that each is counted once.

use {
    crate::{snapshot::Service, traffic::target::Target},
    route::Reason,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// Follows a request to its end and counts it.
#[derive(Debug)]
pub(crate) struct RequestTracker {
    service: Arc<Service>,
    target: Option<Arc<Target>>,
    started: Instant,
    latency: Option<Duration>,
    served: Option<bool>,
    _permit: OwnedSemaphorePermit,
}

impl RequestTracker {
    pub(crate) fn new(
        service: Arc<Service>,
        started: Instant,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self { service, target: None, started, latency: None, served: None, _permit: permit }
    }

    /// Notes that the answer was passed on whole.
    pub(crate) fn record_served(&mut self) {
        self.served = Some(true);
    }

    /// Notes that the answer broke off on the target's side.
    pub(crate) fn record_failed(&mut self) {
        self.served = Some(false);
    }

    /// Notes a refusal, which counts against the service unless the caller is at fault.
    pub(crate) fn record_refused(&mut self, reason: Reason) {
        self.served = Some(reason.is_callers_fault());
    }

    /// Notes the target whose answer has begun.
    pub(crate) fn record_response(&mut self, target: &Arc<Target>) {
        self.latency = Some(self.started.elapsed());
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
        let latency = self.latency.unwrap_or_else(|| self.started.elapsed());
        // A caller that went away took no harm from the service.
        let served = self.served.unwrap_or(true);
        self.service.state.record_request(&self.service.conf, served, latency);
    }
}

/// Counts an attempt as in flight at its target.
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
