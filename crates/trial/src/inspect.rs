//! Queries to the entries of a fleet, and checks of what it did.

use {
    crate::{Exchange, Fleet, KEYED, fleet::zone_name, process::Process},
    entry::{Answer, ChangeError, ConfigChange, ConfigText, KeyStatus, Status},
    http::Method,
    report::Record,
    standin::check,
    std::{net::SocketAddr, time::Duration},
};

impl Fleet {
    /// Returns the status that an entry reports, or `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<Status> {
        self.control_client.get(self.entries[index].operator_address, "/status").await.ok()
    }

    /// Returns an entry's explanation of a key's owner, or `None` if it does not answer.
    pub async fn why(&self, index: usize, key: &str) -> Option<Answer<KeyStatus>> {
        let path = format!("/why?service={KEYED}&key={key}");
        self.control_client.get(self.entries[index].operator_address, &path).await.ok()
    }

    /// Returns up to 2000 records of the decision log as an entry collects them from its peers.
    pub async fn history(&self, index: usize) -> Option<Answer<Vec<Record>>> {
        self.control_client
            .get(self.entries[index].operator_address, "/history?limit=2000")
            .await
            .ok()
    }

    /// Returns the CPU time of the threads of an entry named `thread`, or of all its threads.
    #[must_use]
    pub fn entry_cpu_time(&self, index: usize, thread: Option<&str>) -> Duration {
        const CLOCK_TICK: Duration = Duration::from_millis(10);
        let ticks =
            self.entries[index].process.as_ref().map_or(0, |process| process.cpu_ticks(thread));
        CLOCK_TICK * ticks as u32
    }

    /// Returns the address that a target process listens on, bypassing its proxy.
    ///
    /// # Panics
    ///
    /// Panics if the arguments of the target contain no address; they always do.
    #[must_use]
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.targets[index].arguments[2].parse().expect("the third argument is not an address")
    }

    /// Returns the resident set size of an entry in kilobytes.
    #[must_use]
    pub fn entry_memory_kb(&self, index: usize) -> u64 {
        self.entries[index].process.as_ref().map_or(0, Process::memory_kb)
    }

    /// Returns the operators' configuration in force in an entry.
    pub async fn config(&self, index: usize) -> Option<ConfigText> {
        self.control_client.get(self.entries[index].operator_address, "/config").await.ok()
    }

    /// Posts to a path of an entry's operator address and returns true if the entry accepted it.
    pub async fn post_operation(&self, index: usize, path: &str) -> bool {
        let body = Vec::new().into();
        self.control_client
            .send(Method::POST, self.entries[index].operator_address, path, body)
            .await
            .is_ok()
    }

    /// Replaces version `base` of the operators' configuration through an entry, and returns the
    /// new version.
    ///
    /// # Errors
    ///
    /// Returns the conflict that the entry reported, or `None` if it gave no valid response.
    pub async fn put_config(
        &self,
        index: usize,
        base: u64,
        text: &str,
        by: &str,
    ) -> Result<u64, Option<ChangeError>> {
        let path = format!("/config?base={base}&by={by}");
        let body = text.as_bytes().to_vec().into();
        let sent = self
            .control_client
            .send(Method::POST, self.entries[index].operator_address, &path, body)
            .await;
        match sent {
            Ok(bytes) => {
                let change: ConfigChange = serde_json::from_slice(&bytes).map_err(|_| None)?;
                Ok(change.version.get())
            }
            Err(error) => Err(serde_json::from_str(error.detail()).ok()),
        }
    }

    /// Returns the index of the target that owns a key according to an entry.
    pub async fn owner(&self, index: usize, key: &str) -> Option<usize> {
        let vm = self.why(index, key).await?.result.owner?;
        self.targets.iter().position(|target| target.vm == vm)
    }

    /// Returns the index of the entry that is the primary of the keyed service's cell in a zone,
    /// according to another entry.
    pub async fn primary(&self, index: usize, zone: usize) -> Option<usize> {
        let status = self.status(index).await?;
        let prefix = format!("{KEYED}/{}/", zone_name(zone));
        let cell = status.cells.into_iter().find(|cell| cell.cell.starts_with(&prefix))?;
        let primary = cell.primary?;
        self.entries.iter().position(|entry| entry.vm == primary.vm)
    }

    /// Checks recorded responses against the journals of the targets.
    ///
    /// Every served response must be the response to its own request, a request that was refused as
    /// `not-run` must not have run, and a served order must have run exactly once.
    ///
    /// # Panics
    ///
    /// Panics with the first response that breaks one of these rules.
    pub fn verify_responses(&self, exchanges: &[Exchange]) {
        let runs = check::run_counts(&self.journal_lines());
        for exchange in exchanges {
            let (path, response) = (&exchange.path, &exchange.response);
            assert!(
                !response.is_served() || response.echoes(path),
                "the response does not belong to {path}: {response:?}"
            );
            let run_count = exchange
                .idempotency_key
                .as_ref()
                .and_then(|id| runs.get(id))
                .copied()
                .unwrap_or_default();
            assert!(
                !response.is_not_run() || run_count == 0,
                "{path} was refused as not run but ran: {response:?}"
            );
            let has_wrong_run_count =
                exchange.idempotency_key.is_some() && response.is_served() && run_count != 1;
            assert!(
                !has_wrong_run_count,
                "{path} was served and ran {run_count} times: {response:?}"
            );
        }
    }

    /// Checks that the journals show one owner of a shard at a time, no request that a target ran
    /// without ownership, and no order that ran twice.
    ///
    /// # Panics
    ///
    /// Panics with the first violation.
    pub fn verify_journals(&self) {
        let lines = self.journal_lines();
        let overlaps = check::shard_overlaps(&lines);
        assert!(
            overlaps.is_empty(),
            "{} ownership overlaps, the first {:?}",
            overlaps.len(),
            overlaps[0]
        );
        let unowned_runs = check::unowned_runs(&lines);
        assert!(
            unowned_runs.is_empty(),
            "{} runs without ownership, the first {:?}",
            unowned_runs.len(),
            unowned_runs[0]
        );
        let duplicates: Vec<_> =
            check::run_counts(&lines).into_iter().filter(|(_, runs)| *runs > 1).collect();
        assert!(duplicates.is_empty(), "orders that ran more than once: {duplicates:?}");
    }
}
