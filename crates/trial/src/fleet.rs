//! A running fleet.

use {
    crate::{
        Caller, KEYED, Plan, Seen,
        process::{Process, free_port},
    },
    entry::{Answer, ConfigChange, ConfigText, Conflict, KeyStatus, Status},
    http::Method,
    key::{Incarnation, Vm, Zone},
    platform::vms::{ENTRY_ROLE, Listed, State},
    report::Record,
    serde_json::{Value, json},
    standin::{
        check,
        journal::{self, Journal, Line},
        platform::{Fault as PlatformFault, Platform},
        proxy::{Fault, Proxy},
    },
    std::{
        env, fs,
        future::Future,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::ExitStatus,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
};

/// The longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(40);

const POLL: Duration = Duration::from_millis(25);

/// The fleets that run at once, so that the processes of one do not starve those of another.
static ROOM: std::sync::LazyLock<Arc<Semaphore>> =
    std::sync::LazyLock::new(|| Arc::new(Semaphore::new(2)));

/// An entry of a fleet.
#[derive(Debug)]
pub struct Entry {
    /// The name of its VM.
    pub vm: Vm,
    /// The number of its zone.
    pub zone: usize,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where its peers connect, through a proxy.
    pub peers: SocketAddr,
    source: IpAddr,
    settings: PathBuf,
    process: Option<Process>,
}

/// A target of a fleet.
#[derive(Debug)]
pub struct Target {
    /// The name of its VM.
    pub vm: Vm,
    /// The service it runs.
    pub service: String,
    /// The number of its zone.
    pub zone: usize,
    listed: Listed,
    arguments: Vec<String>,
    process: Option<Process>,
}

/// A proxy and the zone of the process behind it; the platform belongs to none.
struct Way {
    proxy: Arc<Proxy>,
    zone: Option<usize>,
    name: String,
}

/// A fleet of processes.
pub struct Fleet {
    /// The plan it was made from.
    pub plan: Plan,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The targets.
    pub targets: Vec<Target>,
    /// A caller.
    pub caller: Caller,
    folder: PathBuf,
    ways: Vec<Way>,
    wire: wire::Client,
    _room: OwnedSemaphorePermit,
}

/// Waits until `done` gives a value.
///
/// # Panics
///
/// Panics with `what` if it does not within the limit for everything that must happen.
pub async fn eventually<T, F>(what: &str, mut done: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(Instant::now() < deadline, "did not happen: {what}");
        time::sleep(POLL).await;
    }
}

