//! Operators' changes: each is a transaction whose result is found out before it is told.

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

/// The row of the operators' text.
pub(crate) const CONFIG_ROW: &str = "control/config";
/// The prefix of the rows of targets to be emptied.
pub(crate) const DRAIN_PREFIX: &str = "control/drain/";
/// The prefix of the rows of VMs that operators vouched for.
pub(crate) const VOUCH_PREFIX: &str = "control/vouch/";
/// The prefix of the rows that keep every version of the operators' text.
const CONFIG_LOG_PREFIX: &str = "config-log/";

/// The longest time until the result of a change is known.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The content of the row of the operators' text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigRow {
    pub(crate) text: String,
    pub(crate) by: String,
    pub(crate) at_ms: u64,
    token: u64,
}

/// The content of a row that marks a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VmMark {
    by: String,
    at_ms: u64,
}

impl ConfigRow {
    /// Reads the row, if it has a text.
    pub(crate) fn decode(row: &Row) -> Option<Self> {
        serde_json::from_str(row.value.as_ref()?).ok()
    }

    pub(crate) fn into_config_text(self, version: Version) -> ConfigText {
        ConfigText { version, by: self.by, at_ms: self.at_ms, text: self.text }
    }
}

/// Checks a text against itself and against the one in force.
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
        let before = current.service(service.name.as_str());
        if let Some(before) = before.filter(|before| shard_layout(before) != shard_layout(service))
        {
            let name = &before.name;
            let problem = format!(
                "service `{name}`: `shards`, `cells_per_zone` and the kind of a service cannot \
                 change while it has owners, expected them as they are",
            );
            return Err(ChangeError::Invalid { problem, line: None, column: None });
        }
    }
    Ok(parsed)
}

/// What decides in which row a shard stands.
fn shard_layout(service: &services::Service) -> Option<(u64, u64)> {
    let keyed = service.keyed.as_ref()?;
    Some((keyed.shards.get(), keyed.cells_per_zone.get()))
}

/// Writes a text that was checked, and answers with the version or the conflict.
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
                let text = peer::Versioned { version, value: row.text };
                inputs.send(Input::ConfigCommitted { text, by: row.by }).await;
                wire::json(StatusCode::OK, &ConfigChange { version })
            }
            Err(conflict) => error_reply(&conflict),
        };
        respond_to.send(reply).ok();
    });
}

/// Returns the answer for a change that was not taken.
pub(crate) fn error_reply(conflict: &ChangeError) -> Reply {
    let status = match conflict {
        ChangeError::Version(_) => StatusCode::CONFLICT,
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::Unknown => StatusCode::GATEWAY_TIMEOUT,
        ChangeError::Refused => StatusCode::SERVICE_UNAVAILABLE,
    };
    wire::json(status, conflict)
}

async fn commit_config(
    platform: &Client,
    base: Version,
    row: &ConfigRow,
) -> Result<Version, ChangeError> {
    let version = base.next();
    let value = serde_json::to_string(row).ok();
    let log = SmolStr::from(format!("{CONFIG_LOG_PREFIX}{version}"));
    let name = SmolStr::new_static(CONFIG_ROW);
    let transaction = Transaction {
        conditions: vec![Condition { name: name.clone(), version: base }],
        writes: vec![Write { name, value: value.clone() }, Write { name: log, value }],
    };
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut uncertain = false;
    while Instant::now() < deadline {
        match platform.commit(&transaction).await {
            Commit::Committed(_) => return Ok(version),
            Commit::Conflict(rows) => return resolve_conflict(platform, &rows, row, version).await,
            Commit::Refused if !uncertain => return Err(ChangeError::Refused),
            Commit::Refused | Commit::Ambiguous => {
                uncertain = true;
                time::sleep(COMMIT_RETRY_INTERVAL).await;
            }
        }
    }
    Err(ChangeError::Unknown)
}

/// Finds out whether the row that is in the way is our own, written by a try whose answer was lost.
async fn resolve_conflict(
    platform: &Client,
    rows: &[Row],
    ours: &ConfigRow,
    version: Version,
) -> Result<Version, ChangeError> {
    let Some(row) = rows.first() else { return Err(ChangeError::Unknown) };
    let Some(current) = ConfigRow::decode(row) else {
        let absent =
            ConfigText { version: row.version, by: String::new(), at_ms: 0, text: String::new() };
        return Err(ChangeError::Version(absent));
    };
    if current == *ours {
        return Ok(version);
    }
    if row.version > version && read_log(platform, version).await.as_ref() == Some(ours) {
        // Ours took effect, and another followed it.
        return Ok(version);
    }
    Err(ChangeError::Version(current.into_config_text(row.version)))
}

async fn read_log(platform: &Client, version: Version) -> Option<ConfigRow> {
    let row = platform.read_row(&format!("{CONFIG_LOG_PREFIX}{version}")).await.ok()?;
    ConfigRow::decode(&row)
}

/// Answers with one version of the operators' text.
pub(crate) fn reply_with_version(
    handles: &Handles,
    version: Version,
    respond_to: oneshot::Sender<Reply>,
) {
    let platform = handles.platform.clone();
    spawn_local(async move {
        let reply = match platform.read_row(&format!("{CONFIG_LOG_PREFIX}{version}")).await {
            Ok(row) => match ConfigRow::decode(&row) {
                Some(found) => wire::json(StatusCode::OK, &found.into_config_text(version)),
                None => wire::status(StatusCode::NOT_FOUND),
            },
            Err(_) => wire::status(StatusCode::SERVICE_UNAVAILABLE),
        };
        respond_to.send(reply).ok();
    });
}

/// Marks a VM in the table, or takes the mark away, and puts the change on record.
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
