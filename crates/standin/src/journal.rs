//! Journals of the stand-ins: JSON lines, stamped with the machine's monotonic clock.
//!
//! Processes on one machine share that clock, so lines of several journals can be ordered by time.

use {
    key::{Fence, Incarnation, Shard, Vm, clock::Tick},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        fs::{File, OpenOptions},
        io::{self, Write},
        path::Path,
        sync::Mutex,
    },
};

/// An event in a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The target accepted a lease.
    Leased {
        /// The service.
        service: SmolStr,
        /// The end of the lease, on the machine's clock.
        until: Tick,
        /// The shards and their fencing tokens, or `None` if they didn't change.
        shards: Option<Vec<(Shard, Fence)>>,
    },
    /// A request took effect.
    Ran {
        /// The service.
        service: SmolStr,
        /// The idempotency key of the request, if the caller set one.
        id: Option<String>,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The shard and fencing token of the request, for a keyed service.
        held: Option<(Shard, Fence)>,
    },
    /// The target accepted a grant.
    Granted {
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The fencing token of the grant.
        fence: Fence,
        /// The end of the grant, on the machine's clock.
        until: Tick,
    },
    /// The target released keys.
    Released {
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
    },
    /// A request arrived at a target that says in its responses what it wants.
    Arrived {
        /// The attempt id of the request, if it has one.
        id: Option<String>,
    },
    /// A target that serves keys under grants began to run a request.
    Began {
        /// The service.
        service: SmolStr,
        /// The attempt id of the request, if it has one.
        id: Option<String>,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The key of the request, for a keyed service.
        key: Option<u16>,
    },
    /// A request was refused without running, or a target failed to register in the store.
    Refused {
        /// The idempotency key of the request, if the caller set one.
        id: Option<String>,
        /// The reason.
        reason: String,
    },
    /// A commit to the platform's table took effect.
    Committed {
        /// The rows that were written, with their new versions.
        rows: Vec<(SmolStr, u64)>,
    },
}

/// A line of a journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The time of the event.
    pub at: Tick,
    /// The VM that wrote the line.
    pub vm: Vm,
    /// The incarnation of the process that wrote the line.
    pub incarnation: Incarnation,
    /// The event.
    pub kind: Kind,
}

/// A journal that is open for appending.
#[derive(Debug)]
pub struct Journal {
    file: Option<Mutex<File>>,
    vm: Vm,
    incarnation: Incarnation,
}

impl Journal {
    /// Opens a journal file for appending and records the start of the process.
    ///
    /// Without a path, the journal discards its lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(path: Option<&Path>, vm: Vm, incarnation: Incarnation) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(Mutex::new);
        let journal = Self { file, vm, incarnation };
        journal.write(Tick::now(), Kind::Started);
        Ok(journal)
    }

    /// Appends a line.
    ///
    /// The line goes out in a single write, so that a process that is killed meanwhile leaves no
    /// part of a line that reads as a whole one.
    pub fn write(&self, at: Tick, kind: Kind) {
        let Some(file) = &self.file else { return };
        let line = Line { at, vm: self.vm.clone(), incarnation: self.incarnation, kind };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        let mut file = file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        file.write_all(&text).ok();
    }
}

/// Reads every journal of a folder and returns the lines in the order of time.
///
/// Lines that cannot be parsed are skipped.
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be read.
pub fn read_all(folder: &Path) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_some_and(|extension| extension == "journal") {
            let text = std::fs::read_to_string(path)?;
            lines.extend(text.lines().filter_map(|line| serde_json::from_str::<Line>(line).ok()));
        }
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}
