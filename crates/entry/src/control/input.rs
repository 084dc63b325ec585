//! What reaches the control thread.

use {
    crate::{
        control::operator::{OperatorRequest, Reply},
        shared::Feedback,
    },
    own::{Event, stop},
    peer::{Refused, State, Versioned, Welcome},
    report::{Record, burn::Line},
    route::quarantine::CrashReport,
    store::{table::Row, vms::VmList},
    tokio::sync::{mpsc, oneshot},
};

/// One message.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something about ownership.
    Event(Event),
    /// The rows of the table that changed.
    TablePolled { started_at: key::clock::Tick, rows: Vec<Row> },
    /// The table did not answer.
    TablePollFailed,
    /// The list of VMs.
    Vms(VmList),
    /// A peer gave a sign of life.
    PeerHeartbeat { welcome: Welcome, asked_at: key::clock::Tick },
    /// Everything a peer knows.
    PeerState(State),
    /// A new operators' text from a peer.
    PeerConfig(Versioned<String>),
    /// A peer asks for a promise to stop.
    StopRequested {
        request: stop::Request,
        respond_to: oneshot::Sender<Result<stop::Ack, Refused>>,
    },
    /// A peer asks for everything.
    StateRequested(oneshot::Sender<State>),
    /// A strike from a peer.
    CrashReported(CrashReport),
    /// Something traffic saw.
    Feedback(Feedback),
    /// An operator asks.
    Operator { request: OperatorRequest, respond_to: oneshot::Sender<Reply> },
    /// An operator's text is in the table.
    ConfigCommitted { text: Versioned<String>, by: String },
    /// Another change of an operator is in the table.
    ChangeCommitted(report::Kind),
    /// Someone asks for the newest records.
    RecordsRequested { limit: usize, respond_to: oneshot::Sender<Vec<Record>> },
    /// Someone asks for the burn of each service as seen here.
    BurnRequested(oneshot::Sender<Vec<Line>>),
    /// The shipper asks for records.
    UnshippedRequested(oneshot::Sender<Vec<Record>>),
    /// Records up to this number are in the object store.
    Shipped(u64),
    /// It is time to sample the traffic's counts.
    SampleCounts,
    /// The process is to stop.
    Stop,
}

/// The sending end of the control thread's queue.
#[derive(Clone, Debug)]
pub(crate) struct InputSender(mpsc::Sender<Input>);

impl InputSender {
    pub(crate) fn channel(capacity: usize) -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (Self(sender), receiver)
    }

    /// Sends a message, waiting while the queue is full.
    pub(crate) async fn send(&self, input: Input) {
        self.0.send(input).await.ok();
    }

    /// Sends a message unless the queue is full.
    pub(crate) fn try_send(&self, input: Input) -> Result<(), Refused> {
        self.0.try_send(input).map_err(|_| Refused::Busy)
    }
}
