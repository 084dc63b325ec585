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

/// Calls all entries while one target first names no limit, then a limit for `limited_for`, then
/// none for two seconds.
async fn call_while_limited(
    site: &Site,
    target: usize,
    keyed: bool,
    limited_for: Duration,
) -> Counts {
    let limited = holder::Fault { limit_per_s: LIMIT_PER_S, ..holder::Fault::default() };
    let (stop, counts) = (AtomicBool::new(false), Counts::default());
    let control = async {
        time::sleep(Duration::from_secs(1)).await;
        site.set_target_fault(target, limited).await;
        time::sleep(limited_for).await;
        site.set_target_fault(target, holder::Fault::default()).await;
        time::sleep(Duration::from_secs(2)).await;
        stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(
        control,
        call(site, 0, keyed, &stop, &counts),
        call(site, 1, keyed, &stop, &counts),
        call(site, 2, keyed, &stop, &counts),
    );
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_named_limit_binds_all_entries_together() {
    struct Case {
        name: &'static str,
        /// The target that names a limit.
        target: usize,
        keyed: bool,
        /// Whether other targets can take every request that the limited one cannot.
        all_served: bool,
    }
    let cases = [
        Case { name: "with keys", target: 0, keyed: true, all_served: false },
        Case { name: "without keys", target: 4, keyed: false, all_served: true },
    ];
    for case in cases {
        let site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
        let counts =
            call_while_limited(&site, case.target, case.keyed, Duration::from_secs(10)).await;
        let vm = Vm::from(format!("t{}", case.target).as_str());
        let lines = site.journal_lines();
        let arrivals = arrivals(&lines, &vm);
        let busiest = busiest_window(&arrivals);
        assert!(
            busiest <= MAX_PER_WINDOW,
            "{}: {busiest} requests in 4 s, {MAX_PER_WINDOW} allowed; {counts:?}",
            case.name
        );
        assert_eq!(counts.other.into_inner(), 0, "{}", case.name);
        assert_eq!(counts.refused_without_time.into_inner(), 0, "{}", case.name);
        let (served, refused) = (counts.served.into_inner(), counts.refused.into_inner());
        assert!(!case.all_served || refused == 0, "{}: {refused} refused", case.name);
        assert!(refused * 10 < served, "{}: {refused} refused, {served} served", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_ends_with_the_answers_that_name_it() {
    const TARGET: usize = 4;
    let site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    call_while_limited(&site, TARGET, false, Duration::from_secs(4)).await;
    let lines = site.journal_lines();
    let vm = Vm::from(format!("t{TARGET}").as_str());
    let last_limited = arrivals(&lines, &vm).last().copied().expect("a limit was named");
    let began = lines.iter().filter(|line| line.vm == vm);
    let began = began.filter(|line| matches!(line.kind, Kind::Began { .. }));
    let after = began.filter(|line| line.at.as_micros() > last_limited).count();
    assert!(after > 4 * LIMIT_PER_S as usize, "{after} requests in the two seconds after a limit");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_starts_keeps_to_a_limit_that_it_has_not_heard() {
    const TARGET: usize = 4;
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    let limited = holder::Fault { limit_per_s: LIMIT_PER_S, ..holder::Fault::default() };
    site.set_target_fault(TARGET, limited).await;
    let stop = AtomicBool::new(false);
    let counts = Counts::default();
    for round in 0..2 {
        let pause = async {
            time::sleep(Duration::from_secs(4)).await;
            stop.store(true, Ordering::Relaxed);
        };
        tokio::join!(
            pause,
            call(&site, 0, false, &stop, &counts),
            call(&site, 1, false, &stop, &counts),
            call(&site, 2, false, &stop, &counts),
        );
        stop.store(false, Ordering::Relaxed);
        site.kill_entry(round);
        site.start_entry(round);
        site.wait_until_served(round, &SiteRequest::order()).await;
    }
    let vm = Vm::from(format!("t{TARGET}").as_str());
    let busiest = busiest_window(&arrivals(&site.journal_lines(), &vm));
    assert!(busiest <= MAX_PER_WINDOW, "{busiest} requests in 4 s, {MAX_PER_WINDOW} allowed");
}
