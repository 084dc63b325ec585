//! What the control thread is told.

use {
    crate::control::{
        peers::{Hello, MapDelta, Reply, Report},
        records::LeadershipRecord,
    },
    hold::{
        Instance, Span,
        planner::{Grant, Outcome},
    },
    key::{Service, Version, Vm, clock::Tick},
    platform::{
        order::Connection,
        store::{Commit, Row},
    },
    smol_str::SmolStr,
    std::time::Duration,
    tokio::sync::oneshot,
};

/// One message.
#[derive(Debug)]
pub(crate) enum Input {
    /// It is time to look at everything.
    Tick,
    /// Rows of the operators have changed.
    OperatorRows(Vec<Row>),
    /// Entries of the list of targets have changed, at the earliest so long ago, or the whole list
    /// was read.
    TargetRows { rows: Vec<Row>, complete: bool, lag: Duration },
    /// The list of targets could not be read.
    TargetsUnavailable,
    /// The rows on entries have changed, or all of them were read.
    EntryRows { rows: Vec<Row>, complete: bool },
    /// All rows on holders of keys were read; where this process leads, the rows on entries were
    /// read before them, asked for at some moment.
    MapRows { rows: Vec<Row>, entries: Option<(Vec<Row>, Tick)> },
    /// The leader has written a map.
    MapDelta(MapDelta),
    /// The result of an attempt to lead.
    CampaignResult { record: LeadershipRecord, commit: Commit },
    /// The peers' votes on whether the leader is silent.
    PollResult { unresponsive: usize, heard: bool },
    /// The row of a service was written, or not.
    MapWritten { service: Service, commit: Commit },
    /// Grants were sent.
    GrantResults {
        service: Service,
        instance: Instance,
        results: Vec<(Grant, Outcome)>,
        connection: Option<Connection>,
    },
    /// Keys were taken back, or not.
    ReleaseResult {
        service: Service,
        instance: Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    },
    /// A process has come to lead, with the version of the row that says so.
    LeaderAnnounced { record: LeadershipRecord, version: Version },
    /// A peer reports to the leader.
    Report { report: Report, reply_to: oneshot::Sender<Reply> },
    /// A peer asks whether this process hears the leader.
    Hello { reply_to: oneshot::Sender<Hello> },
    /// The leader's answer to a report, or none.
    LeaderReplied { leader: Vm, reply: Option<Reply> },
}
