//! The composition and the settings of a fleet.

use serde_json::{Value, json};

/// The name of the keyed service that every fleet has.
pub const KEYED: &str = "ledger";

/// The composition of a [`Fleet`](crate::Fleet).
///
/// Every fleet has three services: the keyed service [`KEYED`], `orders`, whose requests must run
/// at most once, and `voices`, which serves downloads.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The number of availability zones.
    pub zones: usize,
    /// The number of entries in each zone.
    pub entries_per_zone: usize,
    /// The number of targets of the keyed service in each zone.
    pub keyed_per_zone: usize,
    /// The number of targets of the service `orders` in each zone.
    pub orders_per_zone: usize,
    /// The number of targets of the service `voices` in each zone.
    pub voices_per_zone: usize,
    /// The number of shards of the keyed service.
    pub shards: u32,
    /// The `isolation` policy of the keyed service: what happens to the shards of a cut-off zone.
    pub isolation: Value,
    /// Whether the keyed targets check stamps and fencing tokens.
    pub fenced: bool,
    /// Whether the targets are reached through proxies.
    pub proxied: bool,
    /// The time that a target spends on a request, in milliseconds.
    pub work_ms: u64,
    /// The `limits` of every service in the operators' configuration.
    pub limits: Value,
    /// Settings that are merged into those of every entry.
    pub entry_settings: Value,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            zones: 2,
            entries_per_zone: 2,
            keyed_per_zone: 2,
            orders_per_zone: 1,
            voices_per_zone: 1,
            shards: 48,
            isolation: json!("hold"),
            fenced: true,
            proxied: true,
            work_ms: 1,
            limits: json!({ "deadline_ms": 4000, "attempt_ms": 1000, "connections": 110 }),
            entry_settings: json!({}),
        }
    }
}

impl FleetPlan {
    /// Returns the operators' configuration that the fleet starts with.
    #[must_use]
    pub fn operator_config(&self) -> String {
        let fencing = if self.fenced { "full" } else { "lease" };
        let keyed = json!({
            "key": { "segment": 1 },
            "shards": self.shards,
            "fencing": fencing,
            "isolation": self.isolation,
        });
        let config = json!({ "services": [
            { "name": KEYED, "keyed": keyed, "limits": self.limits },
            { "name": "orders", "limits": self.limits },
            { "name": "voices", "limits": self.limits },
        ] });
        config.to_string()
    }
}
