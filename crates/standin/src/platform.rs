//! A platform: a transactional table, an object store and a list of VMs, with faults.

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

const BODY_LIMIT_BYTES: usize = 64 << 20;

/// The faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Every answer takes this many milliseconds.
    pub slow_ms: u64,
    /// Everything is refused.
    pub down: bool,
    /// Requests are taken and never answered.
    pub silent: bool,
    /// The share of commits, in percent, that take effect and are never answered.
    pub lose_answers_percent: u8,
    /// The share of commits, in percent, that neither take effect nor are answered.
    pub lose_requests_percent: u8,
    /// The list of VMs is this many milliseconds late.
    pub vms_late_ms: u64,
}

/// The counts of what was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Commits that took effect.
    pub commits: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Commits that met a false condition.
    pub conflicts: u64,
    /// Scans and single reads.
    pub reads: u64,
    /// Bytes of answers to reads.
    pub read_bytes: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<SmolStr, (u64, Row)>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    lists: Vec<(Instant, VmList)>,
    fault: Fault,
    counts: Counts,
}

/// The platform.
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

    /// Answers requests on `listener`, for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        wire::serve(listener, move |request| {
            let platform = Arc::clone(&self);
            async move { platform.answer(request).await }
        })
        .await;
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Returns the counts of what was asked so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> wire::Reply {
        if let Some(reply) = self.admin(&request) {
            return reply;
        }
        if request.uri().path().starts_with("/admin/") {
            return self.administer(request).await;
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
        let name = query(&request, "name").unwrap_or_default();
        let prefix = query(&request, "prefix").unwrap_or_default();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/table/commit") => self.commit(request, fault).await,
            (Method::GET, "/table/scan") => {
                let after = query(&request, "after").and_then(|text| text.parse().ok());
                self.read(&self.scan(&prefix, after.unwrap_or_default()))
            }
            (Method::GET, "/table/row") => self.read(&self.row(&name)),
            (Method::GET, "/vms") => self.read(&self.list()),
            (Method::GET, "/objects") => {
                let state = self.state();
                let names = state.objects.keys().filter(|name| name.starts_with(&prefix));
                wire::json(StatusCode::OK, &names.cloned().collect::<Vec<_>>())
            }
            (method, object) => self.object(method, object.to_owned(), request).await,
        }
    }

    fn read<T: Serialize>(&self, body: &T) -> wire::Reply {
        let reply = wire::json(StatusCode::OK, body);
        let mut state = self.state();
        state.counts.reads += 1;
        state.counts.read_bytes += hyper::body::Body::size_hint(reply.body()).lower();
        reply
    }

    fn admin(&self, request: &Request<Incoming>) -> Option<wire::Reply> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/admin/counts") => {
                Some(wire::json(StatusCode::OK, &self.state().counts))
            }
            _ => None,
        }
    }

    async fn administer(&self, request: Request<Incoming>) -> wire::Reply {
        match request.uri().path() {
            "/admin/fault" => match wire::read_json::<Fault>(request, BODY_LIMIT_BYTES).await {
                Ok(fault) => self.state().fault = fault,
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            "/admin/vms" => match wire::read_json::<Vec<VmRecord>>(request, BODY_LIMIT_BYTES).await
            {
                Ok(vms) => self.update_vms(vms),
                Err(_) => return wire::status(StatusCode::BAD_REQUEST),
            },
            _ => return wire::status(StatusCode::NOT_FOUND),
        }
        wire::json(StatusCode::OK, &())
    }

    /// Adds VMs to the list, or changes those that are on it.
    pub fn update_vms(&self, vms: Vec<VmRecord>) {
        let mut state = self.state();
        let mut list = state.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        for vm in vms {
            match list.vms.iter_mut().find(|known| known.vm == vm.vm) {
                Some(known) => *known = vm,
                None => list.vms.push(vm),
            }
        }
        state.lists.push((Instant::now(), list));
    }

    fn list(&self) -> VmList {
        let state = self.state();
        let late = Duration::from_millis(state.fault.vms_late_ms);
        let visible = state.lists.iter().rev().find(|(at, _)| at.elapsed() >= late);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn scan(&self, prefix: &str, after: u64) -> ScanReply {
        let state = self.state();
        let matching = state.rows.range(SmolStr::from(prefix)..);
        let matching = matching.take_while(|(name, _)| name.starts_with(prefix));
        let fresh = matching.filter(|(_, (revision, _))| *revision > after);
        let rows = fresh.map(|(_, (_, row))| row.clone()).collect();
        ScanReply { revision: state.revision, rows }
    }

    fn row(&self, name: &str) -> Row {
        let state = self.state();
        state.rows.get(name).map_or_else(|| absent(name), |(_, row)| row.clone())
    }

    async fn commit(&self, request: Request<Incoming>, fault: Fault) -> wire::Reply {
        let Ok(transaction) = wire::read_json::<Transaction>(request, BODY_LIMIT_BYTES).await
        else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let draw: u8 = rand::rng().random_range(0..100);
        if draw < fault.lose_requests_percent {
            pending::<()>().await;
        }
        let answer = self.apply(transaction);
        let draw: u8 = rand::rng().random_range(0..100);
        if draw < fault.lose_answers_percent {
            pending::<()>().await;
        }
        wire::json(StatusCode::OK, &answer)
    }

    fn apply(&self, transaction: Transaction) -> CommitReply {
        let mut state = self.state();
        let current: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| {
                let found = state.rows.get(&condition.name);
                found.map_or_else(|| absent(&condition.name), |(_, row)| row.clone())
            })
            .collect();
        let holds = transaction.conditions.iter().zip(&current);
        if holds.into_iter().any(|(condition, row)| condition.version != row.version) {
            state.counts.conflicts += 1;
            return CommitReply::Conflict(current);
        }
        state.revision += 1;
        let revision = state.revision;
        let mut versions = Vec::new();
        let mut written = Vec::new();
        for write in transaction.writes {
            let before = state.rows.get(&write.name).map(|(_, row)| row.version);
            let version = before.unwrap_or(Version::ZERO).next();
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

    async fn object(
        &self,
        method: Method,
        path: String,
        request: Request<Incoming>,
    ) -> wire::Reply {
        let Some(name) = path.strip_prefix("/objects/").map(str::to_owned) else {
            return wire::status(StatusCode::NOT_FOUND);
        };
        if method == Method::PUT {
            let Ok(body) = wire::read_body(request, BODY_LIMIT_BYTES).await else {
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

fn absent(name: &str) -> Row {
    Row { name: name.into(), version: Version::ZERO, value: None }
}

fn query(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
}
