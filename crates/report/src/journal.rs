//! Structured logs on standard output: one line of JSON for each event.
//!
//! A dedicated thread writes the lines from a bounded queue, so that a stalled reader of the output
//! never blocks a request; lines that find the queue full are dropped and counted. Lines are rate
//! limited by kind: the lines left out are counted, and the next line of the kind carries the
//! count. See docs/OPERATIONS.md.

use {
    serde::Serialize,
    std::{
        collections::HashMap,
        io::{self, Write},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The maximum number of lines that wait for the writer thread.
const QUEUE_CAPACITY: usize = 512;

/// The size from which no more lines are added to a batch, in bytes.
const BATCH_BYTES: usize = 16 << 10;

/// The stack size of the writer thread, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// The window of the rate limit.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Line<'a, T: Serialize> {
    at_ms: u64,
    vm: &'a str,
    kind: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: &'a T,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde requires this signature")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// The rate limit of one kind of line.
#[derive(Debug)]
struct RateLimit {
    window_started_at: Instant,
    written: u64,
    left_out: u64,
}

/// A structured log, written by a background thread.
#[derive(Debug)]
pub struct Journal {
    vm: String,
    max_lines_per_window: u64,
    rate_limits: Mutex<HashMap<&'static str, RateLimit>>,
    queue: SyncSender<Vec<u8>>,
    dropped_lines: AtomicU64,
}

impl Journal {
    /// Starts a log on standard output, with at most `max_lines_per_s` lines of each kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the writer thread cannot be started.
    pub fn start(vm: &str, max_lines_per_s: u64) -> io::Result<Self> {
        Self::with_output(vm, max_lines_per_s, io::stdout())
    }

    /// Starts a log on `output`, with at most `max_lines_per_s` lines of each kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the writer thread cannot be started.
    pub fn with_output(
        vm: &str,
        max_lines_per_s: u64,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&lines, output))?;
        Ok(Self {
            vm: vm.to_owned(),
            max_lines_per_window: max_lines_per_s,
            rate_limits: Mutex::default(),
            queue,
            dropped_lines: AtomicU64::new(0),
        })
    }

    /// Queues a line with `fields`, unless the rate limit of its kind is reached.
    ///
    /// A line that finds the queue full or cannot be serialized is dropped and counted. This method
    /// does not wait for the output.
    pub fn log<T: Serialize>(&self, kind: &'static str, fields: &T) {
        let Some(left_out) = self.admit(kind) else { return };
        let line =
            Line { at_ms: crate::log::wall_clock_ms(), vm: &self.vm, kind, left_out, fields };
        let queued = serde_json::to_vec(&line).is_ok_and(|mut bytes| {
            bytes.push(b'\n');
            self.queue.try_send(bytes).is_ok()
        });
        if !queued {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped, mostly because the queue was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Returns the number of lines left out since the last line of this kind, or `None` if the rate
    /// limit is reached.
    fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut rate_limits = self.rate_limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = rate_limits.entry(kind).or_insert(RateLimit {
            window_started_at: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(limit.window_started_at) >= RATE_LIMIT_WINDOW {
            limit.window_started_at = now;
            limit.written = 0;
        }
        if limit.written >= self.max_lines_per_window {
            limit.left_out += 1;
            return None;
        }
        limit.written += 1;
        Some(std::mem::take(&mut limit.left_out))
    }
}

/// Writes lines to `output` in batches until the log is dropped or the output fails.
fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES {
            match lines.try_recv() {
                Ok(line) => batch.extend(line),
                Err(_) => break,
            }
        }
        // The output has no reader any more, and there is no other place to report the error.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
