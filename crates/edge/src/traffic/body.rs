//! Bodies of responses.
//!
//! A response that is passed on as it arrives has a deadline. At the deadline its connection to the
//! target is closed, even if the caller has stopped reading, and the caller's connection breaks off
//! without the end of the body: a target may send without end, and nothing else would show it.

use {
    crate::traffic::target::Connection,
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Instant,
    },
    thiserror::Error as Derive,
    tokio::{task::JoinHandle, time},
};

/// Why a body ended early. The receiver sees a broken connection, never a complete body.
#[derive(Debug, Derive)]
pub(crate) enum Error {
    /// The connection that the body came from failed.
    #[error("the connection that the body was read from failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The deadline of the request passed before the end of the body.
    #[error("the body did not end before the deadline")]
    Late,
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum Body {
    /// A body that was read whole, or made here.
    Buffered(Bytes),
    /// A target's body, passed on as it arrives.
    Streamed(Box<Stream>),
}

/// A target's body that is passed on as it arrives. If it breaks off, the caller's connection is
/// closed. The connection to the target is released at the end of the body.
#[derive(Debug)]
pub(crate) struct Stream {
    /// What was read before the decision to pass the body on.
    prefix: Bytes,
    incoming: Incoming,
    connection: Option<Connection>,
    /// Whether the deadline has passed. The end of `incoming` means nothing from then on, since it
    /// also ends when its connection is closed here.
    is_late: Arc<AtomicBool>,
    watchdog: JoinHandle<()>,
}

impl Stream {
    /// Returns a body that begins with `prefix` and goes on with `incoming` until `deadline`, at
    /// which `on_late` is called if it has not ended.
    pub(crate) fn new(
        prefix: Bytes,
        incoming: Incoming,
        connection: Connection,
        deadline: Instant,
        on_late: impl FnOnce() + Send + 'static,
    ) -> Self {
        let is_late = Arc::new(AtomicBool::new(false));
        let (flag, driver) = (Arc::clone(&is_late), connection.abort_handle());
        let watchdog = tokio::spawn(async move {
            time::sleep_until(deadline.into()).await;
            flag.store(true, Ordering::Release);
            driver.abort();
            on_late();
        });
        Self { prefix, incoming, connection: Some(connection), is_late, watchdog }
    }

    fn is_late(&self) -> bool {
        self.is_late.load(Ordering::Acquire)
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.is_late() {
            self.connection = None;
            return Poll::Ready(Some(Err(Error::Late)));
        }
        if !self.prefix.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.prefix)))));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match polled {
            Poll::Ready(None) => {
                self.watchdog.abort();
                if let Some(connection) = self.connection.take() {
                    connection.release();
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.connection = None;
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.is_late() && self.prefix.is_empty() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (prefix, rest) = (self.prefix.len() as u64, self.incoming.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.watchdog.abort();
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
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(stream) => stream.size_hint(),
        }
    }
}
