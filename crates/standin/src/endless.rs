//! A stand-in for a target in trouble, which sends bytes without end until its caller closes.

use {
    crate::raw::{read_request, serve_connections},
    std::{
        io,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{self, Instant},
    },
};

/// The bytes after which the target pauses for good, to spare the machine that runs the test.
const MAX_BYTES: usize = 96 << 20;

const CHUNK_BYTES: usize = 32 << 10;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One header line.
    Head,
    /// Headers, one after the other.
    Headers,
    /// Interim responses.
    Interim,
    /// A body in chunks.
    Chunked,
    /// A body that ends with the connection.
    Unframed,
    /// A body that is far larger than its caller can wait for.
    Sized,
    /// The body of a response that states that the request was not run.
    Denial,
    /// A body in chunks that stops short of a megabyte, and goes on by a few bytes at a time.
    Trickle,
}

/// A target that answers every request without end.
#[derive(Debug)]
pub struct Endless {
    kind: Kind,
    /// How long each connection was held open after its request.
    held: Mutex<Vec<Duration>>,
}

impl Endless {
    /// Returns a target of a kind.
    #[must_use]
    pub fn new(kind: Kind) -> Arc<Self> {
        Arc::new(Self { kind, held: Mutex::default() })
    }

    /// Returns how long each connection that is closed by now was held after its request.
    #[must_use]
    pub fn held(&self) -> Vec<Duration> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Serves connections on `listener`, forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve_connections(listener, |stream| {
            let target = Arc::clone(&self);
            async move { target.answer(stream).await }
        })
        .await;
    }

    async fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let Some(id) = read_request(&mut stream).await? else { return Ok(()) };
        let started_at = Instant::now();
        let sent = self.send(&mut stream, &id).await;
        if sent.is_ok() {
            stream.read_to_end(&mut Vec::new()).await.ok();
        }
        self.held.lock().unwrap_or_else(PoisonError::into_inner).push(started_at.elapsed());
        sent
    }

    async fn send(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let signed = format!("attempt-id: {id}\r\nresponse-signature: s1\r\n");
        let (head, unit) = match self.kind {
            Kind::Head => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "a".repeat(CHUNK_BYTES)),
            Kind::Headers => ("HTTP/1.1 200 OK\r\n".to_owned(), "x-more: 1\r\n".repeat(2_000)),
            Kind::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000)),
            Kind::Chunked | Kind::Trickle => (
                format!("HTTP/1.1 200 OK\r\n{signed}transfer-encoding: chunked\r\n\r\n"),
                format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES)),
            ),
            Kind::Unframed => (format!("HTTP/1.1 200 OK\r\n{signed}\r\n"), "b".repeat(CHUNK_BYTES)),
            Kind::Sized => (
                format!("HTTP/1.1 200 OK\r\n{signed}content-length: 999999999999\r\n\r\n"),
                "b".repeat(CHUNK_BYTES),
            ),
            Kind::Denial => (
                format!("HTTP/1.1 503 Full\r\n{signed}not-executed: 1\r\n\r\n"),
                "b".repeat(CHUNK_BYTES),
            ),
        };
        stream.write_all(head.as_bytes()).await?;
        if self.kind == Kind::Trickle {
            return trickle(stream, &unit).await;
        }
        for _ in 0..MAX_BYTES / unit.len() {
            stream.write_all(unit.as_bytes()).await?;
            time::sleep(Duration::from_micros(50)).await;
        }
        Ok(())
    }
}

/// Sends a part of a body at once, and then a chunk of one byte every now and then.
async fn trickle(stream: &mut TcpStream, unit: &str) -> io::Result<()> {
    const FAST_UNITS: usize = 7;
    const SLOW_CHUNKS: usize = 100;
    const SLOW_INTERVAL: Duration = Duration::from_millis(100);
    for _ in 0..FAST_UNITS {
        stream.write_all(unit.as_bytes()).await?;
    }
    for _ in 0..SLOW_CHUNKS {
        stream.write_all(b"1\r\nb\r\n").await?;
        time::sleep(SLOW_INTERVAL).await;
    }
    Ok(())
}
