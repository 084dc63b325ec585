//! Reports of all entries to the leader, and its replies.
//!
//! An entry reports the load it has seen and the versions it knows; the reply carries whatever is
//! newer. So an entry that cannot reach the store continues with what the others know. See
//! docs/PLATFORM.md.

use {
    crate::{
        control::{feeds::send, input::Input, records::LeadershipRecord},
        permit,
        shared::Shared,
    },
    conf::routing::Routing,
    futures::future::join_all,
    hold::{Instance, Map, Registration, map::Delta},
    http::{Method, Request, StatusCode},
    hyper::body::{Body, Incoming},
    key::{Era, Incarnation, Service, Version, Vm, clock::Tick},
    limit::{Rate, Word},
    route::quarantine::CrashReport,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc::Sender, oneshot},
    },
};

/// The time one exchange with a peer may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// The time for which a transfer may bring no further byte.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_BODY_BYTES: usize = 1 << 20;
const REPORT_PATH: &str = "/report";
const CHANGE_PATH: &str = "/change";
const LEADER_PATH: &str = "/lead";
const HELLO_PATH: &str = "/hello";
const KNOWLEDGE_PATH: &str = "/knowledge";
const ROUTING_PATH: &str = "/routing";

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
    /// The version of the routing configuration here. A leader that has an older one, such as from a
    /// store that came back from a copy, fetches it.
    pub(crate) routing: Version,
    pub(crate) maps: Vec<MapVersion>,
    /// Whether the reply should include the registry: the entry cannot reach the store, or knows no
    /// target.
    pub(crate) wants_targets: bool,
    pub(crate) load: Vec<KeyLoad>,
    #[serde(rename = "answers")]
    pub(crate) latencies: Vec<LatencyStats>,
    #[serde(rename = "strikes")]
    pub(crate) crash_reports: Vec<CrashReport>,
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
    pub(crate) crash_reports: Vec<CrashReport>,
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
}

/// Serves the calls of peers; never returns.
pub(crate) async fn serve(listener: TcpListener, inputs: Sender<Input>, shared: Arc<Shared>) {
    let handle = move |request| handle_call(request, inputs.clone(), Arc::clone(&shared));
    wire::serve(listener, handle).await;
}

/// Handles one call of a peer, and counts the bytes of its body and of the reply.
async fn handle_call(
    request: Request<Incoming>,
    inputs: Sender<Input>,
    shared: Arc<Shared>,
) -> wire::Reply {
    let call = call_name(request.uri().path());
    let received = request.body().size_hint().exact().unwrap_or_default();
    shared.counters.add("peer_bytes_received", call, received);
    let reply = answer_call(request, inputs, Arc::clone(&shared)).await;
    let sent = reply.body().size_hint().exact().unwrap_or_default();
    shared.counters.add("peer_bytes_sent", call, sent);
    reply
}

/// Returns the label of a call in the metrics.
fn call_name(path: &str) -> &'static str {
    let names = [
        permit::PATH,
        REPORT_PATH,
        CHANGE_PATH,
        LEADER_PATH,
        HELLO_PATH,
        KNOWLEDGE_PATH,
        ROUTING_PATH,
    ];
    names.into_iter().find(|name| *name == path).unwrap_or("other")
}

/// Answers one call of a peer.
async fn answer_call(
    request: Request<Incoming>,
    inputs: Sender<Input>,
    shared: Arc<Shared>,
) -> wire::Reply {
    match request.uri().path() {
        permit::PATH if request.method() == Method::POST => {
            permit::handle_call(&shared, request).await
        }
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
        KNOWLEDGE_PATH if request.method() == Method::POST => {
            let Ok(query) = wire::read_json::<KnowledgeQuery>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            let (reply_to, reply) = oneshot::channel();
            send(&inputs, Input::Knowledge { query, reply_to }).await;
            reply_with(reply.await)
        }
        ROUTING_PATH if request.method() == Method::POST => {
            let Ok(known) = wire::read_json::<Version>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            let routing = shared.snapshot.load().routing.clone();
            let newer = routing.filter(|routing| routing.version > known);
            wire::json(StatusCode::OK, &newer)
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

/// The client for calls to other entries.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    client: wire::Client,
    /// The client for transfers whose size grows with the configuration.
    transfer_client: wire::Client,
}

impl Peers {
    pub(crate) fn new() -> Self {
        let config = wire::Config::default().timeout(EXCHANGE_TIMEOUT);
        Self {
            client: config.build(),
            transfer_client: config.stall_timeout(Some(STALL_TIMEOUT)).build(),
        }
    }

    /// Sends a report to the leader; returns `None` if the call fails.
    pub(crate) async fn report(&self, to: SocketAddr, report: &Report) -> Option<Reply> {
        self.client.post(to, REPORT_PATH, report).await.ok()
    }

    /// Fetches the routing configuration from another entry; returns `None` if the call fails or the
    /// entry has none that is newer than `known`.
    pub(crate) async fn fetch_routing(&self, from: SocketAddr, known: Version) -> Option<Routing> {
        let newer = self.transfer_client.post(from, ROUTING_PATH, &known).await;
        newer.ok().flatten()
    }

    /// Sends a map delta to entries. One that cannot be reached gets the map with the reply to its
    /// next report.
    pub(crate) async fn push_delta(&self, members: Vec<SocketAddr>, delta: &MapDelta) {
        self.broadcast(members, CHANGE_PATH, delta).await;
    }

    /// Announces the leader to entries.
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

    /// Asks entries what they know; those that do not answer in time are left out.
    pub(crate) async fn collect_knowledge(
        &self,
        members: Vec<SocketAddr>,
        query: &KnowledgeQuery,
    ) -> Vec<(SocketAddr, Knowledge)> {
        let ask = |to| async move {
            let answer = self.client.post(to, KNOWLEDGE_PATH, query).await.ok()?;
            Some((to, answer))
        };
        join_all(members.into_iter().map(ask)).await.into_iter().flatten().collect()
    }

    /// Asks entries whether the leader responds to them. Returns how many say that it does not, and
    /// whether any says that it does.
    pub(crate) async fn poll(&self, members: Vec<SocketAddr>) -> (usize, bool) {
        let ask = |to| async move { self.client.get::<Hello>(to, HELLO_PATH).await.ok() };
        let replies = join_all(members.into_iter().map(ask)).await;
        let any_responsive = replies.iter().flatten().any(|hello| hello.is_leader_responsive);
        (
            replies.iter().flatten().filter(|hello| !hello.is_leader_responsive).count(),
            any_responsive,
        )
    }
}
