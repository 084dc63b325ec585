//! Background callers that keep sending requests while a test injects faults.

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

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// When the request was sent.
    pub sent_at: Instant,
    /// The address it was sent to.
    pub entry_address: SocketAddr,
    /// The request path.
    pub path: String,
    /// The idempotency key, which only orders have.
    pub idempotency_key: Option<String>,
    /// The response.
    pub response: FleetResponse,
}

/// A set of background callers and the exchanges that they recorded.
pub struct Load {
    stop: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// The time that a caller waits between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

impl Load {
    /// Starts `callers` callers for each of the given entries.
    ///
    /// Every third request of a caller is an order; the others read a key of the keyed service.
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

    /// Returns the exchanges recorded so far.
    #[must_use]
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the callers and returns all recorded exchanges.
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
        time::sleep(REQUEST_INTERVAL).await;
    }
}
