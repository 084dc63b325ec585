//! The operators' API: requests and changes over HTTP, which any entry serves.

use {
    crate::control::input::{Input, InputSender},
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::{Fence, Incarnation, Process, Service, Shard, Term, Version, Vm, Zone},
    quota::Group,
    report::{Record, burn::ServiceBurn},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    tokio::{net::TcpListener, sync::oneshot},
    wire::Limiter,
};

/// The size of the largest operators' configuration that is accepted.
const MAX_CONFIG_BYTES: usize = 4 << 20;

/// The number of records that a history shows if the request gives no limit.
const DEFAULT_HISTORY_RECORDS: usize = 200;

/// A request of an operator.
#[derive(Debug)]
pub(crate) enum OperatorRequest {
    Status,
    Why { service: String, key: String },
    History { limit: usize },
    Config,
    ConfigLog { version: Version },
    Put { base: Version, by: String, text: String },
    Drain { vm: Vm, on: bool, by: String },
    Vouch { vm: Vm, by: String },
    Burn,
}

/// The HTTP response to an operator.
pub(crate) type Reply = wire::Reply;

/// A result collected from several entries, with those that did not contribute.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer<T> {
    /// The result.
    pub result: T,
    /// The VMs of the entries that could not be reached or did not reply in time.
    pub unreached: Vec<Vm>,
}

/// The state of the fleet as one entry knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The process of this entry.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The version of the operators' configuration in force there.
    pub config: Version,
    /// The time since the last successful poll of the platform's table, in milliseconds; `None` if
    /// there was none.
    #[serde(rename = "table_ms")]
    pub table_age_ms: Option<u64>,
    /// The cells.
    pub cells: Vec<CellStatus>,
    /// The other entries.
    pub peers: Vec<PeerStatus>,
    /// The services with their targets.
    pub services: Vec<ServiceStatus>,
}

/// The state of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The name.
    pub name: Service,
    /// Whether requests are routed by key.
    pub keyed: bool,
    /// Whether this entry counts it as down: no target, or too many requests failed.
    pub down: bool,
    /// The state of its targets as this entry knows it.
    pub targets: Vec<TargetStatus>,
}

/// The state of one target as one entry knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The VM.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The number of shards that it owns.
    pub shards: usize,
    /// The number of requests that this entry has in flight at it.
    pub in_flight: usize,
    /// Whether it is ejected here, since attempts at it failed.
    pub failing: bool,
    /// Whether it is drained or has announced that it will stop.
    pub leaving: bool,
}

/// The state of one cell, which is a group of targets with the shards they share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellStatus {
    /// The name of the cell.
    pub cell: String,
    /// The version of its row.
    pub version: Version,
    /// The term of its primary.
    pub term: Term,
    /// The entry that decides for the cell.
    #[serde(rename = "guardian")]
    pub primary: Option<Process>,
    /// The entries that take over if the primary fails.
    #[serde(rename = "deputies")]
    pub standbys: Vec<Process>,
    /// Earlier primaries and standbys that may still renew leases.
    pub former: Vec<Process>,
    /// The number of its targets.
    pub targets: usize,
    /// The number of its shards.
    pub shards: usize,
    /// The number of its shards without an owner.
    pub vacant: usize,
}

/// The state of another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The process.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The time since its last heartbeat, in milliseconds.
    #[serde(rename = "silent_ms")]
    pub heartbeat_age_ms: u64,
    /// The version of the operators' configuration that its last heartbeat named.
    pub config: Version,
}

/// The state of one key, and the records that explain it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyStatus {
    /// The service.
    pub service: Service,
    /// The key.
    pub key: String,
    /// The shard of the key.
    pub shard: Shard,
    /// The target that owns the shard.
    pub owner: Option<Vm>,
    /// The incarnation of the owner from its last response to this entry.
    pub incarnation: Option<Incarnation>,
    /// The fencing token of the shard.
    pub fence: Fence,
    /// The cell that the shard belongs to.
    pub cell: String,
    /// The version of the cell's row.
    pub version: Version,
    /// The entry that decides for the cell.
    #[serde(rename = "guardian")]
    pub primary: Option<Process>,
    /// Unresponsive processes that may still renew leases of the cell.
    #[serde(rename = "awaited")]
    pub possible_renewers: Vec<Process>,
    /// The decision that assigned the shard to its owner, if it is still kept.
    #[serde(rename = "decided")]
    pub decision: Option<Record>,
    /// The latest records that concern the owner or the shard.
    pub recent: Vec<Record>,
}

