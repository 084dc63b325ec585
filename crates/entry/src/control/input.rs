//! The inputs of the control thread and the queue for them.

use {
    crate::{
        control::operator::{OperatorRequest, Reply},
        shared::Feedback,
    },
    own::{Event, stop},
    peer::{BootstrapState, Rejection, Versioned, Welcome},
    report::{Record, burn::ServiceBurn},
    route::quarantine::CrashReport,
    store::{table::Row, vms::VmList},
    tokio::sync::{mpsc, oneshot},
};

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the logic of ownership.
    Event(Event),
    /// A poll of the table succeeded; these rows have changed.
    TablePolled { started_at: key::clock::Tick, rows: Vec<Row> },
    /// A poll of the table failed.
    TablePollFailed,
    /// A poll of the list of VMs succeeded.
    Vms(VmList),
    /// A peer replied to a heartbeat request.
    PeerHeartbeat { welcome: Welcome, asked_at: key::clock::Tick },
    /// The bootstrap state of a peer, from its reply to `sync`.
    PeerBootstrapState(BootstrapState),
    /// A new operators' configuration from a peer.
    PeerConfig(Versioned<String>),
    /// A peer requests that this process stop renewing leases.
    StopRequested {
        request: stop::Request,
        respond_to: oneshot::Sender<Result<stop::Ack, Rejection>>,
    },
    /// A peer requests the bootstrap state of this process.
    BootstrapStateRequested(oneshot::Sender<BootstrapState>),
    /// A crash report from a peer.
    CrashReported(CrashReport),
    /// An observation of traffic.
    Feedback(Feedback),
    /// A request of an operator.
    Operator { request: OperatorRequest, respond_to: oneshot::Sender<Reply> },
    /// An operator's configuration was committed to the table.
    ConfigCommitted { config: Versioned<String>, by: String },
    /// Another change of an operator was committed to the table.
    ChangeCommitted(report::Kind),
    /// A peer requests the newest decision records.
    RecordsRequested { limit: usize, respond_to: oneshot::Sender<Vec<Record>> },
    /// A peer requests the burn of each service as counted here.
    BurnRequested(oneshot::Sender<Vec<ServiceBurn>>),
    /// The shipper requests the records that are not shipped yet.
    UnshippedRequested(oneshot::Sender<Vec<Record>>),
    /// Records up to this sequence number are in the object store.
    Shipped(u64),
    /// The counts of traffic are due to be sampled.
    SampleCounts,
    /// The process has been asked to stop.
    Stop,
}

/// The sender of the control thread's queue.
#[derive(Clone, Debug)]
pub(crate) struct InputSender(mpsc::Sender<Input>);

impl InputSender {
    pub(crate) fn channel(capacity: usize) -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (Self(sender), receiver)
    }

    /// Queues an input, waiting while the queue is full.
    pub(crate) async fn send(&self, input: Input) {
        self.0.send(input).await.ok();
    }

    /// Queues an input, or returns [`Rejection::Busy`] if the queue is full.
    pub(crate) fn try_send(&self, input: Input) -> Result<(), Rejection> {
        self.0.try_send(input).map_err(|_| Rejection::Busy)
    }
}
