//! Rate limits that targets name: all entries together keep to them, other targets take the load,
//! and a limit ends with the answers that name it.

use {
    key::Vm,
    standin::{
        holder,
        journal::{Kind, Line},
    },
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, SiteResponse},
};

const ENTRY_COUNT: usize = 3;

/// The interval between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The limit that the target names, in requests per second.
const LIMIT_PER_S: u32 = 4;

/// The time from the first answer with a limit until the limit must be kept.
const SETTLING_MICROS: u64 = 3_000_000;

/// The length of the window in which requests are counted.
const WINDOW_MICROS: u64 = 4_000_000;

/// The requests that a target may get in a window: one and a half times its limit, and five.
const MAX_PER_WINDOW: usize = LIMIT_PER_S as usize * 4 * 3 / 2 + 5;

/// Counts of the responses that callers got.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Refusals that don't say when to come back.
    refused_without_time: AtomicUsize,
    other: AtomicUsize,
}

impl Counts {
    fn record(&self, response: &SiteResponse) {
        let count = if response.is_served() {
            &self.served
        } else if !response.is_not_run() {
            &self.other
        } else if response.headers.contains_key("retry-after") {
            &self.refused
        } else {
            &self.refused_without_time
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends requests through one entry at a fixed interval until `stop` is set.
async fn call(site: &Site, entry: usize, keyed: bool, stop: &AtomicBool, counts: &Counts) {
    let mut ticks = time::interval(REQUEST_INTERVAL);
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        let request =
            if keyed { SiteRequest::lookup(rand::random()) } else { SiteRequest::order() };
        counts.record(&site.send(entry, &request).await);
    }
}

/// Returns when each request arrived at a target while it named a limit.
fn arrivals(lines: &[Line], vm: &Vm) -> Vec<u64> {
    let of_target = lines.iter().filter(|line| line.vm == *vm);
    let arrived = of_target.filter(|line| matches!(line.kind, Kind::Arrived { .. }));
    arrived.map(|line| line.at.as_micros()).collect()
}

/// Returns the largest number of arrivals in any window after the settling time.
fn busiest_window(arrivals: &[u64]) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    let settled: Vec<u64> =
        arrivals.iter().copied().filter(|at| *at >= first + SETTLING_MICROS).collect();
    let in_window = |(index, start): (usize, &u64)| {
        settled[index..].iter().take_while(|at| **at < start + WINDOW_MICROS).count()
    };
    settled.iter().enumerate().map(in_window).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_named_limit_binds_all_entries_together() {
    struct Case {
        name: &'static str,
        /// The target that names a limit.
        limited_target: usize,
        keyed: bool,
    }
    let cases = [
        Case { name: "with keys", limited_target: 0, keyed: true },
        Case { name: "without keys", limited_target: 4, keyed: false },
    ];
    for case in cases {
        let site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
        let limited = holder::Fault { limit_per_s: LIMIT_PER_S, ..holder::Fault::default() };
        let (stop, counts) = (AtomicBool::new(false), Counts::default());
        let control = async {
            time::sleep(Duration::from_secs(1)).await;
            site.set_target_fault(case.limited_target, limited).await;
            time::sleep(Duration::from_secs(10)).await;
            stop.store(true, Ordering::Relaxed);
        };
        tokio::join!(
            control,
            call(&site, 0, case.keyed, &stop, &counts),
            call(&site, 1, case.keyed, &stop, &counts),
            call(&site, 2, case.keyed, &stop, &counts),
        );
        let vm = Vm::from(format!("t{}", case.limited_target).as_str());
        let arrivals = arrivals(&site.journal_lines(), &vm);
        let busiest = busiest_window(&arrivals);
        assert!(
            busiest <= MAX_PER_WINDOW,
            "{}: {busiest} requests in 4 s, {MAX_PER_WINDOW} allowed; {counts:?}",
            case.name
        );
        assert_eq!(counts.other.into_inner(), 0, "{}", case.name);
        assert_eq!(counts.refused_without_time.into_inner(), 0, "{}", case.name);
    }
}
