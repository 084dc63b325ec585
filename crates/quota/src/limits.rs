//! The limits that follow from the memory and the descriptors of a VM.

/// The size up to which a request or response counts as small, in bytes.
pub const SMALL_BYTES: usize = 16 << 10;

/// What an open connection is counted with before it has sent anything, in bytes: its task, its first
/// buffer and the fields of an ordinary request.
pub(crate) const CONNECTION_BYTES: usize = 16 << 10;

/// The memory of a VM whose settings name none, in megabytes. It only excludes the absurd.
const DEFAULT_MEMORY_MB: u64 = 1_024;

/// The largest part of the budget for responses that are read before they are passed on, in bytes.
/// Others are passed on as they arrive.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The descriptors that are kept for files, if there are enough.
const FILE_DESCRIPTORS: u64 = 200;

/// The smallest number of connections in a group, so that a wrong setting stops no process.
const MIN_CONNECTIONS: usize = 16;

/// Who is at the other end of a connection. Each group has places of its own, so that callers cannot
/// take those of readiness checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Callers.
    Callers,
    /// Other entries, which pass requests on.
    Entries,
    /// The load balancer's readiness checks.
    Readiness,
    /// Metrics, operators, and the calls of other entries.
    Control,
    /// Targets, and other entries to which requests are passed on: connections that this process
    /// opens.
    Targets,
}

impl Group {
    /// The number of groups.
    pub(crate) const COUNT: usize = 5;

    /// Returns the share of the descriptors for the group, in sixteenths. The rest is for control
    /// calls to targets, to other entries and to the store.
    const fn sixteenths(self) -> u64 {
        match self {
            Self::Callers => 8,
            // Each entry keeps several connections to the leader and to the coordinators of limits.
            Self::Control => 3,
            Self::Entries | Self::Readiness => 1,
            Self::Targets => 2,
        }
    }
}

/// The limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of bytes that are held for others.
    pub bytes: usize,
    /// The part of them that what is larger than [`SMALL_BYTES`] may use.
    pub large_bytes: usize,
    /// The part of them for responses that are read before they are passed on.
    pub response_bytes: usize,
    connections: [usize; Group::COUNT],
}

impl Limits {
    /// Returns the limits on a VM with so many megabytes of memory and so many descriptors.
    ///
    /// Half of the memory is left to the program itself, the allocator and what is not counted. With a
    /// third, a crowd of growing bodies came to 94 MB of 96.
    #[must_use]
    pub fn of_vm(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = (memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize) << 20;
        let bytes = memory / 2;
        let for_sockets =
            descriptors.map(|number| number - FILE_DESCRIPTORS.min(number / 4)).unwrap_or(u64::MAX);
        let affordable = bytes / 2 / CONNECTION_BYTES;
        let groups =
            [Group::Callers, Group::Entries, Group::Readiness, Group::Control, Group::Targets];
        let connections = groups.map(|group| {
            let share = (for_sockets / 16).saturating_mul(group.sixteenths());
            usize::try_from(share).unwrap_or(usize::MAX).min(affordable).max(MIN_CONNECTIONS)
        });
        Self {
            bytes,
            large_bytes: bytes / 8 * 7,
            response_bytes: MAX_RESPONSE_BYTES.min(bytes / 4),
            connections,
        }
    }

    /// Returns the number of connections that a group may have.
    #[must_use]
    pub const fn connections(&self, group: Group) -> usize {
        self.connections[group as usize]
    }
}
