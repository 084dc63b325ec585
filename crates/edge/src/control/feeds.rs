//! Following the store's tables by long polls.
//!
//! Each feed reads its table in full and then waits for changes from that version on. It starts
//! over when the store has compacted the history that it needs. After a change it pauses, longer
//! with more entries, so that a burst of changes reaches the entries in a few answers and a large
//! fleet does not overload the store.

use {
    crate::{
        control::{input::Input, message::RegistryQuery, peers::Peers},
        shared::Shared,
    },
    hold::staleness::{PollTiming, Staleness},
    key::{Era, Version, Vm, clock::Tick},
    member::{Backoff, Pace, Question, Reader, Source, Sources},
    platform::store::{Error, Rows, Store, Table},
    serde::Serialize,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, watch},
        task::JoinHandle,
        time,
    },
};

/// The shortest pause after a change of the registry: a target that starts changes its row many
/// times.
const MIN_REGISTRY_PAUSE: Duration = Duration::from_millis(500);

/// The number of entries up to which the shortest pauses apply; with more entries they grow in
/// proportion.
const ENTRIES_AT_MIN_PAUSE: u32 = 20;

/// The shortest pause after a change of the table of entries: when a fleet starts, every entry
/// writes its row. The pause does not delay a change of the leader, which the new leader announces
/// itself.
const MIN_ENTRIES_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after a change of the table of entries.
const MAX_ENTRIES_PAUSE: Duration = Duration::from_millis(2_000);

/// The source of the registry in the journal, if it is the store.
pub(crate) const STORE_SOURCE: &str = "store";

/// The number of outages of the store that have ended, returns from a copy included. A long poll
/// that was in flight during an outage may never be answered, so each change of this number makes
/// the feeds poll again.
pub(crate) type OutageCount = watch::Receiver<u64>;

/// Waits before a call that failed is repeated.
async fn wait_to_retry(backoff: &mut Backoff) {
    time::sleep(backoff.next_delay(rand::random())).await;
}

/// Waits for changes of a table, and polls again after an outage.
async fn next_rows(
    store: &Store,
    table: Table,
    version: Version,
    outages: &mut OutageCount,
) -> Result<Rows, Error> {
    loop {
        tokio::select! {
            rows = store.watch(table, version) => return rows,
            changed = outages.changed() => {
                if changed.is_err() {
                    return Err(Error::Unavailable);
                }
            }
        }
    }
}

/// Logs that a table could not be read or polled, `sent_at` after the call was made.
fn log_failure(shared: &Shared, table: Table, sent_at: Tick, error: Error) {
    #[derive(Serialize)]
    struct FailureLine {
        table: &'static str,
        after_ms: u64,
        error: String,
    }
    let after_ms = Tick::now().since(sent_at).as_millis() as u64;
    let line = FailureLine { table: table.name(), after_ms, error: error.to_string() };
    shared.counters.count("store_reads_failed", table.name());
    shared.journal.log("read_failed", &line);
}

/// Follows the operators' table; never returns.
pub(crate) async fn follow_operator(
    store: Store,
    inputs: Sender<Input>,
    mut outages: OutageCount,
    shared: Arc<Shared>,
) {
    let mut backoff = Backoff::default();
    loop {
        let sent_at = Tick::now();
        let rows = match store.read(Table::Operator).await {
            Ok(rows) => rows,
            Err(error) => {
                log_failure(&shared, Table::Operator, sent_at, error);
                wait_to_retry(&mut backoff).await;
                continue;
            }
        };
        let mut version = rows.version;
        send(&inputs, Input::OperatorRows { rows, at: sent_at }).await;
        loop {
            let sent_at = Tick::now();
            match next_rows(&store, Table::Operator, version, &mut outages).await {
                Ok(rows) => {
                    backoff.reset();
                    version = rows.version;
                    // The store answers a long poll when something changes or the wait is over.
                    let at = if rows.rows.is_empty() { sent_at } else { Tick::now() };
                    send(&inputs, Input::OperatorRows { rows, at }).await;
                }
                Err(Error::Compacted) => break,
                Err(error @ Error::Unavailable) => {
                    log_failure(&shared, Table::Operator, sent_at, error);
                    wait_to_retry(&mut backoff).await;
                }
            }
        }
    }
}

