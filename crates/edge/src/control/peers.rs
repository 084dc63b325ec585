//! The calls between entries: their server and their client.
//!
//! So that an entry that cannot reach the store continues with what the others know. See
//! docs/PLATFORM.md.

use {
    crate::{
        control::{
            feeds::send,
            input::Input,
            message::{
                Announcement, Hello, KeyMoves, Knowledge, KnowledgeQuery, MapDelta, RegistryQuery,
                RegistryUpdate, Reply, Report,
            },
        },
        permit,
        shared::Shared,
    },
    conf::routing::Routing,
    futures::future::join_all,
    http::{Method, Request, StatusCode},
    hyper::body::{Body, Incoming},
    key::Version,
    member::Pace,
    quota::Group,
    serde::Serialize,
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
const MOVES_PATH: &str = "/moves";
const LEADER_PATH: &str = "/lead";
const HELLO_PATH: &str = "/hello";
const KNOWLEDGE_PATH: &str = "/knowledge";
const ROUTING_PATH: &str = "/routing";
const REGISTRY_PATH: &str = "/registry";

/// Serves the calls of peers; never returns.
pub(crate) async fn serve(listener: TcpListener, inputs: Sender<Input>, shared: Arc<Shared>) {
    let limiter = shared.limiter.clone();
    let handle = move |request| handle_call(request, inputs.clone(), Arc::clone(&shared));
    wire::serve_within(listener, limiter, Group::Control, handle).await;
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
        permit::cold::PATH,
        REPORT_PATH,
        CHANGE_PATH,
        MOVES_PATH,
        LEADER_PATH,
        HELLO_PATH,
        KNOWLEDGE_PATH,
        ROUTING_PATH,
        REGISTRY_PATH,
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
        permit::cold::PATH if request.method() == Method::POST => {
            permit::cold::handle_call(&shared, request).await
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
        MOVES_PATH if request.method() == Method::POST => {
            let Ok(moves) = wire::read_json::<KeyMoves>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            send(&inputs, Input::KeyMoves(moves)).await;
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
        REGISTRY_PATH if request.method() == Method::POST => {
            let Ok(query) = wire::read_json::<RegistryQuery>(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            let (reply_to, reply) = oneshot::channel();
            send(&inputs, Input::RegistryQuery { query, reply_to }).await;
            reply_with(reply.await)
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
    /// The client for polls that the other entry answers once something has changed.
    poll_client: wire::Client,
}

impl Peers {
    pub(crate) fn new(pace: Pace) -> Self {
        let config = wire::Config::default().timeout(EXCHANGE_TIMEOUT);
        Self {
            client: config.build(),
            transfer_client: config.stall_timeout(Some(STALL_TIMEOUT)).build(),
            poll_client: config
                .timeout(pace.wait + pace.margin)
                .stall_timeout(Some(STALL_TIMEOUT))
                .build(),
        }
    }

    /// Sends a report to the leader; returns `None` if the call fails.
    pub(crate) async fn report(&self, to: SocketAddr, report: &Report) -> Option<Reply> {
        self.client.post(to, REPORT_PATH, report).await.ok()
    }

    /// Fetches the routing configuration from another entry; returns `None` if the call fails or
    /// the entry has none that is newer than `known`.
    pub(crate) async fn fetch_routing(&self, from: SocketAddr, known: Version) -> Option<Routing> {
        let newer = self.transfer_client.post(from, ROUTING_PATH, &known).await;
        newer.ok().flatten()
    }

    /// Asks another entry what has changed in the registry; returns `None` if the call fails.
    pub(crate) async fn poll_registry(
        &self,
        to: SocketAddr,
        query: &RegistryQuery,
    ) -> Option<RegistryUpdate> {
        self.poll_client.post(to, REGISTRY_PATH, query).await.ok()
    }

    /// Returns true if another entry answers and can be followed, as far as it tells.
    pub(crate) async fn can_be_followed(&self, to: SocketAddr) -> bool {
        let hello = self.client.get::<Hello>(to, HELLO_PATH).await;
        hello.is_ok_and(|hello| hello.reads_store.unwrap_or(true))
    }

    /// Sends a map delta to entries. One that cannot be reached gets the map with the reply to its
    /// next report.
    pub(crate) async fn push_delta(&self, members: Vec<SocketAddr>, delta: &MapDelta) {
        self.broadcast(members, CHANGE_PATH, delta).await;
    }

    /// Tells entries which keys are about to leave their holders. One that cannot be reached is told
    /// with the next change of them, or finds out from the holder.
    pub(crate) async fn push_moves(&self, members: Vec<SocketAddr>, moves: &KeyMoves) {
        self.broadcast(members, MOVES_PATH, moves).await;
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
