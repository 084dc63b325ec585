//! The stream of a connection whose transfers are counted.
//!
//! The HTTP library keeps what it has read and not yet handed over, and responses that were not yet
//! written. How much that is can only be estimated from here: at most twice what was read for a
//! request, since buffers grow by doubling, and at most two full buffers.

use {
    crate::limiter::{Permit, Reservation},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The size of a buffer of one connection, in bytes, which is also the largest request head.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// The steps in which the estimate grows, so that it changes rarely.
const STEP: usize = 8 << 10;

/// What is read of a request before its buffers are counted: each connection is counted with its
/// first ones.
const FREE_BYTES: usize = 4 << 10;

/// A connection whose transfers are counted. Reading fails once there is no room for more.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    permit: Permit,
    buffers: Reservation,
    /// What the buffers hold at most, in bytes.
    max_buffers: usize,
    /// The bytes read since something was last written.
    read: usize,
    is_blocked: bool,
}

impl Metered {
    /// Returns the stream of a connection that has a permit, and whose buffers for reading and for
    /// writing have up to `buffer_bytes` each.
    #[must_use]
    pub fn new(stream: TcpStream, permit: Permit, buffer_bytes: usize) -> Self {
        let buffers = permit.reservation();
        let max_buffers = 2 * buffer_bytes;
        Self { stream, permit, buffers, max_buffers, read: 0, is_blocked: false }
    }

    fn record_read(&mut self, bytes: usize) -> io::Result<()> {
        self.read += bytes;
        self.permit.record_received(bytes);
        if self.read <= FREE_BYTES {
            return Ok(());
        }
        self.hold((2 * self.read).next_multiple_of(STEP).min(self.max_buffers))
    }

    fn hold(&mut self, bytes: usize) -> io::Result<()> {
        if self.buffers.grow_to(bytes) {
            return Ok(());
        }
        self.buffers.close_one();
        Err(io::ErrorKind::OutOfMemory.into())
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if self.is_blocked != is_blocked {
            self.is_blocked = is_blocked;
            self.permit.set_blocked(is_blocked);
        }
    }

    /// Records the result of a write.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>) -> io::Result<()> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.permit.record_sent(*bytes);
                self.set_blocked(false);
                self.read = 0;
                self.buffers.shrink_to(0);
                Ok(())
            }
            Poll::Pending if !self.is_blocked => {
                self.set_blocked(true);
                self.hold(self.max_buffers)
            }
            _ => Ok(()),
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            this.record_read(bytes)?;
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.record_write(&written)?;
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.record_write(&written)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
