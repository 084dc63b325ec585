//! Callers that respect no limits must neither end a process, nor fill its VM, nor keep it from
//! serving others.
//!
//! Each test has one way to misbehave, which is tried on every listener that such a caller reaches: a
//! path with a route, one without, the readiness check, the listener for other entries, and a process
//! that is stopping. The settings lower the memory and the descriptors of the VM, so that a small crowd
//! is enough. Nothing is said about times or about the share of requests that are served meanwhile.

use {
    serde_json::json,
    standin::misbehaving::{BodyPlan, Crowd, Script},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::{sync::Mutex, time},
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, eventually},
};

/// The tests use much memory and many connections, so only one runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The memory of the VM, in megabytes. The process must stay below it.
const MEMORY_MB: u64 = 96;

/// The file descriptors of the VM. The process must stay below them.
const DESCRIPTORS: usize = 320;

/// The largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The longest time for which a crowd is waited for until it has sent everything.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a settled crowd stays.
const STAY: Duration = Duration::from_millis(500);

const HOST: &str = "shop.example";
const ROUTED_PATH: &str = "/orders/new";
const UNROUTED_PATH: &str = "/nowhere/1";
const READY_PATH: &str = "/almondworks/ready";

/// One way to misbehave: what a caller sends, given the path, and how many do so at once.
struct Case {
    name: &'static str,
    callers: usize,
    script: Box<dyn Fn(&str) -> Script>,
}

impl Case {
    fn new(name: &'static str, callers: usize, script: impl Fn(&str) -> Script + 'static) -> Self {
        Self { name, callers, script: Box::new(script) }
    }

    /// A crowd that sends bodies.
    fn bodies(name: &'static str, callers: usize, plan: BodyPlan) -> Self {
        Self::new(name, callers, move |path| Script::body(HOST, path, plan))
    }
}

/// The highest use of an entry's memory and descriptors.
#[derive(Default)]
struct Peak {
    memory_kb: AtomicU64,
    descriptors: AtomicUsize,
    stop: AtomicBool,
}

