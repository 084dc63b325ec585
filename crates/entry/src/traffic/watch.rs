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
pub(crate) struct Watch {
    service: Arc<Service>,
    target: Option<Arc<Target>>,
    started: Instant,
    latency: Option<Duration>,
    verdict: Option<bool>,
    _place: OwnedSemaphorePermit,
}

impl Watch {
    pub(crate) fn new(
        service: Arc<Service>,
        started: Instant,
        place: OwnedSemaphorePermit,
    ) -> Self {
        Self { service, target: None, started, latency: None, verdict: None, _place: place }
    }

    /// Notes that the answer was passed on whole.
    pub(crate) fn serve(&mut self) {
        self.verdict = Some(true);
    }

    /// Notes that the answer broke off on the target's side.
    pub(crate) fn fail(&mut self) {
        self.verdict = Some(false);
    }

    /// Notes a refusal, which counts against the service unless the caller is at fault.
    pub(crate) fn refuse(&mut self, reason: Reason) {
        self.verdict = Some(reason.is_callers_fault());
    }

    /// Notes the target whose answer has begun.
    pub(crate) fn answered_by(&mut self, target: &Arc<Target>) {
        self.latency = Some(self.started.elapsed());
        self.leave();
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        self.target = Some(Arc::clone(target));
    }

    fn leave(&mut self) {
        if let Some(target) = self.target.take() {
            target.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.leave();
        let latency = self.latency.unwrap_or_else(|| self.started.elapsed());
        // A caller that went away took no harm from the service.
        let served = self.verdict.unwrap_or(true);
        self.service.live.finish(&self.service.conf, served, latency);
    }
}

/// Counts an attempt as in flight at its target.
pub(crate) struct InFlight(Arc<Target>);

impl InFlight {
    pub(crate) fn new(target: &Arc<Target>) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(target))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
