//! Claims: rows of the table that record which requests with an idempotency key were sent.
//!
//! A claim is written before its request is sent, so that a repeat at any entry finds it. It is
//! released only if the request has provably not run. While the table does not respond, such
//! requests are refused as not run: a claim that is known to the entries only would be lost with
//! them.

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

/// The pause before another attempt to write a claim.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRow {
    by: Process,
    token: u64,
    released: bool,
}

/// A claim that this process has acquired.
#[derive(Debug)]
pub(crate) struct Claim {
    name: SmolStr,
    version: Version,
    row: ClaimRow,
}

impl Claim {
    /// Acquires the claim for the idempotency key `id`.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Duplicate`] if a request with this key was sent before, and
    /// [`Reason::ClaimUnavailable`] if the table has not confirmed the claim by the deadline.
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
                    ExistingClaim::Own(version) => return Ok(Self { name, version, row }),
                    ExistingClaim::Free(current) => version = current,
                    ExistingClaim::Taken => return Err(Reason::Duplicate),
                },
                Commit::Refused | Commit::Ambiguous => time::sleep(CLAIM_RETRY_INTERVAL).await,
            }
        }
        Err(Reason::ClaimUnavailable)
    }

    /// Releases the claim of a request that has provably not run.
    pub(crate) async fn release(mut self, client: &Client) {
        self.row.released = true;
        // If the write fails, the claim stays, and its only effect is that a repeat is refused.
        commit(client, &self.name, self.version, &self.row).await;
    }
}

/// The claim that a conflicting write found in the table.
enum ExistingClaim {
    /// The own claim, written by an earlier attempt whose reply was lost.
    Own(Version),
    /// No claim in force: the row has no value or its claim was released.
    Free(Version),
    /// The claim of another request, or a row that cannot be read.
    Taken,
}

fn inspect_existing(rows: &[Row], own: &ClaimRow) -> ExistingClaim {
    let Some(row) = rows.first() else { return ExistingClaim::Taken };
    let Some(value) = &row.value else { return ExistingClaim::Free(row.version) };
    match serde_json::from_str::<ClaimRow>(value) {
        Ok(existing) if existing == *own => ExistingClaim::Own(row.version),
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
