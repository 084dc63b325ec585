//! Journals: JSON lines with the monotonic time of the machine.

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

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The target accepted a lease.
    Leased {
        /// The service.
        service: SmolStr,
        /// The end of the lease on the machine's clock.
        until: Tick,
        /// The shards, left out where they are the same as in the lease before.
        shards: Option<Vec<(Shard, Fence)>>,
    },
    /// A request took effect.
    Ran {
        /// The service.
        service: SmolStr,
        /// The caller's identity of the request, if it gave one.
        id: Option<String>,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The shard and fence of the request, for a keyed service.
        held: Option<(Shard, Fence)>,
    },
    /// The target accepted a grant.
    Granted {
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The fence.
        fence: Fence,
        /// The end of the grant on the machine's clock.
        until: Tick,
    },
    /// The target gave keys up.
    Released {
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
    },
    /// A target that takes grants began to work on a request.
    Began {
        /// The service.
        service: SmolStr,
        /// The identity of the request.
        id: Option<String>,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The key of the request, for a keyed service.
        key: Option<u16>,
    },
    /// A request was refused without running.
    Refused {
        /// The caller's identity of the request, if it gave one.
        id: Option<String>,
        /// The reason.
        reason: String,
    },
    /// A commit of the platform's table.
    Committed {
        /// The rows that were written, with their versions.
        rows: Vec<(SmolStr, u64)>,
    },
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When it happened.
    pub at: Tick,
    /// Which VM wrote it.
    pub vm: Vm,
    /// Which run of the VM's process wrote it.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: Kind,
}

/// A journal that is open for writing.
#[derive(Debug)]
pub struct Journal {
    file: Option<Mutex<File>>,
    vm: Vm,
    incarnation: Incarnation,
}

impl Journal {
    /// Opens a file for appending; without a path nothing is kept.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the file cannot be opened.
    pub fn open(path: Option<&Path>, vm: Vm, incarnation: Incarnation) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(Mutex::new);
        let journal = Self { file, vm, incarnation };
        journal.write(Tick::now(), Kind::Started);
        Ok(journal)
    }

    /// Appends a line in one write, so that a kill leaves no half of it behind unnoticed.
    pub fn write(&self, at: Tick, kind: Kind) {
        let Some(file) = &self.file else { return };
        let line = Line { at, vm: self.vm.clone(), incarnation: self.incarnation, kind };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        let mut file = file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        file.write_all(&text).ok();
    }
}

/// Reads every journal of a folder, in the order of time.
///
/// # Errors
///
/// Returns the system's error if a file cannot be read.
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
