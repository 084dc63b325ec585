//! What reaches the control thread.

use {
    crate::{
        control::operator::{Ask, Reply},
        shared::Feedback,
    },
    own::{Event, stop},
    peer::{BootstrapState, Rejection, Versioned, Welcome},
    report::{Record, burn::ServiceBurn},
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
    Table { began: key::clock::Tick, rows: Vec<Row> },
    /// The table did not answer.
    TableSilent,
    /// The list of VMs.
    Vms(VmList),
    /// A peer gave a sign of life.
    Welcomed { welcome: Welcome, asked: key::clock::Tick },
    /// Everything a peer knows.
    Synced(BootstrapState),
    /// A new operators' text from a peer.
    Configured(Versioned<String>),
    /// A peer asks for a promise to stop.
    StopAsked { ask: stop::Request, answer: oneshot::Sender<Result<stop::Ack, Rejection>> },
    /// A peer asks for everything.
    SyncAsked(oneshot::Sender<BootstrapState>),
    /// A strike from a peer.
    Struck(CrashReport),
    /// Something traffic saw.
    Feedback(Feedback),
    /// An operator asks.
    Operator { ask: Ask, answer: oneshot::Sender<Reply> },
    /// An operator's text is in the table.
    Accepted { text: Versioned<String>, by: String },
    /// Another change of an operator is in the table.
    Changed(report::Kind),
    /// Someone asks for the newest records.
    Records { limit: usize, answer: oneshot::Sender<Vec<Record>> },
    /// Someone asks for the burn of each service as seen here.
    Burn(oneshot::Sender<Vec<ServiceBurn>>),
    /// The shipper asks for records.
    Unshipped(oneshot::Sender<Vec<Record>>),
    /// Records up to this number are in the object store.
    Shipped(u64),
    /// It is time to sample the traffic's counts.
    Sample,
    /// The process is to stop.
    Stop,
}

/// The sending end of the control thread's queue.
#[derive(Clone, Debug)]
pub(crate) struct Inputs(mpsc::Sender<Input>);

impl Inputs {
    pub(crate) fn channel(capacity: usize) -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (Self(sender), receiver)
    }

    /// Sends a message, waiting while the queue is full.
    pub(crate) async fn send(&self, input: Input) {
        self.0.send(input).await.ok();
    }

    /// Sends a message unless the queue is full.
    pub(crate) fn offer(&self, input: Input) -> Result<(), Rejection> {
        self.0.try_send(input).map_err(|_| Rejection::Busy)
    }
}
