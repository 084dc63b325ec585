//! Bodies that are streamed between caller and target, in no more memory than the connections'
//! buffers.

use {
    crate::traffic::{target::Connection, tracker::RequestTracker},
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    thiserror::Error as Derive,
    tokio::time::{Instant, Sleep, sleep},
};

/// The reason why a body ended early. The receiver sees a broken connection, never a clean end.
#[derive(Debug, Derive)]
pub(crate) enum Error {
    #[error("the connection that the body was read from failed: {0}")]
    Broken(#[from] hyper::Error),
    #[error("no data was received for {0:?}")]
    Stalled(Duration),
}

/// A body in either direction.
#[derive(Debug)]
pub(crate) enum Body {
    /// A body held whole, which can be sent again.
    Whole(Bytes),
    /// A caller's body, streamed to the target.
    Upload(Incoming),
    /// A target's body, streamed to the caller.
    Relay(Box<Relay>),
}

/// The body of a target's response that is streamed to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    incoming: Incoming,
    connection: Option<Connection>,
    stall_timer: Pin<Box<Sleep>>,
    stall_timeout: Duration,
    tracker: RequestTracker,
}

impl Relay {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        stall_timeout: Duration,
        tracker: RequestTracker,
    ) -> Self {
        let stall_timer = Box::pin(sleep(stall_timeout));
        Self { incoming, connection: Some(connection), stall_timer, stall_timeout, tracker }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) {
            return Poll::Ready(match frame {
                Some(Ok(frame)) => {
                    self.stall_timer.as_mut().reset(Instant::now() + self.stall_timeout);
                    Some(Ok(frame))
                }
                Some(Err(error)) => {
                    self.connection = None;
                    self.tracker.record_failed();
                    Some(Err(error.into()))
                }
                None => {
                    self.finish();
                    None
                }
            });
        }
        ready!(self.stall_timer.as_mut().poll(context));
        if let Some(connection) = self.connection.take() {
            connection.target.close_idle();
            self.tracker.record_failed();
        }
        Poll::Ready(Some(Err(Error::Stalled(self.stall_timeout))))
    }

    /// Records the request as served and releases the connection, since the response was read
    /// whole.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.tracker.record_served();
            connection.release();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.incoming.is_end_stream() {
            self.finish();
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Upload(incoming) => {
                Pin::new(incoming).poll_frame(context).map(|frame| frame.map(|frame| Ok(frame?)))
            }
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Upload(incoming) => incoming.is_end_stream(),
            Self::Relay(relay) => relay.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Upload(incoming) => incoming.size_hint(),
            Self::Relay(relay) => relay.incoming.size_hint(),
        }
    }
}