fn zone_name(zone: usize) -> Zone {
    Zone::from(["a", "b", "c"][zone])
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl Fleet {
    /// Starts a fleet and waits until every shard is served.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not come up.
    pub async fn start(plan: Plan) -> Self {
        let room = Arc::clone(&ROOM).acquire_owned().await.expect("the semaphore is never closed");
        let folder = env::temp_dir().join(format!("almondworks-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&folder).expect("the folder can be made");
        let journal = folder.join("platform.journal");
        let journal = Journal::open(Some(&journal), Vm::from("platform"), Incarnation::ZERO);
        let platform = Platform::new(journal.expect("the journal can be opened"));
        let mut fleet = Self {
            plan,
            platform,
            entries: Vec::new(),
            targets: Vec::new(),
            caller: Caller::default(),
            folder,
            ways: Vec::new(),
            wire: wire::Config::default().timeout(Duration::from_secs(20)).build(),
            _room: room,
        };
        let platform = fleet.start_platform().await;
        fleet.start_targets().await;
        fleet.start_entries(platform).await;
        let text = fleet.plan.text();
        eventually("an entry accepts the first text", || async {
            fleet.put(0, 0, &text, "trial").await.ok()
        })
        .await;
        for at in 0..fleet.entries.len() {
            fleet.wait_whole(at).await;
        }
        fleet
    }

    async fn way(&mut self, to: SocketAddr, zone: Option<usize>, name: &str) -> SocketAddr {
        let address = local(free_port());
        let listener = TcpListener::bind(address).await.expect("the port is free");
        let proxy = Arc::new(Proxy::default());
        tokio::spawn(Arc::clone(&proxy).carry_all(listener, to));
        self.ways.push(Way { proxy, zone, name: name.to_owned() });
        address
    }

    async fn start_platform(&mut self) -> SocketAddr {
        let address = local(free_port());
        let listener = TcpListener::bind(address).await.expect("the port is free");
        tokio::spawn(Arc::clone(&self.platform).serve(listener));
        self.way(address, None, "platform").await
    }

    async fn start_targets(&mut self) {
        let plan = self.plan.clone();
        let services = [(KEYED, plan.keyed), ("orders", plan.orders), ("voices", plan.voices)];
        for zone in 0..plan.zones {
            for (service, count) in services {
                for _ in 0..count {
                    self.add_target(service, zone).await;
                }
            }
        }
    }

    /// Starts one more target and puts it on the list of VMs.
    pub async fn add_target(&mut self, service: &str, zone: usize) -> usize {
        let at = self.targets.len();
        let vm = Vm::from(format!("{service}-{}{at}", zone_name(zone)).as_str());
        let address = local(free_port());
        let public = if self.plan.proxied {
            self.way(address, Some(zone), vm.as_str()).await
        } else {
            address
        };
        let journal = self.folder.join(format!("{vm}.journal"));
        let mut arguments: Vec<String> =
            ["target", "--listen", &address.to_string(), "--vm", vm.as_str()]
                .map(str::to_owned)
                .to_vec();
        arguments.extend(["--service".to_owned(), service.to_owned()]);
        arguments.extend(["--journal".to_owned(), journal.display().to_string()]);
        arguments.extend(["--work-ms".to_owned(), self.plan.work_ms.to_string()]);
        arguments.extend(["--clock-offset-ms".to_owned(), (at * 98_765).to_string()]);
        if service == KEYED {
            arguments.push("--keyed".to_owned());
        }
        if !self.plan.fenced {
            arguments.push("--unfenced".to_owned());
        }
        let listed = Listed {
            vm: vm.clone(),
            role: service.into(),
            zone: zone_name(zone),
            address: public,
            state: State::Live,
        };
        self.platform.update_vms(vec![listed.clone()]);
        let service = service.to_owned();
        self.targets.push(Target { vm, service, zone, listed, arguments, process: None });
        self.start_target(at);
        at
    }

    async fn start_entries(&mut self, platform: SocketAddr) {
        for zone in 0..self.plan.zones {
            for number in 0..self.plan.entries {
                let vm = Vm::from(format!("entry-{}{number}", zone_name(zone)).as_str());
                let peers = local(free_port());
                let public = self.way(peers, Some(zone), vm.as_str()).await;
                let source = IpAddr::from(Ipv4Addr::new(127, 0, zone as u8 + 1, number as u8 + 1));
                let (callers, operators) = (local(free_port()), local(free_port()));
                let mut settings = json!({
                    "cluster": "trial", "vm": vm, "zone": zone_name(zone), "source": source,
                    "listen": callers, "peer_listen": peers, "operator_listen": operators,
                    "platform": platform, "log_level": "info",
                    "traffic": { "notice_ms": 50 },
                });
                merge(&mut settings, &self.plan.settings);
                let file = self.folder.join(format!("{vm}.jsonc"));
                fs::write(&file, settings.to_string()).expect("the settings can be written");
                self.platform.update_vms(vec![Listed {
                    vm: vm.clone(),
                    role: ENTRY_ROLE.into(),
                    zone: zone_name(zone),
                    address: public,
                    state: State::Live,
                }]);
                self.entries.push(Entry {
                    vm,
                    zone,
                    callers,
                    operators,
                    source,
                    peers: public,
                    settings: file,
                    process: None,
                });
            }
        }
        for at in 0..self.entries.len() {
            self.start_entry(at);
        }
    }

    // Faults.

    /// Starts an entry that is down.
    pub fn start_entry(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let arguments =
            ["entry".to_owned(), "--settings".to_owned(), entry.settings.display().to_string()];
        let log = self.folder.join(format!("{}.log", entry.vm));
        entry.process = Some(Process::start("almondworks", &arguments, &log));
    }

    /// Writes the peers' addresses into the settings of an entry, which a fresh process needs while
    /// the platform's list is out of reach.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be read and written.
    pub fn add_peers(&self, at: usize) {
        let file = &self.entries[at].settings;
        let text = fs::read_to_string(file).expect("the settings can be read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != at);
        let peers: Vec<SocketAddr> = others.map(|(_, entry)| entry.peers).collect();
        merge(&mut settings, &json!({ "peers": peers }));
        fs::write(file, settings.to_string()).expect("the settings can be written");
    }

    /// Ends an entry at once.
    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].process = None;
    }

    /// Stops an entry from running until it is resumed.
    pub fn pause_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::pause);
    }

    /// Lets an entry run again.
    pub fn resume_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::resume);
    }

    /// Tells an entry to stop.
    pub fn terminate_entry(&self, at: usize) {
        self.entries[at].process.iter().for_each(Process::terminate);
    }

    /// Returns how an entry ended, if it did within `limit`.
    pub fn entry_ended(&mut self, at: usize, limit: Duration) -> Option<ExitStatus> {
        self.entries[at].process.as_mut()?.ended(limit)
    }

    /// Starts a target that is down, as a fresh process.
    pub fn start_target(&mut self, at: usize) {
        let target = &mut self.targets[at];
        let log = self.folder.join(format!("{}.log", target.vm));
        target.process = Some(Process::start("standin", &target.arguments, &log));
    }

    /// Ends a target at once.
    pub fn kill_target(&mut self, at: usize) {
        self.targets[at].process = None;
    }

    /// Tells whether a target has ended by itself.
    pub fn target_ended(&mut self, at: usize) -> bool {
        let ended = |process: &mut Process| process.ended(Duration::ZERO).is_some();
        self.targets[at].process.as_mut().is_none_or(ended)
    }

    /// Stops a target from running until it is resumed.
    pub fn pause_target(&self, at: usize) {
        self.targets[at].process.iter().for_each(Process::pause);
    }

    /// Lets a target run again.
    pub fn resume_target(&self, at: usize) {
        self.targets[at].process.iter().for_each(Process::resume);
    }

    /// Changes what the platform's list says of a target.
    pub fn list_target(&self, at: usize, state: State) {
        self.platform.update_vms(vec![Listed { state, ..self.targets[at].listed.clone() }]);
    }

    /// Changes what the platform's list says of an entry.
    pub fn list_entry(&self, at: usize, state: State) {
        let entry = &self.entries[at];
        self.platform.update_vms(vec![Listed {
            vm: entry.vm.clone(),
            role: ENTRY_ROLE.into(),
            zone: zone_name(entry.zone),
            address: local(1),
            state,
        }]);
    }

    /// Sets the faults of a target itself.
    pub async fn upset_target(&self, at: usize, fault: Value) {
        let address = self.target_address(at);
        let (): () =
            self.wire.post(address, "/admin/fault", &fault).await.expect("the target answers");
    }

    /// Sets the faults of the platform.
    pub fn upset_platform(&self, fault: PlatformFault) {
        self.platform.set(fault);
    }

    /// Sets the faults on the way to the process of that name.
    pub fn upset_way(&self, name: &str, fault: &Fault) {
        self.proxy(name).set(fault.clone());
    }

    /// Returns the proxy before the process of that name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn proxy(&self, name: &str) -> &Proxy {
        let way = self.ways.iter().find(|way| way.name == name);
        &way.unwrap_or_else(|| panic!("no proxy before {name}")).proxy
    }

    /// Cuts a zone off from the other zones, from the platform, or from both.
    pub fn isolate(&self, zone: usize, others: bool, platform: bool) {
        let sources = |inside: bool| {
            let entries = self.entries.iter().filter(move |entry| (entry.zone == zone) == inside);
            entries.map(|entry| entry.source).collect::<Vec<IpAddr>>()
        };
        for way in &self.ways {
            let cut_from = match way.zone {
                Some(behind) if others && behind == zone => sources(false),
                Some(_) if others => sources(true),
                None if platform => sources(true),
                _ => continue,
            };
            way.proxy.set(Fault { cut_from, ..Fault::default() });
        }
    }

    /// Ends the faults of all ways and of the platform.
    pub fn heal(&self) {
        for way in &self.ways {
            way.proxy.set(Fault::default());
        }
        self.platform.set(PlatformFault::default());
    }

    // Questions.

    /// Returns what an entry says of the fleet.
    pub async fn status(&self, at: usize) -> Option<Status> {
        self.wire.get(self.entries[at].operators, "/status").await.ok()
    }

    /// Returns what an entry says of a key.
    pub async fn why(&self, at: usize, key: &str) -> Option<Answer<KeyStatus>> {
        let path = format!("/why?service={KEYED}&key={key}");
        self.wire.get(self.entries[at].operators, &path).await.ok()
    }

    /// Returns the records that an entry can gather.
    pub async fn history(&self, at: usize) -> Option<Answer<Vec<Record>>> {
        self.wire.get(self.entries[at].operators, "/history?limit=2000").await.ok()
    }

    /// Returns the processor time of a thread of an entry, or of all its threads.
    #[must_use]
    pub fn entry_cpu(&self, at: usize, thread: Option<&str>) -> Duration {
        const TICK: Duration = Duration::from_millis(10);
        let ticks =
            self.entries[at].process.as_ref().map_or(0, |process| process.cpu_ticks(thread));
        TICK * ticks as u32
    }

    /// Returns where a target listens, behind its proxy if it has one.
    ///
    /// # Panics
    ///
    /// Panics if its arguments hold no address, which they always do.
    #[must_use]
    pub fn target_address(&self, at: usize) -> SocketAddr {
        self.targets[at].arguments[2].parse().expect("the address is valid")
    }

    /// Returns the resident memory of an entry in kilobytes.
    #[must_use]
    pub fn entry_memory_kb(&self, at: usize) -> u64 {
        self.entries[at].process.as_ref().map_or(0, Process::memory_kb)
    }

    /// Returns the operators' text in force in an entry.
    pub async fn config(&self, at: usize) -> Option<ConfigText> {
        self.wire.get(self.entries[at].operators, "/config").await.ok()
    }

    /// Asks an entry for something of the operators.
    pub async fn operate(&self, at: usize, path: &str) -> bool {
        let body = Vec::new().into();
        self.wire.send(Method::POST, self.entries[at].operators, path, body).await.is_ok()
    }

    /// Replaces the operators' text through an entry.
    ///
    /// # Errors
    ///
    /// Returns the conflict, or nothing where the entry gave no answer.
    pub async fn put(
        &self,
        at: usize,
        base: u64,
        text: &str,
        by: &str,
    ) -> Result<u64, Option<Conflict>> {
        let path = format!("/config?base={base}&by={by}");
        let body = text.as_bytes().to_vec().into();
        let sent = self.wire.send(Method::POST, self.entries[at].operators, &path, body).await;
        match sent {
            Ok(bytes) => {
                let change: ConfigChange = serde_json::from_slice(&bytes).map_err(|_| None)?;
                Ok(change.version.get())
            }
            Err(error) => Err(serde_json::from_str(error.detail()).ok()),
        }
    }

    /// Returns the position of the target that owns a key, as an entry sees it.
    pub async fn owner(&self, at: usize, key: &str) -> Option<usize> {
        let vm = self.why(at, key).await?.result.owner?;
        self.targets.iter().position(|target| target.vm == vm)
    }

    /// Returns the position of the entry that guards the cell of the keyed service in a zone.
    pub async fn guardian(&self, asked: usize, zone: usize) -> Option<usize> {
        let status = self.status(asked).await?;
        let prefix = format!("{KEYED}/{}/", zone_name(zone));
        let cell = status.cells.into_iter().find(|cell| cell.cell.starts_with(&prefix))?;
        let guardian = cell.guardian?;
        self.entries.iter().position(|entry| entry.vm == guardian.vm)
    }

    /// Waits until an entry has a place for every shard and serves a key of each.
    pub async fn wait_whole(&self, at: usize) {
        let shards = self.plan.shards as usize;
        eventually(&format!("{} knows an owner of every shard", self.entries[at].vm), || async {
            let status = self.status(at).await?;
            let cells = status.cells.iter().filter(|cell| cell.cell.starts_with(KEYED));
            let owned: usize = cells.map(|cell| cell.shards - cell.vacant).sum();
            let orders =
                status.services.iter().find(|service| service.name.as_str() == "orders")?;
            (owned == shards && orders.targets.len() >= self.plan.orders * self.plan.zones)
                .then_some(())
        })
        .await;
        self.wait_whole_keys(at).await;
    }

    /// Waits until an entry serves a key of every shard.
    pub async fn wait_whole_keys(&self, at: usize) {
        for key in self.keys() {
            let path = format!("/{KEYED}/{key}");
            eventually(&format!("{} serves {path}", self.entries[at].vm), || async {
                let answer = self.caller.get(self.entries[at].callers, &path).await;
                answer.is_served().then_some(())
            })
            .await;
        }
    }

    /// Returns keys of different shards, one for each shard.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let mut found = vec![None; self.plan.shards as usize];
        for number in 0.. {
            let key = format!("gong-{number}");
            let shard = key::shard_of(key.as_bytes(), self.plan.shards);
            found[shard.get() as usize].get_or_insert(key);
            if found.iter().all(Option::is_some) {
                break;
            }
        }
        found.into_iter().flatten().collect()
    }

    /// Returns the lines of all journals.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        journal::read_all(&self.folder).unwrap_or_default()
    }

    /// Checks the answers of a load against the journals: each served answer is the answer to its own
    /// request, and what was refused as not run did not run.
    ///
    /// # Panics
    ///
    /// Panics with the first answer that is not true.
    pub fn verify_answers(&self, seen: &[Seen]) {
        let runs = check::runs(&self.lines());
        for one in seen {
            let (path, answer) = (&one.path, &one.answer);
            assert!(
                !answer.is_served() || answer.echoes(path),
                "not the answer to {path}: {answer:?}"
            );
            let ran = one.id.as_ref().and_then(|id| runs.get(id)).copied().unwrap_or_default();
            assert!(
                !answer.is_not_run() || ran == 0,
                "{path} was refused as not run and ran: {answer:?}"
            );
            let lost = one.id.is_some() && answer.is_served() && ran != 1;
            assert!(!lost, "{path} was answered and ran {ran} times: {answer:?}");
        }
    }

    /// Checks what the journals prove: one owner at a time, no run without ownership and no order
    /// that ran twice.
    ///
    /// # Panics
    ///
    /// Panics with the first thing that must not have happened.
    pub fn verify(&self) {
        let lines = self.lines();
        let overlaps = check::overlaps(&lines);
        assert!(overlaps.is_empty(), "{} overlaps, the first {:?}", overlaps.len(), overlaps[0]);
        let strays = check::strays(&lines);
        assert!(
            strays.is_empty(),
            "{} runs without ownership, the first {:?}",
            strays.len(),
            strays[0]
        );
        let doubled: Vec<_> =
            check::runs(&lines).into_iter().filter(|(_, runs)| *runs > 1).collect();
        assert!(doubled.is_empty(), "ids that ran twice: {doubled:?}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.targets.clear();
        if std::thread::panicking() {
            eprintln!("logs and journals are kept in {}", self.folder.display());
        } else {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Puts the fields of `more` into `into`, object by object.
fn merge(into: &mut Value, more: &Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (name, value) in more {
                merge(into.entry(name).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more.clone(),
    }
}