/// Follows the table of entries; never returns.
pub(crate) async fn follow_entries(
    store: Store,
    inputs: Sender<Input>,
    mut outages: OutageCount,
    shared: Arc<Shared>,
) {
    let mut backoff = Backoff::default();
    loop {
        let sent_at = Tick::now();
        let rows = match store.read(Table::Entries).await {
            Ok(rows) => rows,
            Err(error) => {
                log_failure(&shared, Table::Entries, sent_at, error);
                wait_to_retry(&mut backoff).await;
                continue;
            }
        };
        let mut version = rows.version;
        send(&inputs, Input::EntryRows { rows, complete: true }).await;
        loop {
            let sent_at = Tick::now();
            match next_rows(&store, Table::Entries, version, &mut outages).await {
                Ok(rows) => {
                    backoff.reset();
                    version = rows.version;
                    let changed = !rows.rows.is_empty();
                    send(&inputs, Input::EntryRows { rows, complete: false }).await;
                    if changed {
                        time::sleep(pause_after_change(
                            &shared,
                            MIN_ENTRIES_PAUSE,
                            MAX_ENTRIES_PAUSE,
                        ))
                        .await;
                    }
                }
                Err(Error::Compacted) => break,
                Err(error @ Error::Unavailable) => {
                    log_failure(&shared, Table::Entries, sent_at, error);
                    wait_to_retry(&mut backoff).await;
                }
            }
        }
    }
}

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
    shared: Arc<Shared>,
) {
    let mut feed = TargetFeed::new(store, inputs, outage_count, shared);
    let mut sources = Sources::default();
    let mut probe: Option<Probe> = None;
    let mut full_reads = 0;
    loop {
        if following.has_changed().unwrap_or_default() {
            let Following { readers, full_reads: wanted, is_followed } =
                following.borrow_and_update().clone();
            sources.set_readers(readers);
            if std::mem::replace(&mut full_reads, wanted) != wanted {
                feed.version = Version::ZERO;
            }
            feed.is_followed = is_followed;
        }
        if let Some(ended) = probe.take_if(|probe| probe.task.is_finished()) {
            if ended.task.await.unwrap_or_default() {
                sources.record_answer(ended.reader);
            } else {
                sources.record_failure(&ended.reader, Tick::now());
            }
        }
        if probe.is_none() {
            probe = sources.candidate(Tick::now()).map(|reader| feed.probe(reader));
        }
        let source = sources.next();
        match (&source, feed.pace.question(feed.given_at, Tick::now())) {
            (Source::Entry(reader), Some(question)) => {
                feed.log_source(&source);
                if !feed.poll_entry(reader, question).await {
                    sources.record_failure(reader, Tick::now());
                }
            }
            (Source::Entry(reader), None) => {
                // The entry that is followed may reach the store when this one does not.
                if !feed.poll_store().await {
                    let question = feed.pace.late_question(Tick::now());
                    if !feed.poll_entry(reader, question).await {
                        sources.record_failure(reader, Tick::now());
                    }
                }
            }
            (Source::Store, _) => {
                feed.log_source(&source);
                feed.poll_store().await;
            }
        }
    }
}

/// The question to an entry whether it can be followed, which runs beside the polls.
struct Probe {
    reader: Reader,
    task: JoinHandle<bool>,
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

    /// Asks another entry whether it can be followed.
    fn probe(&self, reader: Reader) -> Probe {
        let (peers, address) = (self.peers.clone(), reader.address);
        let task = tokio::task::spawn_local(async move { peers.can_be_followed(address).await });
        Probe { reader, task }
    }

    /// Asks another entry what has changed, and returns true if its answer is usable: it came in
    /// time, and the store has confirmed it a short time ago.
    async fn poll_entry(&mut self, reader: &Reader, question: Question) -> bool {
        let sent_at = Tick::now();
        let wait_ms = Some(question.wait.as_millis() as u64);
        let query = RegistryQuery { after: self.version, wait_ms };
        let poll = self.peers.poll_registry(reader.address, &query);
        let Ok(Some(update)) = time::timeout(question.until.since(sent_at), poll).await else {
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
        send(&self.inputs, Input::RegistryUpdate { reader, update, answered_at }).await;
        true
    }

    /// Polls the store once, or reads the registry in full; returns false if it does not answer.
    async fn poll_store(&mut self) -> bool {
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
        let (answer, sending_delay) = wire::with_sending_delay(call).await;
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
                wait_to_retry(&mut self.backoff).await;
                // A copy from a peer may have been applied in between, so the registry is read in
                // full.
                self.version = Version::ZERO;
                return false;
            }
        }
        true
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

/// Returns the pause after a change, which grows with the number of entries that poll the store.
fn pause_after_change(shared: &Shared, min: Duration, max: Duration) -> Duration {
    let entries = shared.snapshot.load().entries as u32;
    (min * entries / ENTRIES_AT_MIN_PAUSE).clamp(min, max)
}

/// Sends an input. The receiver lives as long as the process, so a closed queue means that the
/// process is ending, and the task waits for that.
pub(crate) async fn send(inputs: &Sender<Input>, input: Input) {
    if inputs.send(input).await.is_err() {
        std::future::pending::<()>().await;
    }
}
