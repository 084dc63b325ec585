//! Operators' changes, each a transaction on the platform's table.
//!
//! A change of the configuration is retried until its result is known or a timeout has passed, so
//! that the reply states the result. A retry is harmless, since the transaction applies only to the
//! version that the operator named.

use {
    crate::control::{
        Handles,
        input::Input,
        operator::{ChangeError, ConfigChange, ConfigText, Reply},
        table::CONTROL_PREFIX,
    },
    conf::{OperatorConfig, services},
    http::StatusCode,
    key::{Version, Vm},
    report::log::wall_clock_ms,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::time::{Duration, Instant},
    store::{
        Client, Commit,
        table::{Condition, Row, Transaction, Write},
    },
    tokio::{sync::oneshot, task::spawn_local, time},
};

/// The name of the row of the operators' configuration.
pub(crate) const CONFIG_ROW: &str = "control/config";
/// The prefix of the rows of targets to drain.
pub(crate) const DRAIN_PREFIX: &str = "control/drain/";
/// The prefix of the rows of VMs that operators vouch have ended.
pub(crate) const VOUCH_PREFIX: &str = "control/vouch/";
/// The prefix of the rows that keep every version of the operators' configuration.
const CONFIG_LOG_PREFIX: &str = "config-log/";

/// The time after which a change whose result is not known is reported as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The content of the row of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigRow {
    pub(crate) text: String,
    pub(crate) by: String,
    pub(crate) at_ms: u64,
    token: u64,
}

/// The content of a row that marks a VM as drained or vouched for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VmMark {
    by: String,
    at_ms: u64,
}

impl ConfigRow {
    /// Decodes the row; returns `None` if it has no value or one that is not valid.
    pub(crate) fn decode(row: &Row) -> Option<Self> {
        serde_json::from_str(row.value.as_ref()?).ok()
    }

    pub(crate) fn into_config_text(self, version: Version) -> ConfigText {
        ConfigText { version, by: self.by, at_ms: self.at_ms, text: self.text }
    }
}

/// Parses a configuration and checks that it is allowed to follow the one in force.
pub(crate) fn validate(
    text: &str,
    current: &OperatorConfig,
) -> Result<OperatorConfig, ChangeError> {
    let parsed = OperatorConfig::parse(text).map_err(|error| ChangeError::Invalid {
        problem: error.kind().to_string(),
        line: error.position().map(|position| position.line),
        column: error.position().map(|position| position.column),
    })?;
    for service in &parsed.services {
        let previous = current.service(service.name.as_str());
        if let Some(previous) =
            previous.filter(|previous| shard_layout(previous) != shard_layout(service))
        {
            let name = &previous.name;
            let problem = format!(
                "service `{name}`: `shards`, `cells_per_zone` and the kind of a service cannot \
                 change while it has owners, expected them as they are",
            );
            return Err(ChangeError::Invalid { problem, line: None, column: None });
        }
    }
    Ok(parsed)
}

/// Returns the numbers of shards and cells, which decide the row in which a shard is stored.
fn shard_layout(service: &services::Service) -> Option<(u64, u64)> {
    let keyed = service.keyed.as_ref()?;
    Some((keyed.shards.get(), keyed.cells_per_zone.get()))
}

/// Writes a validated configuration and replies with its version or the reason of the failure.
pub(crate) fn put_config(
    handles: &Handles,
    base: Version,
    by: String,
    text: String,
    respond_to: oneshot::Sender<Reply>,
) {
    let (platform, inputs) = (handles.platform.clone(), handles.inputs.clone());
    spawn_local(async move {
        let row = ConfigRow { text, by, at_ms: wall_clock_ms(), token: rand::random() };
        let reply = match commit_config(&platform, base, &row).await {
            Ok(version) => {
                let config = peer::Versioned { version, value: row.text };
                inputs.send(Input::ConfigCommitted { config, by: row.by }).await;
                wire::json(StatusCode::OK, &ConfigChange { version })
            }
            Err(error) => error_reply(&error),
        };
        respond_to.send(reply).ok();
    });
}

/// Returns the reply for a change that failed or whose result is unknown.
pub(crate) fn error_reply(error: &ChangeError) -> Reply {
    let status = match error {
        ChangeError::Version(_) => StatusCode::CONFLICT,
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::Unknown => StatusCode::GATEWAY_TIMEOUT,
        ChangeError::Refused => StatusCode::SERVICE_UNAVAILABLE,
    };
    wire::json(status, error)
}

