//! The platform's store as the users' pages describe it: rows, transactions, feeds, and its faults.

use {
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::clock::Tick,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time},
};

const BODY_LIMIT_BYTES: usize = 1 << 20;
const PAGE: usize = 500;
const HISTORY: usize = 10_000;
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const SILENCE: Duration = Duration::from_secs(120);

/// The table of targets, whose entries lapse.
const TARGETS: &str = "servers";

/// The silence after which an entry of a target lapses.
const LAPSE: Duration = Duration::from_millis(1_500);

/// The faults, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Every call gets this status, and nothing is done.
    pub refuse: Option<u16>,
    /// No call is answered.
    pub silent: bool,
    /// The part of writes that are done and not answered.
    pub lose_answers: f64,
    /// How much later those writes are done, in milliseconds.
    pub late_ms: u64,
    /// How much longer each call takes, in milliseconds.
    pub slow_ms: u64,
}

type Name = (String, String, String);

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    name: Name,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Name, (String, u64)>,
    changes: VecDeque<Change>,
    /// The newest version that is no longer in the history.
    forgotten: u64,
    version: u64,
    beats: HashMap<Name, Tick>,
    fault: Fault,
}

/// The store.
#[derive(Debug)]
pub struct RowStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

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
    fn name(self) -> Name {
        (self.table, self.part, self.key)
    }
}

