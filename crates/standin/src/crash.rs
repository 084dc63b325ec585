//! The crash of a stand-in's process by a request.

use {
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
    thiserror::Error as Derive,
};

const EXIT_STATUS: i32 = 70;

/// The path segment of requests that crash the target that runs them.
const CRASH: &str = "poison";

/// The end of the path if the crash is slow.
const SLOW_CRASH: &str = "poison/slow";

/// The time for which a process that crashes slowly still accepts connections.
const SLOW_CRASH_TIME: Duration = Duration::from_millis(100);

/// Why a connection is closed without a response.
#[derive(Debug, Derive)]
#[error("the process is about to end")]
pub(crate) struct Ending;

/// The state of a process that may crash slowly.
#[derive(Debug, Default)]
pub(crate) struct Crash {
    has_begun: AtomicBool,
}

impl Crash {
    /// Crashes the process if a request with this path does so. A slow crash only begins here.
    pub(crate) fn run(&self, path: &str) {
        if path.ends_with(SLOW_CRASH) {
            self.has_begun.store(true, Ordering::Relaxed);
            thread::spawn(|| {
                thread::sleep(SLOW_CRASH_TIME);
                now()
            });
        } else if path.contains(CRASH) {
            now()
        }
    }

    /// Returns an error once a slow crash has begun: all connections are closed from then on.
    pub(crate) fn check(&self) -> Result<(), Ending> {
        if self.has_begun.load(Ordering::Relaxed) { Err(Ending) } else { Ok(()) }
    }
}

/// Crashes the process.
pub(crate) fn now() -> ! {
    std::process::exit(EXIT_STATUS)
}
