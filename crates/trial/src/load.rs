//! Callers that go on while faults happen.

use {
    crate::{Answer, Caller, Fleet, KEYED},
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
pub struct Seen {
    /// When the request was sent.
    pub at: Instant,
    /// The address it was sent to.
    pub to: SocketAddr,
    /// The path.
    pub path: String,
    /// The idempotency key of an order.
    pub id: Option<String>,
    /// The answer.
    pub answer: Answer,
}

/// Callers in the background.
pub struct Load {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(5);

impl Load {
    /// Starts `callers` callers for each of these entries; each third request is an order.
    #[must_use]
    pub fn start(fleet: &Fleet, entries: &[usize], callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let keys = Arc::new(fleet.keys());
        let mut tasks = Vec::new();
        for &entry in entries {
            for number in 0..callers {
                let to = fleet.entries[entry].callers;
                let (stop, seen, keys) = (Arc::clone(&stop), Arc::clone(&seen), Arc::clone(&keys));
                let name = format!("{entry}-{number}");
                tasks.push(tokio::spawn(call(to, name, keys, stop, seen)));
            }
        }
        Self { stop, seen, tasks }
    }

    /// Returns what was seen so far.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ends the callers and returns what they saw.
    pub async fn finish(self) -> Vec<Seen> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.ok();
        }
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.clone()
    }
}

async fn call(
    to: SocketAddr,
    name: String,
    keys: Arc<Vec<String>>,
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
) {
    let caller = Caller::default();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let at = Instant::now();
        let (path, id) = if number % 3 == 2 {
            (format!("/orders/{name}-{number}"), Some(format!("{name}-{number}")))
        } else {
            (format!("/{KEYED}/{}", keys[number % keys.len()]), None)
        };
        let answer = match &id {
            Some(id) => caller.post(to, &path, id).await,
            None => caller.get(to, &path).await,
        };
        let one = Seen { at, to, path, id, answer };
        seen.lock().unwrap_or_else(PoisonError::into_inner).push(one);
        time::sleep(PAUSE).await;
    }
}
