//! What a target writes of itself in the store.

use {
    crate::map::Instance,
    key::{Service, Vm, Zone},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The state that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The target accepts requests.
    Ready,
    /// The target will stop soon and accepts no new work.
    Leaving,
}

/// The registration of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The name of the target.
    pub vm: Vm,
    /// When its process started, in milliseconds of its own clock. It differs for each instance.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// The service that it runs.
    pub service: Service,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub zone: Zone,
    /// The number of requests it processes concurrently.
    pub slots: u32,
    /// The state that it reports.
    pub state: State,
    /// How much longer it is slow after its start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warmup_remaining_ms: u64,
    /// Grows with each registration that the instance writes.
    #[serde(default)]
    pub sequence: u64,
}

impl Registration {
    /// Returns the registered instance.
    #[must_use]
    pub fn instance(&self) -> Instance {
        Instance { vm: self.vm.clone(), started_at_ms: self.started_at_ms }
    }
}
