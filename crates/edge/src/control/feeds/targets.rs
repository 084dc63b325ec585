//! Following the registry of targets, through another entry or the store.
//!
//! The feed knows when the store gave the last word that it has, and asks the store before that word
//! is too old ([`Pace::question`]). While it does, it looks for an entry to follow: the store's
//! answer holds every heartbeat and may take long over a busy link, and that of an entry only
//! what has changed.

use {
    super::{Tables, log_failure, pause_after_change, send, wait_to_retry},
    crate::{
        control::{
            input::Input,
            message::{RegistryQuery, RegistryUpdate, TablesUpdate},
            peers::Peers,
        },
        shared::Shared,
    },
    hold::staleness::{PollTiming, Staleness},
    key::{Era, Version, Vm, clock::Tick},
    member::{Backoff, Pace, Question, Reader, Source, Sources},
    platform::store::{Error, Store, Table},
    serde::Serialize,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::{
        sync::{
            mpsc::Sender,
            oneshot::{self, error::TryRecvError},
            watch,
        },
        time,
    },
};

/// The shortest pause after a change of the registry: a target that starts changes its row many
/// times.
const MIN_REGISTRY_PAUSE: Duration = Duration::from_millis(500);

/// The source of the registry in the journal, if it is the store.
pub(crate) const STORE_SOURCE: &str = "store";

/// The time after which an entry without one to follow looks whether one is to be asked again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// How this entry follows the registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Following {
    /// The entries that it can follow; none if it reads the store itself.
    pub(crate) readers: Vec<Reader>,
    /// A change of this number makes it read the whole registry.
    pub(crate) full_reads: u64,
    /// Whether other entries follow this one.
    pub(crate) is_followed: bool,
}

/// Follows the registry, through another entry or the store, and counts the outages that its polls
/// reveal; never returns.
pub(crate) async fn follow_targets(
    store: Store,
    inputs: Sender<Input>,
    outage_count: watch::Sender<u64>,
    mut following: watch::Receiver<Following>,
    tables: Arc<Tables>,
    shared: Arc<Shared>,
) {
    let mut feed = TargetFeed::new(store, inputs, outage_count, tables, shared);
    let mut search = Search::new(feed.peers.clone());
    let mut full_reads = 0;
    loop {
        if following.has_changed().unwrap_or_default() {
            let Following { readers, full_reads: wanted, is_followed } =
                following.borrow_and_update().clone();
            search.sources.set_readers(readers);
            if std::mem::replace(&mut full_reads, wanted) != wanted {
                feed.version = Version::ZERO;
            }
            feed.is_followed = is_followed;
        }
        search.advance();
        let source = search.sources.next();
        match (&source, feed.pace.question(feed.given_at, Tick::now())) {
            (Source::Entry(reader), Some(question)) => {
                feed.log_source(&source);
                let answer = feed.ask(reader, question).await;
                if !feed.accept(reader, answer).await {
                    search.sources.record_failure(reader, Tick::now());
                }
            }
            (Source::Entry(reader), None) => {
                feed.log_source(&source);
                if let Some(answer) = feed.ask_late(reader).await
                    && !feed.accept(reader, answer).await
                {
                    search.sources.record_failure(reader, Tick::now());
                }
            }
            (Source::Store, _) => {
                feed.log_source(&source);
                feed.tables.end_coverage();
                feed.poll_store(search.find()).await;
            }
        }
    }
}

/// The answer of another entry about the registry.
struct EntryAnswer {
    sent_at: Tick,
    update: RegistryUpdate,
}

/// The search for an entry to follow, which runs beside the polls.
struct Search {
    sources: Sources,
    peers: Peers,
    probe: Option<Probe>,
}

impl Search {
    fn new(peers: Peers) -> Self {
        Self { sources: Sources::default(), peers, probe: None }
    }

    /// Records the answer of the probe that has ended, if one has, and begins the next one.
    fn advance(&mut self) {
        let ended = self.probe.as_mut().map(|probe| probe.answer.try_recv());
        if let Some(answer) = ended.filter(|answer| *answer != Err(TryRecvError::Empty)) {
            self.end_probe(answer.unwrap_or_default());
        }
        self.begin_probe();
    }

    fn begin_probe(&mut self) {
        if self.probe.is_none() {
            let candidate = self.sources.candidate(Tick::now());
            self.probe = candidate.map(|reader| Probe::begin(&self.peers, reader));
        }
    }

    fn end_probe(&mut self, answered: bool) {
        let Some(Probe { reader, .. }) = self.probe.take() else { return };
        if answered {
            self.sources.record_answer(reader);
        } else {
            self.sources.record_failure(&reader, Tick::now());
        }
    }

