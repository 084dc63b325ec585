//! Claims: the record in the table that a request with an idempotency key has been sent.
//!
//! The claim is written before the request is sent, so a repeat that reaches any entry finds it. It
//! is given up only when it is proved that the request did not run. While the table does not answer,
//! such requests are refused as not run: a claim that only the peers know would be lost with them.

use {
    key::{Process, Version},
    route::Reason,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::time::{Duration, Instant},
    store::{
        Client, Commit,
        table::{Condition, Row, Transaction, Write},
    },
    tokio::time,
};

const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRow {
    by: Process,
    token: u64,
    released: bool,
}

/// A claim that this process holds.
#[derive(Debug)]
pub(crate) struct Claim {
    name: SmolStr,
    version: Version,
    row: ClaimRow,
}

impl Claim {
    /// Takes the claim for `id`, or tells why the request must not be sent.
    ///
    /// # Errors
    ///
    /// [`Reason::Duplicate`] if the request was sent before, and [`Reason::ClaimUnavailable`] if the
    /// table does not say by the deadline.
    pub(crate) async fn acquire(
        client: &Client,
        me: &Process,
        service: &str,
        id: &str,
        deadline: Instant,
    ) -> Result<Self, Reason> {
        let (high, low) =
            (key::rendezvous_weight(service, id), key::rendezvous_weight(id, service));
        let name = SmolStr::from(format!("claim/{service}/{high:016x}{low:016x}"));
        let row = ClaimRow { by: me.clone(), token: rand::random(), released: false };
        let mut version = Version::ZERO;
        while Instant::now() < deadline {
            match commit(client, &name, version, &row).await {
                Commit::Committed(_) => {
                    return Ok(Self { name, version: version.next(), row });
                }
                Commit::Conflict(rows) => match inspect_existing(&rows, &row) {
                    ExistingClaim::Ours(version) => return Ok(Self { name, version, row }),
                    ExistingClaim::Free(current) => version = current,
                    ExistingClaim::Taken => return Err(Reason::Duplicate),
                },
                Commit::Refused | Commit::Ambiguous => time::sleep(CLAIM_RETRY_INTERVAL).await,
            }
        }
        Err(Reason::ClaimUnavailable)
    }

    /// Gives the claim up, since the request is proved not to have run.
    pub(crate) async fn release(mut self, client: &Client) {
        self.row.released = true;
        // If the answer is lost the claim may stay, which only refuses a repeat.
        commit(client, &self.name, self.version, &self.row).await;
    }
}

enum ExistingClaim {
    Ours(Version),
    Free(Version),
    Taken,
}

fn inspect_existing(rows: &[Row], ours: &ClaimRow) -> ExistingClaim {
    let Some(row) = rows.first() else { return ExistingClaim::Taken };
    let Some(value) = &row.value else { return ExistingClaim::Free(row.version) };
    match serde_json::from_str::<ClaimRow>(value) {
        Ok(existing) if existing == *ours => ExistingClaim::Ours(row.version),
        Ok(existing) if existing.released => ExistingClaim::Free(row.version),
        _ => ExistingClaim::Taken,
    }
}

async fn commit(client: &Client, name: &SmolStr, version: Version, row: &ClaimRow) -> Commit {
    let value = serde_json::to_string(row).ok();
    let transaction = Transaction {
        conditions: vec![Condition { name: name.clone(), version }],
        writes: vec![Write { name: name.clone(), value }],
    };
    client.commit(&transaction).await
}
