//! A stand-in for the platform: a transactional table, an object store and a list of VMs, with
//! faults.
//!
//! All contents are kept in memory. Every commit to the table is written to a journal.

use {
    crate::journal::{Journal, Kind},
    bytes::Bytes,
    futures::future::pending,
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    key::{Version, clock::Tick},
    rand::Rng,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    store::{
        table::{CommitReply, Row, ScanReply, Transaction},
        vms::{VmList, VmRecord},
    },
    tokio::{net::TcpListener, time},
};

const MAX_BODY_BYTES: usize = 64 << 20;

/// The faults to inject, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// The delay before each request is processed, in milliseconds.
    pub slow_ms: u64,
    /// Whether every request is refused.
    pub down: bool,
    /// Whether requests are accepted but never answered.
    pub silent: bool,
    /// The percentage of commits that take effect but are never answered.
    pub lose_answers_percent: u8,
    /// The percentage of commits that neither take effect nor are answered.
    pub lose_requests_percent: u8,
    /// The delay before a change of the list of VMs becomes visible, in milliseconds.
    pub vms_late_ms: u64,
}

/// Counts of the requests to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of commits that took effect.
    pub commits: u64,
    /// The number of rows that these commits wrote.
    pub rows_written: u64,
    /// The number of commits that were refused because a condition was not met.
    pub conflicts: u64,
    /// The number of scans and single reads.
    pub reads: u64,
    /// The number of body bytes in replies to reads.
    pub read_bytes: u64,
}

#[derive(Default)]
struct State {
    /// The rows by name, each with the revision of its last change.
    rows: BTreeMap<SmolStr, (u64, Row)>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    /// The lists of VMs in the order of time, each with the moment of the change.
    vm_lists: Vec<(Instant, VmList)>,
    fault: Fault,
    counts: Counts,
}

/// An in-memory platform.
pub struct Platform {
    state: Mutex<State>,
    journal: Journal,
}

