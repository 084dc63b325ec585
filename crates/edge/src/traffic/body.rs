//! Bodies of requests and responses.

use {
    crate::traffic::target::Connection,
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of a request to a target, or of a response to a caller.
#[derive(Debug)]
pub(crate) enum Body {
    /// A buffered body, which can be sent again.
    Buffered(Bytes),
    /// A target's body, passed on as it arrives. If it breaks off, the caller's connection is
    /// closed. The connection to the target is released at the end of the body.
    Streamed(Incoming, Option<Box<Connection>>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(incoming, connection) => {
                let polled = Pin::new(incoming).poll_frame(context);
                match &polled {
                    Poll::Ready(None) => {
                        if let Some(connection) = connection.take() {
                            connection.release();
                        }
                    }
                    Poll::Ready(Some(Err(_))) => *connection = None,
                    _ => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(incoming, _) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(incoming, _) => incoming.size_hint(),
        }
    }
}
