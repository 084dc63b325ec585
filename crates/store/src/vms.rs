//! The platform's list of VMs.

use {
    key::{Vm, Zone},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The role that the list gives to the product's own VMs.
pub const ENTRY_ROLE: &str = "entry";

/// What the list says of a VM. The list may be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs, or ran a short while ago.
    Live,
    /// It runs and will be stopped.
    Leaving,
    /// It has ended, with every process on it. The list never says this early.
    Gone,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name, never given to another VM.
    pub vm: Vm,
    /// The service it runs, or [`ENTRY_ROLE`].
    pub role: SmolStr,
    /// The availability zone.
    pub zone: Zone,
    /// Where it listens; for an entry, where its peers connect.
    pub address: SocketAddr,
    /// What the list says of it.
    pub state: VmState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmRecord>,
}
