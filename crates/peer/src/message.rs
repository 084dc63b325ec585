//! The messages.

use {
    key::{Process, Version, Vm, Zone},
    own::Row,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The cluster of the process that asks.
    pub cluster: SmolStr,
    /// The protocol version it speaks.
    pub protocol: u32,
}

/// The answer to a sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The process that answers.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it will stop soon.
    pub leaving: bool,
    /// The version of the operators' text in force there.
    pub config: Version,
    /// A digest of the versions of all rows known there, to find out whether to ask for them.
    pub rows: u64,
}

/// A value with the version that the table gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// Everything a fresh process needs while the platform is down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapState {
    /// The operators' text.
    pub config: Option<Versioned<String>>,
    /// The rows of the cells.
    pub rows: Vec<Versioned<Row>>,
    /// The VMs that operators want to be emptied.
    pub drained: Vec<Vm>,
}
