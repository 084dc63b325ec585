//! What targets report of their load in answers, and what is usual for a service.
//!
//! The rules are in `route::load` and `route::hedge`; this module keeps their state in memory that
//! may be lost. Nothing of it is passed on to other entries.

use {
    crate::{
        shared::Shared,
        sync::lock,
        traffic::{attempt::Call, target::Target},
    },
    http::HeaderMap,
    key::{Service, clock::Tick},
    platform::header,
    route::{
        Load,
        hedge::Times,
        load::{Estimate, Reports, Shortage, Usual, shortage},
    },
    serde::Serialize,
    std::{
        collections::HashMap,
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// What the answers of one target say of its load.
#[derive(Debug, Default)]
pub(crate) struct Reported {
    reports: Mutex<Reports>,
    /// Whether an odd value was logged: one line for each instance.
    is_odd_logged: AtomicBool,
}

impl Reported {
    /// Records that this entry sends the target a request.
    pub(crate) fn record_sent(&self) {
        lock(&self.reports).record_sent();
    }
}

/// What the answers of all targets of a service show.
#[derive(Debug, Default)]
struct ServiceNews {
    usual: Usual,
    times: Times,
}

/// What is usual for each service.
#[derive(Debug, Default)]
pub(crate) struct News {
    services: Mutex<HashMap<Service, ServiceNews>>,
}

impl News {
    fn with<T>(&self, service: &Service, use_it: impl FnOnce(&mut ServiceNews) -> T) -> T {
        let mut services = lock(&self.services);
        match services.get_mut(service) {
            Some(news) => use_it(news),
            None => use_it(services.entry(service.clone()).or_default()),
        }
    }

    /// Returns what is usual for a service.
    pub(crate) fn usual(&self, service: &Service) -> Usual {
        self.with(service, |news| news.usual)
    }

    /// Records the time of a response.
    pub(crate) fn record_time(&self, service: &Service, elapsed: Duration) {
        self.with(service, |news| news.times.record(elapsed, Instant::now()));
    }

    /// Returns the time that a request to a service almost never takes.
    pub(crate) fn hedge_delay(&self, service: &Service) -> Option<Duration> {
        self.with(service, |news| news.times.delay())
    }
}

/// How an answer ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The target served it.
    Served,
    /// The target turned it away.
    Shed,
    /// Otherwise.
    Other,
}

/// Records the load that an answer of a target names, if it names one.
pub(crate) fn record(
    shared: &Shared,
    target: &Target,
    headers: &HeaderMap,
    ending: Ending,
    sent_at: Tick,
) {
    let load = match header::load(headers) {
        Ok(None) => return lock(&target.reported.reports).record_silence(),
        Ok(Some(load)) if load.is_plausible() => load,
        Ok(Some(load)) => return log_odd(shared, target, Some(load)),
        Err(_) => return log_odd(shared, target, None),
    };
    let now = Instant::now();
    let mut reports = lock(&target.reported.reports);
    shared.news.with(&target.service, |news| {
        news.usual.record_load(load, ending == Ending::Shed, now);
        reports.record_load(load, ending == Ending::Shed, now);
        if ending == Ending::Served {
            let elapsed = Tick::now().since(sent_at);
            news.usual.record_time(load, elapsed);
            reports.record_time(load, elapsed, &news.usual, now);
        }
    });
}

/// Counts a load that cannot be true, and logs the first of each instance.
fn log_odd(shared: &Shared, target: &Target, load: Option<Load>) {
    #[derive(Serialize)]
    struct OddLoadLine<'a> {
        target: &'a str,
        load: Option<String>,
    }
    shared.counters.count("odd_loads", target.service.as_str());
    if !target.reported.is_odd_logged.swap(true, Ordering::Relaxed) {
        let load = load.map(|load| format!("{load:?}"));
        shared.journal.log("odd_load", &OddLoadLine { target: target.instance.vm.as_str(), load });
    }
}

/// Returns what a request meets at a target; `None` if the target does not report its load.
pub(crate) fn estimate(target: &Target, usual: &Usual) -> Option<Estimate> {
    let in_flight = target.in_flight();
    lock(&target.reported.reports).estimate(usual, target.slots, in_flight, Instant::now())
}

/// Returns the shortage of a target for a request of a rank, as far as is known.
pub(crate) fn shortage_at(
    target: &Target,
    usual: &Usual,
    call: &Call,
    rank: usize,
) -> Option<Shortage> {
    shortage(&estimate(target, usual)?, call.remaining(), rank)
}
