//! The messages between entries.
//!
//! An entry reports the load it has seen and the versions it knows; the reply carries the maps that
//! are newer, and says which version of the routing configuration the leader has. No message grows
//! with the routing configuration. Fields that an earlier release does not send have defaults.

mod tables;

pub(crate) use tables::{RelayedRow, TableUpdate, TablesQuery, TablesSummary, TablesUpdate};

use {
    crate::control::records::LeadershipRecord,
    hold::{Instance, Map, Registration, map::Delta, moves::Announcement as MoveAnnouncement},
    key::{Era, Incarnation, Service, Version, Vm, Zone, clock::Tick},
    limit::{Rate, Word},
    route::{crash_log::CrashNotice, quarantine::Suspect},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The number of requests for one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeyCount {
    pub(crate) key: u16,
    pub(crate) requests: u32,
}

/// The number of requests for each key of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeyLoad {
    pub(crate) service: Service,
    pub(crate) keys: Vec<KeyCount>,
}

/// The latency of one target's answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LatencyStats {
    pub(crate) service: Service,
    #[serde(rename = "life")]
    pub(crate) instance: Instance,
    pub(crate) count: u32,
    pub(crate) mean_ms: u64,
}

/// What a target said of its rate limit, and the entry that hands out its permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LimitNotice {
    pub(crate) target: Instance,
    /// The limit; none if the target no longer names one.
    pub(crate) rate: Option<Rate>,
    /// How long ago the target said so.
    pub(crate) age_ms: u64,
    /// The peer address of the entry that hands out permits; known to the leader only.
    pub(crate) coordinator: Option<SocketAddr>,
}

impl LimitNotice {
    /// Returns what the target said, on this process's clock.
    pub(crate) fn word(&self, now: Tick) -> Word {
        Word { rate: self.rate, at: now.before(Duration::from_millis(self.age_ms)) }
    }
}

/// That a target said in an answer that it leaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LeavingNotice {
    pub(crate) target: Instance,
    /// How long ago it said so first.
    pub(crate) age_ms: u64,
}

/// That an operator has evacuated an availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EvacuationNotice {
    pub(crate) zone: Zone,
    /// The version of the row that requests it.
    pub(crate) version: Version,
    /// The longest time for which the row may have been acknowledged.
    pub(crate) age_ms: u64,
}

/// That a target wants no requests for a while.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DeferralNotice {
    pub(crate) service: Service,
    pub(crate) target: Instance,
    /// For how much longer.
    pub(crate) remaining_ms: u64,
}

/// The revision of a leader's board of limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitRevision {
    /// The leader's incarnation; each leader counts its revisions anew.
    pub(crate) leader: Incarnation,
    pub(crate) revision: u64,
}

/// The version of one service's map.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MapVersion {
    pub(crate) service: Service,
    pub(crate) version: Version,
}

/// The report of an entry to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) vm: Vm,
    /// The version of the routing configuration here. A leader that has an older one, such as from
    /// a store that came back from a copy, fetches it.
    pub(crate) routing: Version,
    pub(crate) maps: Vec<MapVersion>,
    /// Whether the reply should include the registry: the entry cannot reach the store, or knows no
    /// target.
    pub(crate) wants_targets: bool,
    pub(crate) load: Vec<KeyLoad>,
    #[serde(rename = "answers")]
    pub(crate) latencies: Vec<LatencyStats>,
    #[serde(rename = "strikes")]
    pub(crate) crash_reports: Vec<CrashNotice>,
    /// Instances of targets that are proved to have ended.
    #[serde(rename = "ended")]
    pub(crate) ended_instances: Vec<Instance>,
    /// The limits that targets named in answers to this entry since its last report.
    #[serde(default)]
    pub(crate) limits: Vec<LimitNotice>,
    /// Whether no order of this process is under way. A process that reports does not lead, so it
    /// renews no grant any more.
    #[serde(default)]
    pub(crate) orders_ended: bool,
    /// The version of the leadership record that the process follows.
    #[serde(default)]
    pub(crate) leadership: Version,
    /// The newest revision of limits that the entry knows.
    #[serde(default)]
    pub(crate) limit_revision: LimitRevision,
    /// The share of targets that the entry does not reach, in percent.
    #[serde(default)]
    pub(crate) unreached_percent: u8,
    /// The targets that said a short time ago that they leave.
    #[serde(default)]
    pub(crate) leaving: Vec<LeavingNotice>,
    /// The availability zones that are evacuated, as far as the entry knows.
    #[serde(default)]
    pub(crate) evacuations: Vec<EvacuationNotice>,
    /// The targets that began since the last report to want nothing.
    #[serde(default)]
    pub(crate) deferrals: Vec<DeferralNotice>,
    /// Whether the reply should include the requests that are refused: the process has just started.
    #[serde(default)]
    pub(crate) wants_suspects: bool,
}

/// A map with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NewMap {
    pub(crate) service: Service,
    pub(crate) version: Version,
    pub(crate) map: Map,
}

/// The change of a service's map by the leader's last write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MapDelta {
    pub(crate) service: Service,
    #[serde(rename = "change")]
    pub(crate) delta: Delta,
}

/// The keys of a service that are about to leave their holders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeyMoves {
    pub(crate) service: Service,
    #[serde(flatten)]
    pub(crate) announcement: MoveAnnouncement,
}

