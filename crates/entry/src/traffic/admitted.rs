//! A request that was taken on.

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

/// The part of a request body that can still be sent.
#[derive(Debug)]
pub(crate) enum RequestBody {
    Whole(bytes::Bytes),
    Upload(Incoming),
    Spent,
}

/// A request that was taken on.
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
    /// Returns the time left until the answer must have begun.
    pub(crate) fn remaining(&self) -> Duration {
        remaining(self.deadline)
    }

    /// Returns the body for one attempt, if it can be sent.
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

    /// Takes a body back that was proved not to have been sent.
    pub(crate) fn restore(&mut self, body: Body) {
        if let Body::Upload(incoming) = body {
            self.body = RequestBody::Upload(incoming);
        }
    }

    /// Tells whether the request may be sent again although it may have run.
    pub(crate) fn can_repeat(&self) -> bool {
        self.idempotent && !matches!(self.body, RequestBody::Spent)
    }
}
