//! What a test asks a fleet, and what it checks.

use {
    crate::{Exchange, Fleet, KEYED, fleet::zone_name, process::Process},
    entry::{Answer, ConfigChange, ConfigText, Conflict, KeyStatus, Status},
    http::Method,
    report::Record,
    standin::check,
    std::{net::SocketAddr, time::Duration},
};

impl Fleet {
    /// Returns what an entry says of the fleet.
    pub async fn status(&self, index: usize) -> Option<Status> {
        self.control_client.get(self.entries[index].operator_address, "/status").await.ok()
    }

    /// Returns what an entry says of a key.
    pub async fn why(&self, index: usize, key: &str) -> Option<Answer<KeyStatus>> {
        let path = format!("/why?service={KEYED}&key={key}");
        self.control_client.get(self.entries[index].operator_address, &path).await.ok()
    }

    /// Returns the records that an entry can gather.
    pub async fn history(&self, index: usize) -> Option<Answer<Vec<Record>>> {
        self.control_client
            .get(self.entries[index].operator_address, "/history?limit=2000")
            .await
            .ok()
    }

    /// Returns the processor time of a thread of an entry, or of all its threads.
    #[must_use]
    pub fn entry_cpu_time(&self, index: usize, thread: Option<&str>) -> Duration {
        const TICK: Duration = Duration::from_millis(10);
        let ticks =
            self.entries[index].process.as_ref().map_or(0, |process| process.cpu_ticks(thread));
        TICK * ticks as u32
    }

    /// Returns where a target listens, behind its proxy if it has one.
    ///
    /// # Panics
    ///
    /// Panics if its arguments hold no address, which they always do.
    #[must_use]
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.targets[index].arguments[2].parse().expect("the address is valid")
    }

    /// Returns the resident memory of an entry in kilobytes.
    #[must_use]
    pub fn entry_memory_kb(&self, index: usize) -> u64 {
        self.entries[index].process.as_ref().map_or(0, Process::memory_kb)
    }

    /// Returns the operators' text in force in an entry.
    pub async fn config(&self, index: usize) -> Option<ConfigText> {
        self.control_client.get(self.entries[index].operator_address, "/config").await.ok()
    }

    /// Asks an entry for something of the operators.
    pub async fn post_operation(&self, index: usize, path: &str) -> bool {
        let body = Vec::new().into();
        self.control_client
            .send(Method::POST, self.entries[index].operator_address, path, body)
            .await
            .is_ok()
    }

    /// Replaces the operators' text through an entry.
    ///
    /// # Errors
    ///
    /// Returns the conflict, or nothing where the entry gave no answer.
    pub async fn put_config(
        &self,
        index: usize,
        base: u64,
        text: &str,
        by: &str,
    ) -> Result<u64, Option<Conflict>> {
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

    /// Returns the position of the target that owns a key, as an entry sees it.
    pub async fn owner(&self, index: usize, key: &str) -> Option<usize> {
        let vm = self.why(index, key).await?.result.owner?;
        self.targets.iter().position(|target| target.vm == vm)
    }

    /// Returns the position of the entry that guards the cell of the keyed service in a zone.
    pub async fn primary(&self, index: usize, zone: usize) -> Option<usize> {
        let status = self.status(index).await?;
        let prefix = format!("{KEYED}/{}/", zone_name(zone));
        let cell = status.cells.into_iter().find(|cell| cell.cell.starts_with(&prefix))?;
        let primary = cell.guardian?;
        self.entries.iter().position(|entry| entry.vm == primary.vm)
    }

    /// Checks the answers of a load against the journals: each served answer is the answer to its own
    /// request, and what was refused as not run did not run.
    ///
    /// # Panics
    ///
    /// Panics with the first answer that is not true.
    pub fn verify_responses(&self, exchanges: &[Exchange]) {
        let runs = check::runs(&self.journal_lines());
        for exchange in exchanges {
            let (path, response) = (&exchange.path, &exchange.response);
            assert!(
                !response.is_served() || response.echoes(path),
                "not the answer to {path}: {response:?}"
            );
            let ran = exchange
                .idempotency_key
                .as_ref()
                .and_then(|id| runs.get(id))
                .copied()
                .unwrap_or_default();
            assert!(
                !response.is_not_run() || ran == 0,
                "{path} was refused as not run and ran: {response:?}"
            );
            let lost = exchange.idempotency_key.is_some() && response.is_served() && ran != 1;
            assert!(!lost, "{path} was answered and ran {ran} times: {response:?}");
        }
    }

    /// Checks what the journals prove: one owner at a time, no run without ownership and no order
    /// that ran twice.
    ///
    /// # Panics
    ///
    /// Panics with the first thing that must not have happened.
    pub fn verify_journals(&self) {
        let lines = self.journal_lines();
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
