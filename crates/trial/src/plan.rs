//! What a fleet is made of.

use serde_json::{Value, json};

/// The name of the keyed service of every fleet.
pub const KEYED: &str = "ledger";

/// A fleet to start: a keyed service `ledger`, orders that must run at most once, and recordings.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The availability zones.
    pub zones: usize,
    /// The entries of each zone.
    pub entries_per_zone: usize,
    /// The targets of the keyed service in each zone.
    pub keyed_per_zone: usize,
    /// The targets of the orders in each zone.
    pub orders_per_zone: usize,
    /// The targets of the recordings in each zone.
    pub voices_per_zone: usize,
    /// The shards of the keyed service.
    pub shards: u32,
    /// What happens to a zone that is cut off, as in the operators' text.
    pub isolation: Value,
    /// Whether the keyed targets compare stamps and fences.
    pub fenced: bool,
    /// Whether proxies stand before the targets.
    pub proxied: bool,
    /// The milliseconds of work of a request.
    pub work_ms: u64,
    /// The limits of every service.
    pub limits: Value,
    /// Further settings of every entry.
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
    /// Returns the operators' text.
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
