//! A stand-in for the store of the users' platform: rows, transactions and feeds, with faults.
//!
//! Rows are kept in memory. Each commit, direct write and expiry raises the version of the whole
//! store by one. A bounded history of changes answers the feeds; a feed that asks for changes older
//! than the history gets status 410. Rows of the table of targets expire unless they are written
//! again. The store can go back to a copy of its rows, which loses what was written since.

use {
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::clock::Tick,
    percent_encoding::percent_decode_str,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time},
};

const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_PAGE_ROWS: usize = 500;
const MAX_HISTORY_CHANGES: usize = 10_000;
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// How long a call that must stay unanswered is kept open.
const UNANSWERED_CALL_DELAY: Duration = Duration::from_secs(120);

/// The table in which targets register; its rows expire.
const TARGETS_TABLE: &str = "servers";

/// The time after its last write after which a target's registration expires.
const REGISTRATION_LIFETIME: Duration = Duration::from_millis(1_500);

/// The faults to inject, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// The status with which every call is refused; refused calls have no effect.
    pub refuse: Option<u16>,
    /// Whether calls stay unanswered.
    pub silent: bool,
    /// The fraction of transactions, from 0 to 1, that are applied but not answered.
    pub lose_answers: f64,
    /// The delay before such a transaction is applied, in milliseconds.
    pub late_ms: u64,
    /// The delay added to each call, in milliseconds.
    pub slow_ms: u64,
}

/// The table, part and key of a row.
type RowId = (String, String, String);

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    id: RowId,
    /// The new value, or `None` if the row was removed.
    value: Option<String>,
}

/// The rows of a store at one moment, to which it can go back.
#[derive(Clone, Debug)]
pub struct Copy {
    rows: BTreeMap<RowId, (String, u64)>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Which return from a copy the store last made, which every response states; it starts at one.
    era: u64,
    rows: BTreeMap<RowId, (String, u64)>,
    changes: VecDeque<Change>,
    /// The newest version that is no longer in the history.
    compacted_version: u64,
    version: u64,
    /// When each target last wrote its registration.
    heartbeats: HashMap<RowId, Tick>,
    fault: Fault,
}

/// An in-memory store that answers the calls of the users' platform.
#[derive(Debug)]
pub struct RowStore {
    state: Mutex<State>,
    /// Wakes waiting feeds; its value only counts the wake-ups.
    change_count: watch::Sender<u64>,
    calls: Mutex<BTreeMap<Call, u64>>,
}

/// The kind of a call that the store counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A read of a page of a table.
    Read,
    /// A long poll of a table.
    Poll,
    /// A poll of a table that waits for nothing.
    Check,
}

/// A kind of call and the table that it is for.
type Call = (CallKind, String);

/// A row's table, part and key as requests give them.
#[derive(Deserialize)]
struct RowName {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
}

#[derive(Deserialize)]
struct Condition {
    #[serde(flatten)]
    name: RowName,
    ver: u64,
}

#[derive(Deserialize)]
struct Write {
    #[serde(flatten)]
    name: RowName,
    value: String,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "expectedRev", default)]
    conditions: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Write>,
    #[serde(default)]
    remove: Vec<RowName>,
}

impl RowName {
    fn into_id(self) -> RowId {
        (self.table, self.part, self.key)
    }
}