impl Peak {
    /// Records until `stop` is set.
    async fn watch(&self, site: &Site) {
        while !self.stop.load(Ordering::Relaxed) {
            self.memory_kb.fetch_max(site.entry_memory_kb(0), Ordering::Relaxed);
            self.descriptors.fetch_max(site.entry_descriptors(0), Ordering::Relaxed);
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns what exceeded the bounds.
    fn violations(&self, name: &str) -> Vec<String> {
        let memory_mb = self.memory_kb.load(Ordering::Relaxed) >> 10;
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        println!("{name}: at most {memory_mb} MB and {descriptors} descriptors");
        let mut violations = Vec::new();
        if memory_mb > MEMORY_MB {
            violations.push(format!("{name}: {memory_mb} MB of {MEMORY_MB}"));
        }
        if descriptors > DESCRIPTORS {
            violations.push(format!("{name}: {descriptors} descriptors of {DESCRIPTORS}"));
        }
        violations
    }
}

async fn start_site(plan: SitePlan) -> Site {
    let mut site = Site::prepare(plan).await;
    site.write_routing_with_bodies(2, &INITIAL_ROUTES, "10s", MAX_BODY_BYTES);
    for entry in 0..plan.entries {
        site.set_setting(entry, "memory", json!(MEMORY_MB));
        site.set_setting(entry, "descriptors", json!(DESCRIPTORS));
    }
    site.start_entries().await;
    site
}

/// Lets a crowd at entry 0, and checks that the entry stays within its bounds and answers an ordinary
/// request and the readiness check while the crowd is still there.
async fn check(
    site: &Site,
    name: &str,
    address: SocketAddr,
    script: &Script,
    callers: usize,
) -> Vec<String> {
    let peak = Peak::default();
    let work = async {
        let crowd = Crowd::start(address, script, callers);
        crowd.settle(SETTLE_TIMEOUT).await;
        time::sleep(STAY).await;
        site.wait_until_served(0, &SiteRequest::order()).await;
        eventually("the entry is ready", || async { site.is_ready(0).await.then_some(()) }).await;
        peak.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(work, peak.watch(site));
    peak.violations(name)
}

/// Lets a crowd at entry 0 while it is stopping, and checks that it ends by itself.
async fn check_stopping(site: &mut Site, case: &Case) -> Vec<String> {
    let name = format!("{}, stopping", case.name);
    let peak = Peak::default();
    site.terminate_entry(0);
    let script = (case.script)(ROUTED_PATH);
    let crowd = Crowd::start(site.caller_address(0), &script, case.callers);
    let work = async {
        crowd.settle(SETTLE_TIMEOUT).await;
        time::sleep(STAY).await;
        peak.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(work, peak.watch(site));
    let mut violations = peak.violations(&name);
    let code = site.wait_for_exit_code(0);
    if code != Some(0) {
        violations.push(format!("{name}: ended with {code:?}"));
    }
    violations
}

/// Tries each case on every listener.
async fn check_all(cases: Vec<Case>) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut violations = Vec::new();
    for case in cases {
        let plan = SitePlan { entries: 1, keyed_targets: 1, ..SitePlan::default() };
        let mut site = start_site(SitePlan { unkeyed_targets: 1, ..plan }).await;
        let listeners = [
            ("with a route", site.caller_address(0), ROUTED_PATH),
            ("without a route", site.caller_address(0), UNROUTED_PATH),
            ("readiness", site.ready_address(0), READY_PATH),
            ("for entries", site.relay_address(0), ROUTED_PATH),
        ];
        for (listener, address, path) in listeners {
            let name = format!("{}, {listener}", case.name);
            let script = (case.script)(path);
            violations.extend(check(&site, &name, address, &script, case.callers).await);
        }
        violations.extend(check_stopping(&mut site, &case).await);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against bodies of legal size that add up to more than the VM has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_one_piece_fill_no_memory_together() {
    let plan = BodyPlan { bytes: 1 << 20, chunk: None, missing: 1 };
    check_all(vec![Case::bodies("1 MB less a byte", 150, plan)]).await;
}

/// Guards against small pieces that each keep a whole buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_small_chunks_fill_no_memory_together() {
    let of_64 = BodyPlan { bytes: 512 << 10, chunk: Some(64), missing: 1 };
    let of_1 = BodyPlan { bytes: 64 << 10, chunk: Some(1), missing: 1 };
    check_all(vec![
        Case::bodies("chunks of 64 bytes", 150, of_64),
        Case::bodies("chunks of 1 byte", 100, of_1),
    ])
    .await;
}

/// Guards against bodies that are read on after they have exceeded the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_fill_no_memory() {
    let plan = BodyPlan { bytes: 2 * MAX_BODY_BYTES, chunk: None, missing: 1 };
    let chunked = BodyPlan { chunk: Some(16 << 10), ..plan };
    check_all(vec![
        Case::bodies("over the limit", 60, plan),
        Case::bodies("over the limit in chunks", 60, chunked),
    ])
    .await;
}

/// Guards against heads that are kept in a form much larger than what was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_of_many_fields_fill_no_memory() {
    const COUNT: usize = 3_000;
    check_all(vec![
        Case::new("many fields", 150, |path| Script::fields(HOST, path, COUNT, true)),
        Case::new("many fields, no end", 150, |path| Script::fields(HOST, path, COUNT, false)),
        // More than the largest legal head.
        Case::new("fields without end", 200, |path| Script::fields(HOST, path, 64 << 10, false)),
    ])
    .await;
}

/// Guards against parts of a chunked body that are not content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn extensions_and_trailers_fill_no_memory() {
    check_all(vec![
        Case::new("chunk extensions", 100, |path| Script::chunk_extensions(HOST, path, 2_000)),
        Case::new("trailers", 100, |path| Script::trailers(HOST, path, 20_000)),
    ])
    .await;
}

/// Guards against responses that are kept for a caller who reads none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_without_a_reader_fill_no_memory() {
    check_all(vec![
        Case::new("pipelined", 100, |path| Script::pipelined(HOST, path, 20_000)),
        Case::new("pipelined, read slowly", 100, |path| {
            Script::pipelined(HOST, path, 20_000).reading_slowly()
        }),
    ])
    .await;
}

/// Guards against connections that use up the descriptors, which targets and the store need too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_and_slow_callers_use_up_no_descriptors() {
    const CALLERS: usize = 400;
    let plan = BodyPlan { bytes: 4_096, chunk: None, missing: 0 };
    let request = move |path: &str| Script::body(HOST, path, plan);
    check_all(vec![
        Case::new("silent", CALLERS, |_| Script::default()),
        Case::new("half a head", CALLERS, move |path| request(path).cut_at(20)),
        Case::new("half a body", CALLERS, move |path| request(path).cut_at(2_000)),
        Case::new("slow head", CALLERS, move |path| request(path).slow_from(0)),
        Case::new("slow body", CALLERS, move |path| request(path).slow_from(200)),
        Case::new("slow reader", CALLERS, move |path| request(path).reading_slowly()),
    ])
    .await;
}

/// Guards the entry that takes the requests of an isolated one, and the isolated one itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_through_an_isolated_entry_fill_no_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    // An entry counts as isolated if it reaches none of at least three targets.
    let mut site = start_site(SitePlan { entries: 2, ..SitePlan::default() }).await;
    site.restart_isolated(1);
    site.wait_until_served(1, &SiteRequest::order()).await;
    let whole = BodyPlan { bytes: 1 << 20, chunk: None, missing: 0 };
    let script = Script::body(HOST, ROUTED_PATH, whole);
    let address = site.caller_address(1);
    let violations = check(&site, "through an isolated entry", address, &script, 150).await;
    site.wait_until_served(1, &SiteRequest::order()).await;
    assert!(violations.is_empty(), "{violations:#?}");
    let memory_mb = site.entry_memory_kb(1) >> 10;
    assert!((1..MEMORY_MB).contains(&memory_mb), "the isolated entry uses {memory_mb} MB");
}
