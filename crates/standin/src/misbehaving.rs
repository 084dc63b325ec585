//! Callers that respect no limits, on connections without an HTTP client.
//!
//! What a caller sends is made in advance as one [`Script`], which all callers of a [`Crowd`] share,
//! so that a crowd needs little memory in the test.

use {
    bytes::Bytes,
    std::{
        fmt::Write,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinHandle,
        time,
    },
};

/// The interval at which a slow caller sends or reads a byte.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);

/// The time between the connection attempts of a crowd, which spares the caller.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);

/// What a caller sends and how it behaves afterwards.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// The bytes that are sent at once.
    pub bytes: Bytes,
    /// The bytes that are sent slowly after those, one at a time.
    pub slow_bytes: Bytes,
    /// Whether the caller reads, a byte at a time, instead of not at all.
    pub reads_slowly: bool,
}

/// The size and the form of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyPlan {
    /// The size of the body in bytes.
    pub bytes: usize,
    /// The size of a chunk, or `None` for a body in one piece with a `Content-Length`.
    pub chunk: Option<usize>,
    /// The number of bytes of the body that are not sent.
    pub missing: usize,
}

fn head(host: &str, path: &str, fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: {host}\r\n{fields}\r\n")
}

impl Script {
    /// Sends `bytes` and nothing more.
    #[must_use]
    pub fn of(bytes: impl Into<Bytes>) -> Self {
        Self { bytes: bytes.into(), ..Self::default() }
    }

    /// A request with a body.
    #[must_use]
    pub fn body(host: &str, path: &str, plan: BodyPlan) -> Self {
        let sent = plan.bytes - plan.missing;
        let Some(chunk) = plan.chunk else {
            let mut bytes =
                head(host, path, &format!("content-length: {}\r\n", plan.bytes)).into_bytes();
            bytes.resize(bytes.len() + sent, b'x');
            return Self::of(bytes);
        };
        let mut bytes = head(host, path, "transfer-encoding: chunked\r\n").into_bytes();
        let piece = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        for _ in 0..sent / chunk {
            bytes.extend_from_slice(piece.as_bytes());
        }
        if plan.missing == 0 {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        Self::of(bytes)
    }

    /// A request head of very many short fields, which ends if `complete`.
    #[must_use]
    pub fn fields(host: &str, path: &str, count: usize, complete: bool) -> Self {
        let mut text = head(host, path, "content-length: 0\r\n");
        text.truncate(text.len() - 2);
        text += &"a:b\r\n".repeat(count);
        if complete {
            text += "\r\n";
        }
        Self::of(text)
    }

    /// A body of one-byte chunks, each with an extension.
    #[must_use]
    pub fn chunk_extensions(host: &str, path: &str, count: usize) -> Self {
        let mut text = head(host, path, "transfer-encoding: chunked\r\n");
        text += &format!("1;{}\r\nx\r\n", "e=1;".repeat(64)).repeat(count);
        Self::of(text)
    }

    /// A body with trailers that do not end.
    #[must_use]
    pub fn trailers(host: &str, path: &str, count: usize) -> Self {
        let mut text = head(host, path, "transfer-encoding: chunked\r\ntrailer: t\r\n");
        text += "1\r\nx\r\n0\r\n";
        text += &"t:v\r\n".repeat(count);
        Self::of(text)
    }

    /// Requests on one connection, of which no response is read.
    #[must_use]
    pub fn pipelined(host: &str, path: &str, count: usize) -> Self {
        let mut text = String::new();
        for _ in 0..count {
            // Writing to a string cannot fail.
            write!(text, "GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n").ok();
        }
        Self::of(text)
    }

    /// Sends the last `count` bytes slowly.
    #[must_use]
    pub fn slow_from(mut self, at: usize) -> Self {
        self.slow_bytes = self.bytes.split_off(at.min(self.bytes.len()));
        self
    }

    /// Sends the first `count` bytes only.
    #[must_use]
    pub fn cut_at(mut self, at: usize) -> Self {
        self.bytes.truncate(at);
        self
    }

    /// Reads a byte at a time.
    #[must_use]
    pub fn reading_slowly(mut self) -> Self {
        self.reads_slowly = true;
        self
    }
}

/// Callers that follow one script at the same time, until this is dropped. Each keeps its connection
/// open for as long as the other side does.
#[derive(Debug)]
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
    /// The number of callers that have sent what they send at once, or cannot any more.
    settled: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts `count` callers of `address`.
    #[must_use]
    pub fn start(address: SocketAddr, script: &Script, count: usize) -> Self {
        let settled = Arc::new(AtomicUsize::new(0));
        let callers = (0..count).map(|number| {
            let (script, settled) = (script.clone(), Arc::clone(&settled));
            tokio::spawn(async move {
                time::sleep(CONNECT_INTERVAL * number as u32).await;
                let stream = begin(address, &script).await;
                settled.fetch_add(1, Ordering::Relaxed);
                if let Ok(stream) = stream {
                    go_on(stream, &script).await;
                }
            })
        });
        Self { callers: callers.collect(), settled }
    }

    /// Waits until every caller has sent what it sends at once or was cut off, for `limit` at most:
    /// one whose bytes are not read never gets there.
    pub async fn settle(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.settled.load(Ordering::Relaxed) < self.callers.len() && Instant::now() < until {
            time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for caller in &self.callers {
            caller.abort();
        }
    }
}

/// Connects and sends what is sent at once.
async fn begin(address: SocketAddr, script: &Script) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&script.bytes).await?;
    Ok(stream)
}

/// Sends and reads slowly for as long as the connection is open, and then keeps it.
async fn go_on(mut stream: TcpStream, script: &Script) {
    let mut rest = script.slow_bytes.iter();
    loop {
        time::sleep(SLOW_INTERVAL).await;
        if let Some(byte) = rest.next()
            && stream.write_all(&[*byte]).await.is_err()
        {
            return;
        }
        if script.reads_slowly && !matches!(stream.read(&mut [0]).await, Ok(1)) {
            return;
        }
    }
}
