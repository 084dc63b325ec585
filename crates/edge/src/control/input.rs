//! What the control thread is told.

use {
    crate::control::{
        peers::{Hello, NewChange, Reply, Report},
        records::Lead,
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
    Operator(Vec<Row>),
    /// Entries of the list of targets have changed, at the earliest so long ago, or the whole list
    /// was read.
    Targets { rows: Vec<Row>, whole: bool, behind: Duration },
    /// The list of targets could not be read.
    TargetsSilent,
    /// The rows on entries have changed, or all of them were read.
    Own { rows: Vec<Row>, whole: bool },
    /// All rows on holders of keys were read; where this process leads, the rows on entries were
    /// read before them, asked for at some moment.
    Maps { rows: Vec<Row>, own: Option<(Vec<Row>, Tick)> },
    /// The leader has written a map.
    Pushed(NewChange),
    /// The result of an attempt to lead.
    Candidacy { lead: Lead, commit: Commit },
    /// The peers' votes on whether the leader is silent.
    Polled { silent: usize, heard: bool },
    /// The row of a service was written, or not.
    Written { service: Service, commit: Commit },
    /// Grants were sent.
    Granted {
        service: Service,
        instance: Instance,
        results: Vec<(Grant, Outcome)>,
        link: Option<Connection>,
    },
    /// Keys were taken back, or not.
    Released {
        service: Service,
        instance: Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    },
    /// A process has come to lead, with the version of the row that says so.
    Announced { lead: Lead, version: Version },
    /// A peer reports to the leader.
    Report { report: Report, answer: oneshot::Sender<Reply> },
    /// A peer asks whether this process hears the leader.
    Hello { answer: oneshot::Sender<Hello> },
    /// The leader's answer to a report, or none.
    Replied { leader: Vm, reply: Option<Reply> },
}
