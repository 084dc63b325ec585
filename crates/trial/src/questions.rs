//! What a test asks a fleet, and what it checks.

use {
    crate::{Fleet, KEYED, Seen, fleet::zone_name, process::Process},
    entry::{Answer, ChangeError, ConfigChange, ConfigText, KeyStatus, Status},
    http::Method,
    report::Record,
    standin::check,
    std::{net::SocketAddr, time::Duration},
};

impl Fleet {
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
    ) -> Result<u64, Option<ChangeError>> {
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
        let guardian = cell.primary?;
        self.entries.iter().position(|entry| entry.vm == guardian.vm)
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
