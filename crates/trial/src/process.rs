//! Child processes that a test starts, pauses and kills.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        env,
        fs::File,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        time::{Duration, Instant},
    },
};

/// The first port used by tests; the range ends below the system's ephemeral ports.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// The second octet of the first loopback address that a test process listens on. The addresses
/// from which entries connect have lower ones.
const FIRST_OWN_NETWORK: u8 = 64;

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the loopback address on which this test process and its child processes listen. It
/// contains the process id, which has 22 bits at most, so no other process takes a port of it.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, FIRST_OWN_NETWORK + high, middle, low)
}

/// Returns an address to listen on, which no earlier call in this process returned.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
    assert!(offset < PORT_COUNT, "the tests of one process need more ports than there are");
    SocketAddr::from((own_address(), FIRST_PORT + offset))
}

/// Returns the path of a program of this workspace in the build directory of the running test.
fn program_path(name: &str) -> PathBuf {
    let test_path = env::current_exe().unwrap_or_default();
    let dir = test_path.parent().unwrap_or(Path::new("."));
    // Cargo places test executables in `deps`, one level below the programs.
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    dir.join(name)
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and appends its output to the file `log`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started. `cargo build --workspace --bins` builds it.
    pub(crate) fn start(name: &str, arguments: &[String], log: &Path) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file cannot be opened");
        let child = Command::new(program_path(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file handle cannot be duplicated"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {name}: {error}"));
        Self { child }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, signal).ok();
        }
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn send_kill(&self) {
        self.signal(Signal::KILL);
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the CPU time of the threads named `thread`, or of all threads, in ticks of 10 ms.
    pub(crate) fn cpu_ticks(&self, thread: Option<&str>) -> u64 {
        let dir = format!("/proc/{}/task", self.child.id());
        let Ok(tasks) = std::fs::read_dir(dir) else { return 0 };
        let ticks = tasks.flatten().filter_map(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).ok()?;
            let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
            if thread.is_some_and(|thread| thread != name) {
                return None;
            }
            let fields: Vec<&str> = rest.split_whitespace().collect();
            // `utime` and `stime` are fields 14 and 15 of the line; `fields` starts at field 3.
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        });
        ticks.sum()
    }

    /// Returns the resident set size in kilobytes.
    pub(crate) fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or_default()
    }

    /// Returns the number of open file descriptors; zero if the process has ended.
    pub(crate) fn descriptors(&self) -> usize {
        let dir = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(dir).map_or(0, Iterator::count)
    }

    /// Kills the process and waits for it.
    pub(crate) fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for the process to exit and returns its status, or `None` after `limit`.
    pub(crate) fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
