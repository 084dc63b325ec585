//! Structured logs on standard output: one line of JSON for each decision.
//!
//! A line is written by a thread of its own from a bounded queue, so that a reader that stalls never
//! holds up a request. Lines of one kind are limited in number for each second; what is left out is
//! counted and the count is written with the next line of that kind. See docs/OPERATIONS.md.

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

/// The lines that may wait for the writer.
const QUEUE: usize = 512;

/// The bytes after which the writer stops gathering lines for one call.
const BATCH_BYTES: usize = 16 << 10;

/// The stack of the writer, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// The time over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

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

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug)]
struct Limit {
    since: Instant,
    written: u64,
    left_out: u64,
}

/// The log of one process.
#[derive(Debug)]
pub struct Journal {
    vm: String,
    lines_per_window: u64,
    limits: Mutex<HashMap<&'static str, Limit>>,
    queue: SyncSender<Vec<u8>>,
    dropped_lines: AtomicU64,
}

impl Journal {
    /// Starts a log on standard output.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the writer's thread cannot be started.
    pub fn start(vm: &str, lines_per_s: u64) -> io::Result<Self> {
        Self::with_output(vm, lines_per_s, io::stdout())
    }

    /// Starts a log on another output.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the writer's thread cannot be started.
    pub fn with_output(
        vm: &str,
        lines_per_s: u64,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write(&lines, output))?;
        Ok(Self {
            vm: vm.to_owned(),
            lines_per_window: lines_per_s,
            limits: Mutex::default(),
            queue,
            dropped_lines: AtomicU64::new(0),
        })
    }

    /// Writes a line with `fields`, unless too many of its kind were written just now.
    pub fn log<T: Serialize>(&self, kind: &'static str, fields: &T) {
        let Some(left_out) = self.admit(kind) else { return };
        let line =
            Line { at_ms: crate::log::wall_clock_ms(), vm: &self.vm, kind, left_out, fields };
        let sent = serde_json::to_vec(&line).is_ok_and(|mut bytes| {
            bytes.push(b'\n');
            self.queue.try_send(bytes).is_ok()
        });
        if !sent {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped because the queue was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }

    /// Returns the lines left out since the last one, if another may be written.
    fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = limits.entry(kind).or_insert(Limit { since: now, written: 0, left_out: 0 });
        if now.duration_since(limit.since) >= WINDOW {
            limit.since = now;
            limit.written = 0;
        }
        if limit.written >= self.lines_per_window {
            limit.left_out += 1;
            return None;
        }
        limit.written += 1;
        Some(std::mem::take(&mut limit.left_out))
    }
}

fn write(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES {
            match lines.try_recv() {
                Ok(line) => batch.extend(line),
                Err(_) => break,
            }
        }
        // Without a reader there is nobody left to tell.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
