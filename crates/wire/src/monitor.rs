//! What can be proved of a connection from this side of it.
//!
//! An HTTP library reports that a connection failed with a request, but not whether it had written
//! any of it. A [`Socket`] counts the bytes that the kernel took, so that a request of which none
//! was written is known not to have run. A [`Monitor`] also tells whether an idle connection can
//! still be used: the task that drives it learns of its end only after the runtime has polled the
//! sockets, and a busy process may hand a request to it before that.

use {
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        sync::{
            Arc, Weak,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP connection whose written bytes are counted.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<TcpStream>,
    written: Arc<AtomicU64>,
}

/// The view of a [`Socket`] that another task owns. It does not keep the connection open.
#[derive(Clone, Debug)]
pub struct Monitor {
    stream: Weak<TcpStream>,
    written: Arc<AtomicU64>,
}

/// Returns a connection with its monitor.
#[must_use]
pub fn monitor(stream: TcpStream) -> (Socket, Monitor) {
    let (stream, written) = (Arc::new(stream), Arc::new(AtomicU64::new(0)));
    let monitor = Monitor { stream: Arc::downgrade(&stream), written: Arc::clone(&written) };
    (Socket { stream, written }, monitor)
}

impl Monitor {
    /// Returns the number of bytes that were written to the connection.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns true if the connection is open and nothing has arrived that was not read: neither
    /// bytes nor its end, by what the kernel knows now.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Socket {
    /// Writes with `write` once the kernel takes bytes, and counts them.
    fn write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Ok(count) => {
                    self.written.fetch_add(count as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(count));
                }
                // The failed call has cleared the readiness.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                // The failed call has cleared the readiness.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