impl Platform {
    /// Returns an empty platform.
    #[must_use]
    pub fn new(journal: Journal) -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), journal })
    }

    /// Serves requests on `listener`, forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        wire::serve(listener, move |request| {
            let platform = Arc::clone(&self);
            async move { platform.handle_request(request).await }
        })
        .await;
    }

    /// Replaces the faults to inject.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> wire::Reply {
        if let Some(reply) = self.reply_counts(&request) {
            return reply;
        }
        if request.uri().path().starts_with("/admin/") {
            return self.handle_admin(request).await;
        }
        let fault = self.state().fault;
        if fault.silent {
            pending::<()>().await;
        }
        time::sleep(Duration::from_millis(fault.slow_ms)).await;
        if fault.down {
            return wire::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        let name = query_value(&request, "name").unwrap_or_default();
        let prefix = query_value(&request, "prefix").unwrap_or_default();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/table/commit") => self.handle_commit(request, fault).await,
            (Method::GET, "/table/scan") => {
                let after = query_value(&request, "after").and_then(|text| text.parse().ok());
                self.reply_read(&self.scan(&prefix, after.unwrap_or_default()))
            }
            (Method::GET, "/table/row") => self.reply_read(&self.row(&name)),
            (Method::GET, "/vms") => self.reply_read(&self.visible_vms()),
            (Method::GET, "/objects") => {
                let state = self.state();
                let names = state.objects.keys().filter(|name| name.starts_with(&prefix));
                wire::json(StatusCode::OK, &names.cloned().collect::<Vec<_>>())
            }
            (method, path) => self.handle_object(method, path.to_owned(), request).await,
        }
    }

    /// Returns the reply to a read and counts it.
    fn reply_read<T: Serialize>(&self, body: &T) -> wire::Reply {
        let reply = wire::json(StatusCode::OK, body);
        let mut state = self.state();
        state.counts.reads += 1;
        state.counts.read_bytes += hyper::body::Body::size_hint(reply.body()).lower();
        reply
    }

    /// Returns the counts if the request asks for them.
    fn reply_counts(&self, request: &Request<Incoming>) -> Option<wire::Reply> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/admin/counts") => {
                Some(wire::json(StatusCode::OK, &self.state().counts))
            }
            _ => None,
        }
    }

    async fn handle_admin(&self, request: Request<Incoming>) -> wire::Reply {
        match request.uri().path() {
            "/admin/fault" => match wire::read_json::<Fault>(request, MAX_BODY_BYTES).await {
                Ok(fault) => self.state().fault = fault,
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/vms" => match wire::read_json::<Vec<VmRecord>>(request, MAX_BODY_BYTES).await {
                Ok(vms) => self.update_vms(vms),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            _ => return wire::status(StatusCode::NOT_FOUND),
        }
        wire::json(StatusCode::OK, &())
    }

    /// Forgets every row and starts to count revisions anew.
    pub fn forget(&self) {
        let mut state = self.state();
        state.rows.clear();
        state.revision = 0;
    }

    /// Adds VMs to the list, or replaces those that are on it.
    pub fn update_vms(&self, vms: Vec<VmRecord>) {
        let mut state = self.state();
        let mut list = state.vm_lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        for vm in vms {
            match list.vms.iter_mut().find(|known| known.vm == vm.vm) {
                Some(known) => *known = vm,
                None => list.vms.push(vm),
            }
        }
        state.vm_lists.push((Instant::now(), list));
    }

    /// Returns the newest list of VMs that is old enough to be visible.
    fn visible_vms(&self) -> VmList {
        let state = self.state();
        let delay = Duration::from_millis(state.fault.vms_late_ms);
        let visible =
            state.vm_lists.iter().rev().find(|(changed_at, _)| changed_at.elapsed() >= delay);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Returns the rows whose names start with `prefix` and that changed after a revision.
    fn scan(&self, prefix: &str, after: u64) -> ScanReply {
        let state = self.state();
        let matching = state.rows.range(SmolStr::from(prefix)..);
        let matching = matching.take_while(|(name, _)| name.starts_with(prefix));
        let changed = matching.filter(|(_, (revision, _))| *revision > after);
        let rows = changed.map(|(_, (_, row))| row.clone()).collect();
        ScanReply { revision: state.revision, rows }
    }

    fn row(&self, name: &str) -> Row {
        let state = self.state();
        state.rows.get(name).map_or_else(|| absent_row(name), |(_, row)| row.clone())
    }

    async fn handle_commit(&self, request: Request<Incoming>, fault: Fault) -> wire::Reply {
        let Ok(transaction) = wire::read_json::<Transaction>(request, MAX_BODY_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let sample: u8 = rand::rng().random_range(0..100);
        if sample < fault.lose_requests_percent {
            pending::<()>().await;
        }
        let reply = self.commit(transaction);
        let sample: u8 = rand::rng().random_range(0..100);
        if sample < fault.lose_answers_percent {
            pending::<()>().await;
        }
        wire::json(StatusCode::OK, &reply)
    }

    /// Applies a transaction as a whole if all its conditions are met.
    fn commit(&self, transaction: Transaction) -> CommitReply {
        let mut state = self.state();
        let current: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| {
                let found = state.rows.get(&condition.name);
                found.map_or_else(|| absent_row(&condition.name), |(_, row)| row.clone())
            })
            .collect();
        let pairs = transaction.conditions.iter().zip(&current);
        if pairs.into_iter().any(|(condition, row)| condition.version != row.version) {
            state.counts.conflicts += 1;
            return CommitReply::Conflict(current);
        }
        state.revision += 1;
        let revision = state.revision;
        let mut versions = Vec::new();
        let mut written = Vec::new();
        for write in transaction.writes {
            let old_version = state.rows.get(&write.name).map(|(_, row)| row.version);
            let version = old_version.unwrap_or(Version::ZERO).next();
            let row = Row { name: write.name.clone(), version, value: write.value };
            written.push((write.name.clone(), version.get()));
            state.rows.insert(write.name, (revision, row));
            versions.push(version);
        }
        state.counts.commits += 1;
        state.counts.rows_written += written.len() as u64;
        self.journal.write(Tick::now(), Kind::Committed { rows: written });
        CommitReply::Committed(versions)
    }

    async fn handle_object(
        &self,
        method: Method,
        path: String,
        request: Request<Incoming>,
    ) -> wire::Reply {
        let Some(name) = path.strip_prefix("/objects/").map(str::to_owned) else {
            return wire::status(StatusCode::NOT_FOUND);
        };
        if method == Method::PUT {
            let Ok(body) = wire::read_body(request, MAX_BODY_BYTES).await else {
                return wire::status(StatusCode::BAD_REQUEST);
            };
            self.state().objects.insert(name, body);
            return wire::status(StatusCode::OK);
        }
        match self.state().objects.get(&name) {
            Some(body) => wire::Reply::new(body.clone().into()),
            None => wire::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Returns the form in which a row that does not exist is shown.
fn absent_row(name: &str) -> Row {
    Row { name: name.into(), version: Version::ZERO, value: None }
}

/// Returns the value of a query parameter.
fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
}
