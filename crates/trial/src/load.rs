//! Callers that go on while faults happen.

use {
    crate::{Caller, Fleet, FleetResponse, KEYED},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// When the request was sent.
    pub sent_at: Instant,
    /// The address it was sent to.
    pub entry_address: SocketAddr,
    /// The path.
    pub path: String,
    /// The idempotency key of an order.
    pub idempotency_key: Option<String>,
    /// The answer.
    pub response: FleetResponse,
}

/// Callers in the background.
pub struct Load {
    stop: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(5);

impl Load {
    /// Starts `callers` callers for each of these entries; each third request is an order.
    #[must_use]
    pub fn start(fleet: &Fleet, entries: &[usize], callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let exchanges = Arc::new(Mutex::new(Vec::new()));
        let keys = Arc::new(fleet.keys());
        let mut tasks = Vec::new();
        for &entry in entries {
            for number in 0..callers {
                let entry_address = fleet.entries[entry].caller_address;
                let (stop, exchanges, keys) =
                    (Arc::clone(&stop), Arc::clone(&exchanges), Arc::clone(&keys));
                let name = format!("{entry}-{number}");
                tasks.push(tokio::spawn(send_requests(entry_address, name, keys, stop, exchanges)));
            }
        }
        Self { stop, exchanges, tasks }
    }

    /// Returns what was seen so far.
    #[must_use]
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ends the callers and returns what they saw.
    pub async fn finish(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.ok();
        }
        let exchanges = self.exchanges.lock().unwrap_or_else(PoisonError::into_inner);
        exchanges.clone()
    }
}

async fn send_requests(
    entry_address: SocketAddr,
    name: String,
    keys: Arc<Vec<String>>,
    stop: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
) {
    let caller = Caller::default();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let sent_at = Instant::now();
        let (path, idempotency_key) = if number % 3 == 2 {
            (format!("/orders/{name}-{number}"), Some(format!("{name}-{number}")))
        } else {
            (format!("/{KEYED}/{}", keys[number % keys.len()]), None)
        };
        let response = match &idempotency_key {
            Some(idempotency_key) => caller.post(entry_address, &path, idempotency_key).await,
            None => caller.get(entry_address, &path).await,
        };
        let exchange = Exchange { sent_at, entry_address, path, idempotency_key, response };
        exchanges.lock().unwrap_or_else(PoisonError::into_inner).push(exchange);
        time::sleep(PAUSE).await;
    }
}
