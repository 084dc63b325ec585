//! Admitted requests.

use {
    crate::{snapshot::Service, traffic::body::Body},
    http::request::Parts,
    hyper::body::Incoming,
    key::Shard,
    route::quarantine::Fingerprint,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Returns the time left until `deadline`.
pub(crate) fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// The body of a request, as far as it can still be sent.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body, which can be sent any number of times.
    Whole(bytes::Bytes),
    /// A body that is streamed from the caller and can be sent once.
    Upload(Incoming),
    /// A streamed body that was sent.
    Spent,
}

/// A request that has been admitted, with its shard, deadline and body.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) service: Arc<Service>,
    pub(crate) parts: Parts,
    pub(crate) shard: Option<Shard>,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) body: RequestBody,
    pub(crate) fingerprint: Fingerprint,
}

impl AdmittedRequest {
    /// Returns the time left until the response must have begun.
    pub(crate) fn remaining(&self) -> Duration {
        remaining(self.deadline)
    }

    /// Returns the body for one attempt, or `None` if it was already sent and cannot be again.
    pub(crate) fn take_body(&mut self) -> Option<Body> {
        match std::mem::replace(&mut self.body, RequestBody::Spent) {
            RequestBody::Whole(bytes) => {
                self.body = RequestBody::Whole(bytes.clone());
                Some(Body::Whole(bytes))
            }
            RequestBody::Upload(incoming) => Some(Body::Upload(incoming)),
            RequestBody::Spent => None,
        }
    }

    /// Restores a body that has provably not been sent.
    pub(crate) fn restore_body(&mut self, body: Body) {
        if let Body::Upload(incoming) = body {
            self.body = RequestBody::Upload(incoming);
        }
    }

    /// Returns true if the request may be sent again although it may have run.
    pub(crate) fn can_repeat(&self) -> bool {
        self.idempotent && !matches!(self.body, RequestBody::Spent)
    }
}
