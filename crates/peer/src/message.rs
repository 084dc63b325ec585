//! Messages between entries.

use {
    key::{Process, Version, Vm, Zone},
    own::Row,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// A heartbeat, which is also the handshake that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The cluster of the sender.
    pub cluster: SmolStr,
    /// The version of the protocol that the sender uses.
    pub protocol: u32,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The process that replies.
    pub process: Process,
    /// The availability zone of the process.
    pub zone: Zone,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// The version of the operators' configuration in force in the process.
    pub config: Version,
    /// Reserved for a digest of the versions of all rows that the process knows, by which the
    /// receiver could detect that it lacks rows. Entries send 0.
    pub rows: u64,
}

/// A value with the version that the platform's table assigned to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// The state that a new process needs to start while the platform is unavailable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapState {
    /// The operators' configuration.
    pub config: Option<Versioned<String>>,
    /// The rows of the cells.
    pub rows: Vec<Versioned<Row>>,
    /// The VMs that operators drain.
    pub drained: Vec<Vm>,
}
