//! The inputs of the control thread.

use {
    crate::control::{
        message::{
            Hello, KeyMoves, Knowledge, KnowledgeQuery, MapDelta, RegistryQuery, RegistryUpdate,
            Reply, Report,
        },
        records::LeadershipRecord,
        state::granting::SentGrants,
    },
    conf::routing::Routing,
    hold::{Instance, Span, map::Replacement, planner::Outcome},
    key::{Era, Service, Version, Vm, clock::Tick},
    platform::{
        order::Connection,
        store::{Commit, Rows, Table},
    },
    route::quarantine::Suspect,
    smol_str::SmolStr,
    std::net::SocketAddr,
    tokio::sync::oneshot,
};

/// One input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// Time has passed; periodic work may be due.
    Tick,
    /// The store has answered which rows of the operators' table have changed, at `changed_at` at
    /// the earliest, or the table was read in full; they are the newest ones as of the time `at`.
    OperatorRows { rows: Rows, complete: bool, changed_at: Tick, at: Tick },
    /// Another entry has answered with a newer routing configuration, or has none.
    RoutingFetched { routing: Option<Routing> },
    /// Rows of the registry have changed, at `changed_at` at the earliest, or the registry was read
    /// in full. The store said so at `given_at`. The moments count whenever the input is handled.
    TargetRows { rows: Rows, complete: bool, changed_at: Tick, given_at: Tick },
    /// The entry `reader` has answered what changed in the registry, at `answered_at` at the
    /// earliest.
    RegistryUpdate { reader: Vm, update: RegistryUpdate, answered_at: Tick },
    /// An entry that follows this one asks what has changed in the registry.
    RegistryQuery { query: RegistryQuery, reply_to: oneshot::Sender<RegistryUpdate> },
    /// The registry could not be read.
    TargetsUnavailable,
    /// Rows of the table of entries have changed, or it was read in full.
    EntryRows { rows: Rows, complete: bool },
    /// A table that other entries may learn of through this one could not be polled.
    TableUnavailable { table: Table },
    /// The table of maps was read in full. The leader reads the table of entries before it;
    /// `entries` holds those rows and the time at which that read was sent.
    MapRows { rows: Rows, entries: Option<(Rows, Tick)> },
    /// The table of maps could not be read, or not in the era of the table of entries.
    MapRowsUnavailable,
    /// The leader has committed a change of a map.
    MapDelta(MapDelta),
    /// The leader has announced which keys are about to leave their holders.
    KeyMoves(KeyMoves),
    /// This entry's own row is written.
    MemberWritten,
    /// The row with the requests that are refused was written, or not.
    SuspectsWritten { suspects: Vec<Suspect>, commit: Commit },
    /// The rows of entries that are gone were removed, or not.
    MembersRemoved { commit: Commit },
    /// The other entries have answered what they know, after this process won the leadership in
    /// `era`.
    KnowledgeCollected { era: Era, answers: Vec<(SocketAddr, Knowledge)> },
    /// A peer that won the leadership in a new era asks what this process knows.
    Knowledge { query: KnowledgeQuery, reply_to: oneshot::Sender<Knowledge> },
    /// The write of the leadership record has ended.
    CampaignResult { record: LeadershipRecord, commit: Commit },
    /// The peers have answered: how many get no replies from the leader, and whether any does.
    PollResult { unresponsive: usize, any_responsive: bool },
    /// The write of a map, sent at `sent_at`, has ended.
    MapWritten { service: Service, replacement: Replacement, commit: Commit, sent_at: Tick },
    /// Grants were sent; the connection is present if it can be reused.
    GrantResults { batch: SentGrants, connection: Option<Connection> },
    /// Results of releases have been collected for long enough.
    PlanDue,
    /// A release has ended.
    ReleaseResult {
        service: Service,
        instance: Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    },
    /// A process announces that it leads, with the version of its leadership record.
    LeaderAnnounced { record: LeadershipRecord, version: Version },
    /// A peer reports to the leader.
    Report { report: Report, reply_to: oneshot::Sender<Reply> },
    /// A peer asks whether the leader responds to this process.
    Hello { reply_to: oneshot::Sender<Hello> },
    /// The leader's reply to a report, or none if the call failed.
    LeaderReplied { leader: Vm, reply: Option<Reply> },
}