impl State {
    /// Sets or removes a row at the current version and adds the change to the history.
    fn record_change(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(id.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.changes.push_back(Change { version: self.version, id, value });
        while self.changes.len() > MAX_HISTORY_CHANGES {
            if let Some(change) = self.changes.pop_front() {
                self.compacted_version = change.version;
            }
        }
    }

    /// Applies a transaction and returns the new version, or an error if a condition is not met.
    fn commit(&mut self, transaction: Transaction) -> Result<u64, ()> {
        let is_met = |condition: &Condition| {
            let RowName { table, part, key } = &condition.name;
            let id = (table.clone(), part.clone(), key.clone());
            self.rows.get(&id).map_or(0, |(_, version)| *version) == condition.ver
        };
        if !transaction.conditions.iter().all(is_met) {
            return Err(());
        }
        self.version += 1;
        for write in transaction.writes {
            self.record_change(write.name.into_id(), Some(write.value));
        }
        for name in transaction.remove {
            self.record_change(name.into_id(), None);
        }
        Ok(self.version)
    }

    /// Removes the registrations of targets that stopped renewing them.
    fn expire_registrations(&mut self, now: Tick) {
        let expired_id = |(id, renewed_at): (&RowId, &Tick)| {
            (now.since(*renewed_at) > REGISTRATION_LIFETIME).then(|| id.clone())
        };
        let expired: Vec<RowId> = self.heartbeats.iter().filter_map(expired_id).collect();
        for id in expired {
            self.heartbeats.remove(&id);
            self.version += 1;
            self.record_change(id, None);
        }
    }
}

impl RowStore {
    /// Returns an empty store.
    #[must_use]
    pub fn new() -> Arc<Self> {
        let state = State { era: 1, ..State::default() };
        Arc::new(Self {
            state: Mutex::new(state),
            change_count: watch::Sender::new(0),
            calls: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults to inject.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Writes a row without conditions, as the operator or a target does.
    ///
    /// A row of the table of targets counts as a heartbeat of its target.
    pub fn write_row(&self, table: &str, key: &str, value: &[u8]) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let id = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state();
        state.version += 1;
        state.record_change(id.clone(), Some(STANDARD.encode(value)));
        if table == TARGETS_TABLE {
            state.heartbeats.insert(id, Tick::now());
        }
        drop(state);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Removes a row without conditions, as the operator or another entry does.
    pub fn remove_row(&self, table: &str, key: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state();
        state.version += 1;
        state.heartbeats.remove(&id);
        state.record_change(id, None);
        drop(state);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Returns how many calls of a kind have been made for a table.
    #[must_use]
    pub fn call_count(&self, kind: CallKind, table: &str) -> u64 {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.get(&(kind, table.to_owned())).copied().unwrap_or_default()
    }

    fn count_call(&self, kind: CallKind, query: &HashMap<String, String>) {
        let table = query.get("table").cloned().unwrap_or_default();
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry((kind, table)).or_default() += 1;
    }

    /// Returns the value of a row.
    #[must_use]
    pub fn read_row(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let id = (table.to_owned(), String::new(), key.to_owned());
        let state = self.state();
        STANDARD.decode(&state.rows.get(&id)?.0).ok()
    }

    /// Discards the history of changes, so that readers must read whole tables again.
    pub fn compact(&self) {
        let mut state = self.state();
        state.changes.clear();
        state.compacted_version = state.version;
    }

    /// Returns a copy of all rows.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy { rows: state.rows.clone(), version: state.version }
    }

    /// Goes back to a copy: what was written since is lost, and its versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state();
        state.era += 1;
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.changes.clear();
        state.compacted_version = copy.version;
        let targets: Vec<RowId> =
            state.rows.keys().filter(|id| id.0 == TARGETS_TABLE).cloned().collect();
        state.heartbeats = targets.into_iter().map(|id| (id, Tick::now())).collect();
        drop(state);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Serves calls on `listener` forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let store = Arc::clone(&self);
        tokio::spawn(async move {
            loop {
                time::sleep(REGISTRATION_LIFETIME / 10).await;
                store.state().expire_registrations(Tick::now());
                store.change_count.send_modify(|count| *count += 1);
            }
        });
        wire::serve(listener, move |request| {
            let store = Arc::clone(&self);
            async move { store.handle_request(request).await }
        })
        .await;
    }

    /// Handles a call and states the era in the reply, as it is when the reply is sent.
    async fn handle_request(&self, request: Request<Incoming>) -> wire::Reply {
        let mut reply = self.reply(request).await;
        let era = self.state().era;
        reply.headers_mut().insert("store-era", era.into());
        reply
    }

    async fn reply(&self, request: Request<Incoming>) -> wire::Reply {
        let path = request.uri().path().to_owned();
        let fault = self.state().fault;
        if path.starts_with("/admin/") {
            return self.handle_admin(request, &path).await;
        }
        time::sleep(Duration::from_millis(fault.slow_ms)).await;
        if fault.silent {
            time::sleep(UNANSWERED_CALL_DELAY).await;
        }
        if let Some(status) = fault.refuse {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return wire::status(status);
        }
        let query = parse_query(request.uri().query().unwrap_or_default());
        match (request.method(), path.as_str()) {
            (&Method::POST, "/almondworks/rows-tx") => {
                self.handle_transaction(request, fault).await
            }
            (&Method::GET, "/almondworks/rows-get") => {
                self.count_call(CallKind::Read, &query);
                self.handle_get(&query)
            }
            (&Method::GET, "/almondworks/rows-feed") => {
                let waits = query.get("waitMs").is_some_and(|wait| wait != "0");
                self.count_call(if waits { CallKind::Poll } else { CallKind::Check }, &query);
                self.handle_feed(&query).await
            }
            _ => wire::status(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_admin(&self, request: Request<Incoming>, path: &str) -> wire::Reply {
        #[derive(Deserialize)]
        struct RowUpdate {
            table: String,
            key: String,
            value: Value,
        }
        match path {
            "/admin/fault" => match wire::read_json(request, MAX_BODY_BYTES).await {
                Ok(fault) => self.set_fault(fault),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/row" => match wire::read_json::<RowUpdate>(request, MAX_BODY_BYTES).await {
                // An unresponsive store receives no registrations of targets either.
                Ok(row) if self.state().fault.silent && row.table == TARGETS_TABLE => {}
                Ok(row) => self.write_row(&row.table, &row.key, row.value.to_string().as_bytes()),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/compact" => self.compact(),
            _ => return wire::status(StatusCode::NOT_FOUND),
        }
        wire::json(StatusCode::OK, &())
    }

    async fn handle_transaction(&self, request: Request<Incoming>, fault: Fault) -> wire::Reply {
        let Ok(transaction) = wire::read_json::<Transaction>(request, MAX_BODY_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        if transaction
            .writes
            .iter()
            .any(|write| ["op", TARGETS_TABLE].contains(&write.name.table.as_str()))
        {
            return wire::status(StatusCode::FORBIDDEN);
        }
        let loses_reply = fault.lose_answers > 0.0 && rand::random::<f64>() < fault.lose_answers;
        if loses_reply {
            time::sleep(Duration::from_millis(fault.late_ms)).await;
        }
        let committed = self.state().commit(transaction);
        self.change_count.send_modify(|count| *count += 1);
        if loses_reply {
            time::sleep(UNANSWERED_CALL_DELAY).await;
        }
        match committed {
            Ok(version) => {
                wire::json(StatusCode::OK, &json!({ "ver": version, "now": clock_text() }))
            }
            Err(()) => wire::json(StatusCode::PRECONDITION_FAILED, &json!({ "rows": [] })),
        }
    }

    fn handle_get(&self, query: &HashMap<String, String>) -> wire::Reply {
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
        let limit =
            query.get("limit").and_then(|limit| limit.parse().ok()).unwrap_or(MAX_PAGE_ROWS);
        let state = self.state();
        let start = (table.clone(), part.clone(), from);
        let rows = state.rows.range(start..).take_while(|(id, _)| id.0 == table && id.1 == part);
        let mut rows: Vec<Value> = rows
            .take(limit.min(MAX_PAGE_ROWS) + 1)
            .map(|((table, part, key), (value, version))| {
                json!({ "table": table, "part": part, "key": key, "value": value, "ver": version })
            })
            .collect();
        let truncated = rows.len() > limit.min(MAX_PAGE_ROWS);
        rows.truncate(limit.min(MAX_PAGE_ROWS));
        let body = json!({
            "rows": rows, "truncated": truncated, "ver": state.version, "now": clock_text()
        });
        wire::json(StatusCode::OK, &body)
    }

    async fn handle_feed(&self, query: &HashMap<String, String>) -> wire::Reply {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("waitMs").unwrap_or_default()).min(MAX_FEED_WAIT);
        let deadline = time::Instant::now() + wait;
        let mut change_count = self.change_count.subscribe();
        loop {
            {
                let state = self.state();
                if after < state.compacted_version || after > state.version {
                    return wire::status(StatusCode::GONE);
                }
                let newer = state.changes.iter();
                let newer = newer.filter(|change| change.version > after && change.id.0 == table);
                let rows: Vec<Value> = newer.map(change_json).collect();
                if !rows.is_empty() || time::Instant::now() >= deadline {
                    let body = json!({ "rows": rows, "ver": state.version, "now": clock_text() });
                    return wire::json(StatusCode::OK, &body);
                }
            }
            // On a timeout, the next iteration finds the deadline passed and replies.
            let _: Result<_, time::error::Elapsed> =
                time::timeout_at(deadline, change_count.changed()).await;
        }
    }
}

/// Returns a change as a row of a feed.
fn change_json(change: &Change) -> Value {
    let (table, part, key) = &change.id;
    let mut row = json!({ "table": table, "part": part, "key": key, "ver": change.version });
    match &change.value {
        Some(value) => row["value"] = json!(value),
        None => row["removed"] = json!(true),
    }
    row
}

/// Parses a query string, in which `%00` is the only escape that is decoded.
fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| {
            (name.to_owned(), percent_decode_str(value).decode_utf8_lossy().into_owned())
        })
        .collect()
}

/// Returns the monotonic time in the form that replies use.
fn clock_text() -> String {
    format!("{}ms", Tick::now().as_millis())
}
