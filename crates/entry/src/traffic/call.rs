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
pub(crate) enum Held {
    Whole(bytes::Bytes),
    Upload(Incoming),
    Spent,
}

/// A request that was taken on.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) service: Arc<Service>,
    pub(crate) parts: Parts,
    pub(crate) shard: Option<Shard>,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) held: Held,
    pub(crate) fingerprint: Fingerprint,
}

impl Call {
    /// Returns the time left until the answer must have begun.
    pub(crate) fn remaining(&self) -> Duration {
        remaining(self.deadline)
    }

    /// Returns the body for one attempt, if it can be sent.
    pub(crate) fn body(&mut self) -> Option<Body> {
        match std::mem::replace(&mut self.held, Held::Spent) {
            Held::Whole(bytes) => {
                self.held = Held::Whole(bytes.clone());
                Some(Body::Whole(bytes))
            }
            Held::Upload(incoming) => Some(Body::Upload(incoming)),
            Held::Spent => None,
        }
    }

    /// Takes a body back that was proved not to have been sent.
    pub(crate) fn restore(&mut self, body: Body) {
        if let Body::Upload(incoming) = body {
            self.held = Held::Upload(incoming);
        }
    }

    /// Tells whether the request may be sent again although it may have run.
    pub(crate) fn can_repeat(&self) -> bool {
        self.idempotent && !matches!(self.held, Held::Spent)
    }
}