/// A version of the operators' configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigText {
    /// The version.
    pub version: Version,
    /// The author, as the operator named it.
    pub by: String,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text.
    pub text: String,
}

/// An accepted change of the operators' configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The new version.
    pub version: Version,
}

/// The reason why a change failed, or that its result is unknown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeError {
    /// The version that the change is based on is not the current one, which is given.
    Version(ConfigText),
    /// The text is not a valid configuration.
    Invalid {
        /// The problem.
        problem: String,
        /// The line, starting at one.
        line: Option<usize>,
        /// The column, starting at one.
        column: Option<usize>,
    },
    /// The platform did not answer, so the change may or may not have been made.
    Unknown,
    /// The platform refused the write; the change was not made.
    Refused,
}

/// Serves operators' requests until the process ends.
pub(crate) async fn serve(listener: TcpListener, limiter: Limiter, inputs: InputSender) {
    wire::serve_within(listener, limiter, Group::Control, move |request| {
        let inputs = inputs.clone();
        async move {
            let request = match parse_request(request).await {
                Ok(request) => request,
                Err(status) => return wire::status(status),
            };
            let (respond_to, receiver) = oneshot::channel();
            inputs.send(Input::Operator { request, respond_to }).await;
            receiver.await.unwrap_or_else(|_| wire::status(StatusCode::SERVICE_UNAVAILABLE))
        }
    })
    .await;
}

async fn parse_request(request: Request<Incoming>) -> Result<OperatorRequest, StatusCode> {
    let query = parse_query(request.uri().query().unwrap_or_default());
    let parameter = |name: &str| query.get(name).cloned().ok_or(StatusCode::BAD_REQUEST);
    let number = |name: &str| parameter(name)?.parse::<u64>().map_err(|_| StatusCode::BAD_REQUEST);
    let vm = || parameter("vm").map(|vm| Vm::from(vm.as_str()));
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/status") => Ok(OperatorRequest::Status),
        (&Method::GET, "/why") => {
            Ok(OperatorRequest::Why { service: parameter("service")?, key: parameter("key")? })
        }
        (&Method::GET, "/history") => {
            let limit = number("limit").map_or(DEFAULT_HISTORY_RECORDS, |limit| limit as usize);
            Ok(OperatorRequest::History { limit })
        }
        (&Method::GET, "/config") => Ok(OperatorRequest::Config),
        (&Method::GET, "/config/log") => {
            Ok(OperatorRequest::ConfigLog { version: number("version")?.into() })
        }
        (&Method::GET, "/burn") => Ok(OperatorRequest::Burn),
        (&Method::POST, "/drain") => Ok(OperatorRequest::Drain {
            vm: vm()?,
            on: parameter("on")? == "true",
            by: parameter("by")?,
        }),
        (&Method::POST, "/vouch") => Ok(OperatorRequest::Vouch { vm: vm()?, by: parameter("by")? }),
        (&Method::POST, "/config") => {
            let (base, by) = (number("base")?.into(), parameter("by")?);
            let body = wire::read_body(request, MAX_CONFIG_BYTES).await;
            let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
            let text = String::from_utf8(body.to_vec()).map_err(|_| StatusCode::BAD_REQUEST)?;
            Ok(OperatorRequest::Put { base, by, text })
        }
        _ => Err(StatusCode::NOT_FOUND),
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let parameters = text.split('&').filter_map(|pair| pair.split_once('='));
    parameters.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

/// Decodes percent encoding. Malformed escapes stay as they are; invalid UTF-8 is replaced.
fn decode_percent(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// The burn of each service, merged from all entries.
pub(crate) type BurnAnswer = Answer<Vec<ServiceBurn>>;