impl State {
    fn put(&mut self, name: Name, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(name.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push_back(Change { version: self.version, name, value });
        while self.changes.len() > HISTORY {
            if let Some(change) = self.changes.pop_front() {
                self.forgotten = change.version;
            }
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<u64, ()> {
        let holds = |condition: &Condition| {
            let RowName { table, part, key } = &condition.name;
            let name = (table.clone(), part.clone(), key.clone());
            self.rows.get(&name).map_or(0, |(_, version)| *version) == condition.ver
        };
        if !transaction.conditions.iter().all(holds) {
            return Err(());
        }
        self.version += 1;
        for write in transaction.writes {
            self.put(write.name.name(), Some(write.value));
        }
        for name in transaction.remove {
            self.put(name.name(), None);
        }
        Ok(self.version)
    }

    fn lapse(&mut self, now: Tick) {
        let silent =
            |(name, beat): (&Name, &Tick)| (now.since(*beat) > LAPSE).then(|| name.clone());
        let lapsed: Vec<Name> = self.beats.iter().filter_map(silent).collect();
        for name in lapsed {
            self.beats.remove(&name);
            self.version += 1;
            self.put(name, None);
        }
    }
}

impl RowStore {
    /// Returns an empty store.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: watch::Sender::new(0) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Writes a row as the operator or a target does.
    pub fn write_row(&self, table: &str, key: &str, value: &[u8]) {
        use base64::{Engine, engine::general_purpose::STANDARD};
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state();
        state.version += 1;
        state.put(name.clone(), Some(STANDARD.encode(value)));
        if table == TARGETS {
            state.beats.insert(name, Tick::now());
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Drops the history, so that readers must read whole tables again.
    pub fn compact(&self) {
        let mut state = self.state();
        state.changes.clear();
        state.forgotten = state.version;
    }

    /// Answers calls on `listener`, for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let store = Arc::clone(&self);
        tokio::spawn(async move {
            loop {
                time::sleep(LAPSE / 10).await;
                store.state().lapse(Tick::now());
                store.changed.send_modify(|count| *count += 1);
            }
        });
        wire::serve(listener, move |request| {
            let store = Arc::clone(&self);
            async move { store.answer(request).await }
        })
        .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> wire::Reply {
        let path = request.uri().path().to_owned();
        let fault = self.state().fault;
        if path.starts_with("/admin/") {
            return self.administer(request, &path).await;
        }
        time::sleep(Duration::from_millis(fault.slow_ms)).await;
        if fault.silent {
            time::sleep(SILENCE).await;
        }
        if let Some(status) = fault.refuse {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return wire::status(status);
        }
        let query = query(request.uri().query().unwrap_or_default());
        match (request.method(), path.as_str()) {
            (&Method::POST, "/almondworks/rows-tx") => self.transact(request, fault).await,
            (&Method::GET, "/almondworks/rows-get") => self.get(&query),
            (&Method::GET, "/almondworks/rows-feed") => self.feed(&query).await,
            _ => wire::status(StatusCode::NOT_FOUND),
        }
    }

    async fn administer(&self, request: Request<Incoming>, path: &str) -> wire::Reply {
        #[derive(Deserialize)]
        struct Put {
            table: String,
            key: String,
            value: Value,
        }
        match path {
            "/admin/fault" => match wire::read_json(request, BODY_LIMIT_BYTES).await {
                Ok(fault) => self.set_fault(fault),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/row" => match wire::read_json::<Put>(request, BODY_LIMIT_BYTES).await {
                // Targets do not reach a store that is down either.
                Ok(put) if self.state().fault.silent && put.table == TARGETS => {}
                Ok(put) => self.write_row(&put.table, &put.key, put.value.to_string().as_bytes()),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/compact" => self.compact(),
            _ => return wire::status(StatusCode::NOT_FOUND),
        }
        wire::json(StatusCode::OK, &())
    }

    async fn transact(&self, request: Request<Incoming>, fault: Fault) -> wire::Reply {
        let Ok(transaction) = wire::read_json::<Transaction>(request, BODY_LIMIT_BYTES).await
        else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        if transaction
            .writes
            .iter()
            .any(|write| ["op", TARGETS].contains(&write.name.table.as_str()))
        {
            return wire::status(StatusCode::FORBIDDEN);
        }
        let lost = fault.lose_answers > 0.0 && rand::random::<f64>() < fault.lose_answers;
        if lost {
            time::sleep(Duration::from_millis(fault.late_ms)).await;
        }
        let committed = self.state().commit(transaction);
        self.changed.send_modify(|count| *count += 1);
        if lost {
            time::sleep(SILENCE).await;
        }
        match committed {
            Ok(version) => wire::json(StatusCode::OK, &json!({ "ver": version, "now": now() })),
            Err(()) => wire::json(StatusCode::PRECONDITION_FAILED, &json!({ "rows": [] })),
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> wire::Reply {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let limit = query.get("limit").and_then(|limit| limit.parse().ok()).unwrap_or(PAGE);
        let state = self.state();
        let start = (table.clone(), part.clone(), from);
        let rows =
            state.rows.range(start..).take_while(|(name, _)| name.0 == table && name.1 == part);
        let mut rows: Vec<Value> = rows
            .take(limit.min(PAGE) + 1)
            .map(|((table, part, key), (value, version))| {
                json!({ "table": table, "part": part, "key": key, "value": value, "ver": version })
            })
            .collect();
        let truncated = rows.len() > limit.min(PAGE);
        rows.truncate(limit.min(PAGE));
        let body =
            json!({ "rows": rows, "truncated": truncated, "ver": state.version, "now": now() });
        wire::json(StatusCode::OK, &body)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> wire::Reply {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("waitMs").unwrap_or_default()).min(LONGEST_WAIT);
        let until = time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.state();
                if after < state.forgotten {
                    return wire::status(StatusCode::GONE);
                }
                let news = state.changes.iter();
                let news = news.filter(|change| change.version > after && change.name.0 == table);
                let rows: Vec<Value> = news.map(row).collect();
                if !rows.is_empty() || time::Instant::now() >= until {
                    let body = json!({ "rows": rows, "ver": state.version, "now": now() });
                    return wire::json(StatusCode::OK, &body);
                }
            }
            // The end of the time is seen when the loop looks again.
            let _: Result<_, time::error::Elapsed> =
                time::timeout_at(until, changed.changed()).await;
        }
    }
}

fn row(change: &Change) -> Value {
    let (table, part, key) = &change.name;
    let mut row = json!({ "table": table, "part": part, "key": key, "ver": change.version });
    match &change.value {
        Some(value) => row["value"] = json!(value),
        None => row["removed"] = json!(true),
    }
    row
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.replace("%00", "\0"))).collect()
}

/// Returns the steady clock as answers bear it.
fn now() -> String {
    format!("{}ms", Tick::now().as_millis())
}
