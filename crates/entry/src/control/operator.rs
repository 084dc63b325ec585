//! The operators' side: questions and changes over HTTP, from any one entry.

use {
    crate::control::input::{Input, InputSender},
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::{Fence, Incarnation, Process, Service, Shard, Term, Version, Vm, Zone},
    report::{Record, burn::Line},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
    tokio::{net::TcpListener, sync::oneshot},
};

/// The largest operators' text.
const MAX_CONFIG_BYTES: usize = 4 << 20;

/// The records that a history shows unless more are asked for.
const DEFAULT_HISTORY_RECORDS: usize = 200;

/// What an operator asks.
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

/// The answer to an operator.
pub(crate) type Reply = wire::Reply;

/// A result that says which entries could not be asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer<T> {
    /// The result.
    pub result: T,
    /// The entries that could not be reached.
    pub unreached: Vec<Vm>,
}

/// What one entry knows of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The process that answers.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The version of the operators' text in force there.
    pub config: Version,
    /// The milliseconds since the platform's table last answered, if it ever did.
    #[serde(rename = "table_ms")]
    pub table_age_ms: Option<u64>,
    /// The cells.
    pub cells: Vec<CellStatus>,
    /// The other entries.
    pub peers: Vec<PeerStatus>,
    /// The services with the number of their targets.
    pub services: Vec<ServiceStatus>,
}

/// One service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The name.
    pub name: Service,
    /// Whether it is served by key.
    pub keyed: bool,
    /// Whether this entry finds it down.
    pub down: bool,
    /// The targets and what this entry sees of them.
    pub targets: Vec<TargetStatus>,
}

/// One target as this entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The VM.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shards it owns.
    pub shards: usize,
    /// The requests this entry has in flight there.
    pub in_flight: usize,
    /// Whether this entry passes it over.
    pub failing: bool,
    /// Whether it is being emptied or will stop soon.
    pub leaving: bool,
}

/// One cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellStatus {
    /// The name.
    pub cell: String,
    /// The version of its row.
    pub version: Version,
    /// The term of its guardian.
    pub term: Term,
    /// The guardian.
    #[serde(rename = "guardian")]
    pub primary: Option<Process>,
    /// The deputies.
    #[serde(rename = "deputies")]
    pub standbys: Vec<Process>,
    /// The processes not yet proved to have stopped.
    pub former: Vec<Process>,
    /// The number of its targets.
    pub targets: usize,
    /// The number of its shards.
    pub shards: usize,
    /// The number of its shards without an owner.
    pub vacant: usize,
}

/// Another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The process.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The milliseconds since it was last heard.
    #[serde(rename = "silent_ms")]
    pub heartbeat_age_ms: u64,
    /// The version of the operators' text in force there when it was last heard.
    pub config: Version,
}

/// What is known of one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyStatus {
    /// The service.
    pub service: Service,
    /// The key.
    pub key: String,
    /// Its shard.
    pub shard: Shard,
    /// The owner.
    pub owner: Option<Vm>,
    /// The run of the owner that last answered this entry.
    pub incarnation: Option<Incarnation>,
    /// The fence.
    pub fence: Fence,
    /// The cell.
    pub cell: String,
    /// The version of the cell's row.
    pub version: Version,
    /// The guardian.
    #[serde(rename = "guardian")]
    pub primary: Option<Process>,
    /// Processes that are not proved to have stopped renewing.
    #[serde(rename = "awaited")]
    pub possible_renewers: Vec<Process>,
    /// The decision that made the owner what it is, as far as it is still kept.
    #[serde(rename = "decided")]
    pub decision: Option<Record>,
    /// The latest records that concern the owner or the shard.
    pub recent: Vec<Record>,
}

/// The operators' text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigText {
    /// The version.
    pub version: Version,
    /// Who wrote it, as the operator says.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The text.
    pub text: String,
}

/// An accepted change of the operators' text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The new version.
    pub version: Version,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeError {
    /// Another change came first.
    Version(ConfigText),
    /// The text is wrong, and where.
    Invalid {
        /// What is wrong.
        problem: String,
        /// The line, from one.
        line: Option<usize>,
        /// The column, from one.
        column: Option<usize>,
    },
    /// The platform does not answer; whether the change was taken is not known.
    Unknown,
    /// The platform refuses; the change was not taken.
    Refused,
}

/// Answers operators, for ever.
pub(crate) async fn serve(listener: TcpListener, inputs: InputSender) {
    wire::serve(listener, move |request| {
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
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect()
}

/// Undoes percent encoding; what is no valid encoding stays as it is.
fn decode_percent(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// The burn as an answer.
pub(crate) type BurnAnswer = Answer<Vec<Line>>;
