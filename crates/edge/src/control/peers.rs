//! Reports of all entries to the one that leads, and its replies.
//!
//! An entry reports what its requests were about and what it knows; the reply brings what is newer.
//! So an entry that the store turns away goes on with the knowledge of the others. See
//! docs/PLATFORM.md.

use {
    crate::control::{feeds::send, input::Input, records::LeadershipRecord},
    conf::routing::Routing,
    futures::future::join_all,
    hold::{Instance, Map, Registration, map::Delta},
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::{Service, Version, Vm},
    route::quarantine::CrashReport,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc::Sender, oneshot},
    },
};

/// The time one exchange with a peer may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

const MAX_BODY_BYTES: usize = 1 << 20;
const REPORT_PATH: &str = "/report";
const CHANGE_PATH: &str = "/change";
const LEADER_PATH: &str = "/lead";
const HELLO_PATH: &str = "/hello";

/// The requests for one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeyCount {
    pub(crate) key: u16,
    pub(crate) requests: u32,
}

/// The requests for the keys of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KeyLoad {
    pub(crate) service: Service,
    pub(crate) keys: Vec<KeyCount>,
}

/// How long one target took for its answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LatencyStats {
    pub(crate) service: Service,
    #[serde(rename = "life")]
    pub(crate) instance: Instance,
    pub(crate) count: u32,
    pub(crate) mean_ms: u64,
}

/// The version of one service's map.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MapVersion {
    pub(crate) service: Service,
    pub(crate) version: Version,
}

/// What an entry tells the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) vm: Vm,
    pub(crate) routing: Version,
    pub(crate) maps: Vec<MapVersion>,
    /// Whether the entry cannot read the list of targets.
    pub(crate) wants_targets: bool,
    pub(crate) load: Vec<KeyLoad>,
    #[serde(rename = "answers")]
    pub(crate) latencies: Vec<LatencyStats>,
    #[serde(rename = "strikes")]
    pub(crate) crash_reports: Vec<CrashReport>,
    /// Runs of targets that are proved to have ended.
    #[serde(rename = "ended")]
    pub(crate) ended_instances: Vec<Instance>,
}

/// A map with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NewMap {
    pub(crate) service: Service,
    pub(crate) version: Version,
    pub(crate) map: Map,
}

/// What the leader's newest write changed in a service's map.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MapDelta {
    pub(crate) service: Service,
    #[serde(rename = "change")]
    pub(crate) delta: Delta,
}

/// One entry of the list of targets with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct VersionedRegistration {
    #[serde(rename = "listing")]
    pub(crate) registration: Registration,
    pub(crate) version: Version,
    /// For how long the target has been leaving, at most, in milliseconds; zero if it is not.
    #[serde(rename = "left_ms")]
    pub(crate) leaving_for_ms: u64,
}

/// That a process has come to lead.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Announcement {
    #[serde(rename = "lead")]
    pub(crate) record: LeadershipRecord,
    /// The version of the row that says so.
    pub(crate) version: Version,
}

/// What the leader answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Reply {
    /// Whether the process that answers believes that it leads.
    pub(crate) leads: bool,
    /// Whether it cannot reach the store and asks to be replaced.
    pub(crate) resigning: bool,
    /// The entries that report, the leader included.
    pub(crate) entries: usize,
    pub(crate) routing: Option<Routing>,
    pub(crate) maps: Vec<NewMap>,
    pub(crate) targets: Option<Vec<VersionedRegistration>>,
    #[serde(rename = "strikes")]
    pub(crate) crash_reports: Vec<CrashReport>,
}

/// What an entry says about the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Whether it heard the leader a moment ago.
    #[serde(rename = "hears_leader")]
    pub(crate) is_leader_responsive: bool,
}

/// Answers peers, for ever.
pub(crate) async fn serve(listener: TcpListener, inputs: Sender<Input>) {
    wire::serve(listener, move |request| answer(request, inputs.clone())).await;
}

async fn answer(request: Request<Incoming>, inputs: Sender<Input>) -> wire::Reply {
    match request.uri().path() {
        REPORT_PATH if request.method() == Method::POST => {
            let Ok(report) = wire::read_json::<Report>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            let (reply_to, reply) = oneshot::channel();
            send(&inputs, Input::Report { report, reply_to }).await;
            reply_with(reply.await)
        }
        CHANGE_PATH if request.method() == Method::POST => {
            let Ok(delta) = wire::read_json::<MapDelta>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            send(&inputs, Input::MapDelta(delta)).await;
            wire::json(StatusCode::OK, &())
        }
        LEADER_PATH if request.method() == Method::POST => {
            let Ok(announcement) = wire::read_json::<Announcement>(request, MAX_BODY_BYTES).await
            else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            send(
                &inputs,
                Input::LeaderAnnounced {
                    record: announcement.record,
                    version: announcement.version,
                },
            )
            .await;
            wire::json(StatusCode::OK, &())
        }
        HELLO_PATH => {
            let (reply_to, reply) = oneshot::channel();
            send(&inputs, Input::Hello { reply_to }).await;
            reply_with(reply.await)
        }
        _ => wire::status(StatusCode::NOT_FOUND),
    }
}

fn reply_with<T: Serialize>(reply: Result<T, oneshot::error::RecvError>) -> wire::Reply {
    match reply {
        Ok(reply) => wire::json(StatusCode::OK, &reply),
        Err(_) => wire::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// The client side.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    client: wire::Client,
}

impl Peers {
    pub(crate) fn new() -> Self {
        Self { client: wire::Config::default().timeout(EXCHANGE_TIMEOUT).build() }
    }

    /// Reports to the leader.
    pub(crate) async fn report(&self, to: SocketAddr, report: &Report) -> Option<Reply> {
        self.client.post(to, REPORT_PATH, report).await.ok()
    }

    /// Sends a change to entries. One that cannot be reached gets the map with its next report.
    pub(crate) async fn push_delta(&self, members: Vec<SocketAddr>, delta: &MapDelta) {
        self.broadcast(members, CHANGE_PATH, delta).await;
    }

    /// Tells entries who leads.
    pub(crate) async fn announce_leadership(
        &self,
        members: Vec<SocketAddr>,
        announcement: &Announcement,
    ) {
        self.broadcast(members, LEADER_PATH, announcement).await;
    }

    async fn broadcast<T: Serialize + Sync>(
        &self,
        members: Vec<SocketAddr>,
        path: &str,
        message: &T,
    ) {
        let send = |to| async move { self.client.post::<_, ()>(to, path, message).await.is_ok() };
        join_all(members.into_iter().map(send)).await;
    }

    /// Asks entries whether they hear the leader: how many do not, and whether any does.
    pub(crate) async fn poll(&self, members: Vec<SocketAddr>) -> (usize, bool) {
        let ask = |to| async move { self.client.get::<Hello>(to, HELLO_PATH).await.ok() };
        let answers = join_all(members.into_iter().map(ask)).await;
        let is_heard = answers.iter().flatten().any(|hello| hello.is_leader_responsive);
        (answers.iter().flatten().filter(|hello| !hello.is_leader_responsive).count(), is_heard)
    }
}
