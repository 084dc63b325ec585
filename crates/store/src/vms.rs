//! The types of the platform's list of VMs, as they are sent over the wire.

use {
    key::{Vm, Zone},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The role of the VMs that run entry processes.
pub const ENTRY_ROLE: &str = "entry";

/// The state of a VM according to the list, which may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs, or ran until a short time ago.
    Live,
    /// The VM runs and will be stopped.
    Leaving,
    /// The VM has ended with every process on it. The list never reports this too early.
    Gone,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM, which is never reused for another VM.
    pub vm: Vm,
    /// The name of the service that the VM runs, or [`ENTRY_ROLE`].
    pub role: SmolStr,
    /// The availability zone of the VM.
    pub zone: Zone,
    /// The address at which the VM accepts requests; for an entry, the address for its peers.
    pub address: SocketAddr,
    /// The state of the VM.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs of the fleet.
    pub vms: Vec<VmRecord>,
}