/// A registration with the version of its row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct VersionedRegistration {
    #[serde(rename = "listing")]
    pub(crate) registration: Registration,
    pub(crate) version: Version,
    /// The longest time for which the target may have been leaving, in milliseconds; zero if it is
    /// not leaving.
    #[serde(rename = "left_ms")]
    pub(crate) leaving_for_ms: u64,
    /// The longest time since the target wrote it; earlier releases do not tell.
    #[serde(default)]
    pub(crate) written_ms: Option<u64>,
}

/// The question of an entry that follows this one: what has changed in the registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RegistryQuery {
    /// The version of the store up to which the entry knows the registry; zero if it does not.
    pub(crate) after: Version,
    /// How long the answer may wait for news; earlier releases do not tell.
    #[serde(default)]
    pub(crate) wait_ms: Option<u64>,
    /// What the entry knows of other tables; earlier releases do not ask for them.
    #[serde(default)]
    pub(crate) tables: Option<TablesQuery>,
}

/// A registration that has disappeared.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Removal {
    pub(crate) vm: Vm,
    /// The longest time for which it may have been missing.
    pub(crate) missing_ms: u64,
    /// The sequence number of the last registration.
    pub(crate) sequence: u64,
}

/// The answer: what an entry knows of the registry, of which version and how old.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RegistryUpdate {
    /// The version of the store up to which the registry was read.
    pub(crate) version: Version,
    /// The time since the store last confirmed that version; none if it has not yet, or does not
    /// answer.
    pub(crate) age_ms: Option<u64>,
    /// For how long the question waited for a change.
    pub(crate) waited_ms: u64,
    /// Whether the registrations are all that there are, rather than those that changed.
    pub(crate) complete: bool,
    pub(crate) registered: Vec<VersionedRegistration>,
    pub(crate) removed: Vec<Removal>,
    /// The number of outages of the store that the entry has seen end.
    pub(crate) outages: u64,
    /// The time since the last of them ended. Earlier releases take that for their own outage.
    pub(crate) available_ms: Option<u64>,
    /// What has changed in other tables, if the question named them; earlier releases do not tell.
    #[serde(default)]
    pub(crate) tables: Option<TablesUpdate>,
}

/// The announcement of a new leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Announcement {
    #[serde(rename = "lead")]
    pub(crate) record: LeadershipRecord,
    /// The version of the leadership record.
    pub(crate) version: Version,
}

/// The leader's reply to a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    /// Whether the process that replies believes that it leads.
    pub(crate) leads: bool,
    /// Whether it asks to be replaced: it cannot reach the store, or reaches far fewer targets than
    /// another entry.
    pub(crate) resigning: bool,
    /// The share of targets that it does not reach, in percent, if it resigns for that.
    #[serde(default)]
    pub(crate) unreached_percent: Option<u8>,
    /// The targets that said a short time ago that they leave.
    #[serde(default)]
    pub(crate) leaving: Vec<LeavingNotice>,
    /// The availability zones that are evacuated, as far as the leader knows.
    #[serde(default)]
    pub(crate) evacuations: Vec<EvacuationNotice>,
    /// The number of entries that report, the leader included.
    pub(crate) entries: usize,
    /// The version of the leader's routing configuration.
    #[serde(default)]
    pub(crate) routing_version: Version,
    /// The time since this version was known to be the newest one, if it is.
    #[serde(default)]
    pub(crate) routing_age_ms: Option<u64>,
    pub(crate) maps: Vec<NewMap>,
    pub(crate) targets: Option<Vec<VersionedRegistration>>,
    #[serde(rename = "strikes")]
    pub(crate) crash_reports: Vec<CrashNotice>,
    /// The requests that are refused, if the report asked for them.
    #[serde(default)]
    pub(crate) suspects: Vec<Suspect>,
    /// The limits that have changed since the revision in the report.
    #[serde(default)]
    pub(crate) limits: Vec<LimitNotice>,
    #[serde(default)]
    pub(crate) limit_revision: LimitRevision,
    /// The fraction of each limit that coordinators hand out.
    #[serde(default = "whole")]
    pub(crate) coordinated_fraction: f64,
}

/// The fraction that a leader of an earlier release, which sends none, leaves to coordinators.
const fn whole() -> f64 {
    1.0
}

/// The question of a process that won the leadership in a new era of the store, with what it knows
/// itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KnowledgeQuery {
    pub(crate) era: Era,
    pub(crate) maps: Vec<MapVersion>,
}

/// The answer: what an entry knows, as far as it is newer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Knowledge {
    /// The era of the store in which the entry first heard from it. An entry that has heard from it
    /// in an earlier era remembers what the store may have lost.
    pub(crate) first_era: Option<Era>,
    /// The version of the newest leadership record of earlier eras that the entry knows.
    pub(crate) former_leadership: Version,
    pub(crate) maps: Vec<NewMap>,
    /// The version of the entry's routing configuration.
    #[serde(default)]
    pub(crate) routing_version: Version,
}

/// The answer to a poll: what an entry knows of the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Whether the leader responded to it recently.
    #[serde(rename = "hears_leader")]
    pub(crate) is_leader_responsive: bool,
    /// Whether it reads the registry from the store, and the store answers; earlier releases do not
    /// tell.
    #[serde(default)]
    pub(crate) reads_store: Option<bool>,
}