    /// Waits until an entry can be followed. Nothing is lost if the wait is given up.
    async fn find(&mut self) {
        while self.sources.next() == Source::Store {
            match &mut self.probe {
                Some(probe) => {
                    let answered = (&mut probe.answer).await.unwrap_or_default();
                    self.end_probe(answered);
                }
                None => time::sleep(SEARCH_INTERVAL).await,
            }
            self.begin_probe();
        }
    }
}

/// The question to an entry whether it can be followed, which runs beside the polls.
struct Probe {
    reader: Reader,
    answer: oneshot::Receiver<bool>,
}

impl Probe {
    fn begin(peers: &Peers, reader: Reader) -> Self {
        let (peers, address) = (peers.clone(), reader.address);
        let (reply_to, answer) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let answered = peers.can_be_followed(address).await;
            // Nobody waits for it any more if the process is ending.
            reply_to.send(answered).ok();
        });
        Self { reader, answer }
    }
}

/// What is known of the registry's feed.
struct TargetFeed {
    store: Store,
    /// The same store, with the shorter polls of an entry that others follow.
    reader_store: Store,
    is_followed: bool,
    pace: Pace,
    /// The source of the last poll.
    last_source: Source,
    peers: Peers,
    inputs: Sender<Input>,
    shared: Arc<Shared>,
    outage_count: watch::Sender<u64>,
    /// What the entry that this one follows tells of other tables.
    tables: Arc<Tables>,
    /// The version of the store up to which the registry is known; zero if it must be read in full.
    version: Version,
    staleness: Staleness,
    /// When the store gave its last answer that this entry knows, from itself or another entry.
    given_at: Option<Tick>,
    /// Whether the last poll of the store failed.
    unavailable: bool,
    last_era: Option<Era>,
    backoff: Backoff,
    /// The outages that the entries followed so far have counted.
    outages_told: HashMap<Vm, u64>,
}

impl TargetFeed {
    fn new(
        store: Store,
        inputs: Sender<Input>,
        outage_count: watch::Sender<u64>,
        tables: Arc<Tables>,
        shared: Arc<Shared>,
    ) -> Self {
        let pace = shared.pace();
        Self {
            reader_store: store.with_poll_duration(pace.reader_poll),
            store,
            is_followed: false,
            pace,
            last_source: Source::Store,
            peers: Peers::new(pace),
            inputs,
            shared,
            outage_count,
            tables,
            version: Version::ZERO,
            staleness: Staleness::default(),
            given_at: None,
            unavailable: false,
            last_era: None,
            backoff: Backoff::default(),
            outages_told: HashMap::new(),
        }
    }

