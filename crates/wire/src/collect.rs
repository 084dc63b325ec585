//! Reading the body of a request within the limits of the process.

use {
    crate::limiter::{Held, Permit},
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    quota::{Phase, next_capacity},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    thiserror::Error as Derive,
};

/// Why a body was not read whole.
#[derive(Debug, Derive)]
pub enum CollectError {
    /// It is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The process holds too much for others.
    #[error("there is no room for the body")]
    NoRoom,
    /// The connection broke.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of up to `limit` bytes into one buffer. Frames are copied, since a small one would
/// keep the whole buffer that it was read into.
///
/// # Errors
///
/// Returns a [`CollectError`] if the body is longer, breaks off, or has no room.
pub async fn collect(
    mut incoming: Incoming,
    limit: usize,
    permit: Option<&Permit>,
) -> Result<Bytes, CollectError> {
    let expected = incoming.size_hint().exact().map(|size| size as usize);
    if expected.is_some_and(|size| size > limit) {
        return Err(CollectError::TooLong(limit));
    }
    let mut bytes = Vec::new();
    let mut reservation = permit.map(Permit::reservation);
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(CollectError::TooLong(limit));
        }
        let capacity = next_capacity(bytes.capacity(), needed, expected);
        if let Some(reservation) = &mut reservation
            && !reservation.make_room(capacity).await
        {
            return Err(CollectError::NoRoom);
        }
        bytes.reserve_exact(capacity - bytes.len());
        bytes.extend_from_slice(&data);
    }
    if let Some(permit) = permit {
        permit.set_phase(Phase::Running);
    }
    Ok(match reservation {
        Some(reservation) if !bytes.is_empty() => Held { bytes, reservation }.into(),
        _ => bytes.into(),
    })
}

impl Permit {
    /// Records that a request head was received, and hands the permit to the request's handler.
    pub fn begin<B: Body>(&self, request: &mut Request<B>) {
        let is_whole = request.body().is_end_stream();
        self.set_phase(if is_whole { Phase::Running } else { Phase::Receiving });
        request.extensions_mut().insert(self.clone());
    }

    /// Records that a response begins, and its end as soon as its body was handed over.
    pub fn respond<B>(&self, response: Response<B>) -> Response<Tracked<B>> {
        self.set_phase(Phase::Sending);
        response.map(|body| Tracked { body, permit: self.clone() })
    }
}

/// The body of a response, whose end is recorded.
#[derive(Debug)]
pub struct Tracked<B> {
    body: B,
    permit: Permit,
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.permit.set_phase(Phase::Idle);
    }
}

impl<B: Body + Unpin> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