async fn commit_config(
    platform: &Client,
    base: Version,
    row: &ConfigRow,
) -> Result<Version, ChangeError> {
    let version = base.next();
    let value = serde_json::to_string(row).ok();
    let log_name = SmolStr::from(format!("{CONFIG_LOG_PREFIX}{version}"));
    let name = SmolStr::new_static(CONFIG_ROW);
    let transaction = Transaction {
        conditions: vec![Condition { name: name.clone(), version: base }],
        writes: vec![Write { name, value: value.clone() }, Write { name: log_name, value }],
    };
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut may_be_committed = false;
    while Instant::now() < deadline {
        match platform.commit(&transaction).await {
            Commit::Committed(_) => return Ok(version),
            Commit::Conflict(rows) => return resolve_conflict(platform, &rows, row, version).await,
            // After an ambiguous result, a refusal says nothing about the earlier attempt.
            Commit::Refused if !may_be_committed => return Err(ChangeError::Refused),
            Commit::Refused | Commit::Ambiguous => {
                may_be_committed = true;
                time::sleep(COMMIT_RETRY_INTERVAL).await;
            }
        }
    }
    Err(ChangeError::Unknown)
}

/// Determines whether a conflict is with the attempted row itself.
///
/// That is so if an earlier attempt wrote it and the reply to that attempt was lost.
async fn resolve_conflict(
    platform: &Client,
    rows: &[Row],
    attempted: &ConfigRow,
    version: Version,
) -> Result<Version, ChangeError> {
    let Some(row) = rows.first() else { return Err(ChangeError::Unknown) };
    let Some(current) = ConfigRow::decode(row) else {
        let no_config =
            ConfigText { version: row.version, by: String::new(), at_ms: 0, text: String::new() };
        return Err(ChangeError::Version(no_config));
    };
    if current == *attempted {
        return Ok(version);
    }
    if row.version > version && read_config_log(platform, version).await.as_ref() == Some(attempted)
    {
        // The attempted version was committed, and a later one has replaced it.
        return Ok(version);
    }
    Err(ChangeError::Version(current.into_config_text(row.version)))
}

async fn read_config_log(platform: &Client, version: Version) -> Option<ConfigRow> {
    let row = platform.read_row(&format!("{CONFIG_LOG_PREFIX}{version}")).await.ok()?;
    ConfigRow::decode(&row)
}

/// Replies with one version of the operators' configuration.
pub(crate) fn reply_with_version(
    handles: &Handles,
    version: Version,
    respond_to: oneshot::Sender<Reply>,
) {
    let platform = handles.platform.clone();
    spawn_local(async move {
        let reply = match platform.read_row(&format!("{CONFIG_LOG_PREFIX}{version}")).await {
            Ok(row) => match ConfigRow::decode(&row) {
                Some(row) => wire::json(StatusCode::OK, &row.into_config_text(version)),
                None => wire::status(StatusCode::NOT_FOUND),
            },
            Err(_) => wire::status(StatusCode::SERVICE_UNAVAILABLE),
        };
        respond_to.send(reply).ok();
    });
}

/// Sets or removes the mark of a VM in the table and records the change.
pub(crate) fn set_vm_mark(
    handles: &Handles,
    prefix: &'static str,
    vm: &Vm,
    on: bool,
    kind: report::Kind,
    respond_to: oneshot::Sender<Reply>,
) {
    debug_assert!(prefix.starts_with(CONTROL_PREFIX));
    let (platform, inputs) = (handles.platform.clone(), handles.inputs.clone());
    let by = match &kind {
        report::Kind::Drained { by, .. } | report::Kind::Vouched { by, .. } => by.clone(),
        _ => String::new(),
    };
    let mark = VmMark { by, at_ms: wall_clock_ms() };
    let value = if on { serde_json::to_string(&mark).ok() } else { None };
    let name = SmolStr::from(format!("{prefix}{vm}"));
    let write = Write { name, value };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
    spawn_local(async move {
        let reply = match platform.commit(&transaction).await {
            Commit::Committed(_) => {
                inputs.send(Input::ChangeCommitted(kind)).await;
                wire::json(StatusCode::OK, &())
            }
            Commit::Conflict(_) | Commit::Refused => error_reply(&ChangeError::Refused),
            Commit::Ambiguous => error_reply(&ChangeError::Unknown),
        };
        respond_to.send(reply).ok();
    });
}