    /// Logs what is polled from now on, if that is another source than before.
    fn log_source(&mut self, source: &Source) {
        #[derive(Serialize)]
        struct SourceLine<'a> {
            source: &'a str,
            version: u64,
        }
        if *source == self.last_source {
            return;
        }
        let name = match source {
            Source::Store => STORE_SOURCE,
            Source::Entry(reader) => reader.vm.as_str(),
        };
        self.shared.counters.count("registry_sources", "changed");
        let line = SourceLine { source: name, version: self.version.get() };
        self.shared.journal.log("follow", &line);
        self.last_source = source.clone();
    }

    /// Asks another entry what has changed; returns none if no whole answer comes in time.
    fn ask(
        &self,
        reader: &Reader,
        question: Question,
    ) -> impl Future<Output = Option<EntryAnswer>> + use<> {
        let (peers, address) = (self.peers.clone(), reader.address);
        let wait_ms = Some(question.wait.as_millis() as u64);
        let query =
            RegistryQuery { after: self.version, wait_ms, tables: Some(self.tables.query()) };
        async move {
            let sent_at = Tick::now();
            let poll = peers.poll_registry(address, &query);
            let update = time::timeout(question.until.since(sent_at), poll).await.ok()??;
            Some(EntryAnswer { sent_at, update })
        }
    }

    /// Asks another entry without waiting for news, and the store as well if no answer comes soon.
    /// Returns none if the store answered first.
    async fn ask_late(&mut self, reader: &Reader) -> Option<Option<EntryAnswer>> {
        let answer = self.ask(reader, self.pace.late_question(Tick::now()));
        tokio::pin!(answer);
        match time::timeout(self.pace.head_start, &mut answer).await {
            Ok(answer) => Some(answer),
            Err(_) => self.poll_store(answer).await,
        }
    }

    /// Passes on what another entry has answered, and returns true if that is usable: the store has
    /// confirmed it a short time ago.
    async fn accept(&mut self, reader: &Reader, answer: Option<EntryAnswer>) -> bool {
        let Some(EntryAnswer { sent_at, update }) = answer else {
            self.shared.counters.count("registry_polls", "entry failed");
            return false;
        };
        let answered_at = sent_at.plus(Duration::from_millis(update.waited_ms));
        let given_at =
            update.age_ms.map(|age_ms| answered_at.before(Duration::from_millis(age_ms)));
        let recent = given_at.filter(|at| self.pace.is_recent(*at, Tick::now()));
        let Some(given_at) = recent.filter(|_| update.version.era() >= self.version.era()) else {
            self.shared.counters.count("registry_polls", "entry outdated");
            return false;
        };
        self.shared.counters.count("registry_polls", "entry");
        self.version = self.version.max(update.version);
        self.store.learn_era(update.version.era());
        self.record_poll(true);
        let told = self.outages_told.insert(reader.vm.clone(), update.outages);
        if told.is_some_and(|told| told != update.outages) {
            self.outage_count.send_modify(|count| *count += 1);
        }
        self.record_answer(reader.vm.as_str(), sent_at, given_at);
        let reader = reader.vm.clone();
        let tables = update.tables.as_ref().map(TablesUpdate::summary);
        send(&self.inputs, Input::RegistryUpdate { reader, update, answered_at }).await;
        // The next query and the next poll of the store name what the input above brings.
        self.tables.record_answer(tables.unwrap_or_default(), Tick::now());
        true
    }

    /// Polls the store once, or reads the registry in full, unless `other` ends first: then its
    /// result is returned. It does not cut short what is done with an answer of the store.
    async fn poll_store<T>(&mut self, other: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(other);
        let called_at = Tick::now();
        let complete = self.version == Version::ZERO;
        let store = if self.is_followed { &self.reader_store } else { &self.store };
        let call = async {
            if complete {
                store.read(Table::Targets).await
            } else {
                store.watch(Table::Targets, self.version).await
            }
        };
        let (answer, sending_delay) = tokio::select! {
            answer = wire::with_sending_delay(call) => answer,
            result = &mut other => return Some(result),
        };
        let sent_at = if complete { called_at } else { called_at.plus(sending_delay) };
        match answer {
            Ok(rows) => {
                self.shared.counters.count("registry_polls", "store");
                self.record_poll(true);
                self.backoff.reset();
                self.version = rows.version;
                let changed = !rows.rows.is_empty();
                let received_at = Tick::now();
                let timing = PollTiming { sent_at, received_at, store_clock: rows.clock };
                let age = self.staleness.record(timing);
                let given_at = received_at.before(age.of_answer);
                self.record_answer(STORE_SOURCE, sent_at, given_at);
                let changed_at = received_at.before(age.of_change);
                let input = Input::TargetRows { rows, complete, changed_at, given_at };
                send(&self.inputs, input).await;
                if changed && !complete {
                    let min_pause = MIN_REGISTRY_PAUSE.min(self.pace.max_pause);
                    let pause = pause_after_change(&self.shared, min_pause, self.pace.max_pause);
                    time::sleep(pause).await;
                }
            }
            Err(error @ Error::Compacted) => {
                log_failure(&self.shared, Table::Targets, called_at, error);
                self.version = Version::ZERO;
            }
            Err(error @ Error::Unavailable) => {
                self.shared.counters.count("registry_polls", "store failed");
                log_failure(&self.shared, Table::Targets, called_at, error);
                self.record_poll(false);
                send(&self.inputs, Input::TargetsUnavailable).await;
                // A copy from a peer may have been applied in between, so the registry is read in
                // full.
                self.version = Version::ZERO;
                tokio::select! {
                    () = wait_to_retry(&mut self.backoff) => {}
                    result = &mut other => return Some(result),
                }
            }
        }
        None
    }

    /// Records when the store gave the answer that has arrived from it or through another entry, and
    /// logs that the one before was old by then.
    fn record_answer(&mut self, source: &str, sent_at: Tick, given_at: Tick) {
        #[derive(Serialize)]
        struct LateLine<'a> {
            source: &'a str,
            version: u64,
            age_ms: u64,
            after_ms: u64,
            new_age_ms: u64,
        }
        let Some(last) = self.given_at.replace(given_at) else { return };
        self.given_at = self.given_at.max(Some(last));
        let now = Tick::now();
        let millis = |since: Tick| now.since(since).as_millis() as u64;
        let is_late = now.since(last) > self.pace.max_age;
        self.shared.counters.count("registry_answers", if is_late { "late" } else { "in time" });
        if is_late {
            let line = LateLine {
                source,
                version: self.version.get(),
                age_ms: millis(last),
                after_ms: millis(sent_at),
                new_age_ms: millis(given_at),
            };
            self.shared.journal.log("late_registry", &line);
        }
    }

    /// Counts an outage once a poll is answered after one that was not, or in a new era.
    fn record_poll(&mut self, answered: bool) {
        let era = self.store.known_era();
        let is_new_era = self.last_era.is_some() && era != self.last_era;
        if (answered && self.unavailable) || is_new_era {
            self.outage_count.send_modify(|count| *count += 1);
        }
        self.last_era = era;
        self.unavailable = !answered;
    }
}
