//! What an entry adds to a request, and how many requests a core carries.

use {
    standin::load::{self, Report},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trial::{Fleet, FleetPlan, KEYED, eventually},
};

const SPAN: Duration = Duration::from_secs(5);
const RATES: [f64; 3] = [500.0, 1_000.0, 2_000.0];
const CLOSED_CALLERS: usize = 64;
const CLOSED_SPAN: Duration = Duration::from_secs(8);

fn row(name: &str, rate: f64, report: &Report) {
    let at = |quantile| report.micros.value_at_quantile(quantile);
    println!(
        "{name} | {rate} requests/s | p50 {} us | p99 {} us | p99.9 {} us | {:?}",
        at(0.5),
        at(0.99),
        at(0.999),
        report.statuses,
    );
}

async fn load(to: SocketAddr, path: &str, rate: f64, headers: Vec<(String, String)>) -> Report {
    let config =
        load::Config { to: vec![to], rate, span: SPAN, path: path.to_owned(), keys: 1, headers };
    load::run(&config).await
}

/// Prints the latency direct and through an entry at fixed rates, then the requests of a core.
pub(crate) async fn run() {
    let plan = FleetPlan {
        proxied: false,
        work_ms: 0,
        zones: 1,
        entries_per_zone: 1,
        keyed_per_zone: 2,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let key = fleet.keys()[0].clone();
    let owner = eventually("an owner", || fleet.owner(0, &key)).await;
    let why = eventually("the fence", || fleet.why(0, &key)).await.result;
    let headers = vec![
        ("x-shard".to_owned(), why.shard.to_string()),
        ("x-fence".to_owned(), why.fence.to_string()),
    ];
    let path = format!("/{KEYED}/{key}");
    let entry = fleet.entries[0].caller_address;
    for rate in RATES {
        let direct = load(fleet.target_address(owner), &path, rate, headers.clone()).await;
        row("direct", rate, &direct);
        let through = load(entry, &path, rate, Vec::new()).await;
        row("through an entry", rate, &through);
    }
    closed(&fleet, entry).await;
}

/// Keeps callers busy and compares the requests with the processor time of the entry.
async fn closed(fleet: &Fleet, entry: SocketAddr) {
    let keys = fleet.keys();
    let (cpu, control) = (fleet.entry_cpu_time(0, None), fleet.entry_cpu_time(0, Some("control")));
    let started = Instant::now();
    let callers = (0..CLOSED_CALLERS).map(|number| {
        let caller = trial::Caller::default();
        let keys = keys.clone();
        tokio::spawn(async move {
            let mut done = 0u64;
            while started.elapsed() < CLOSED_SPAN {
                let path = format!("/{KEYED}/{}", keys[(number + done as usize) % keys.len()]);
                done += u64::from(caller.get(entry, &path).await.is_served());
            }
            done
        })
    });
    let done: u64 =
        futures::future::join_all(callers).await.into_iter().filter_map(Result::ok).sum();
    let cpu = fleet.entry_cpu_time(0, None) - cpu;
    let control = fleet.entry_cpu_time(0, Some("control")) - control;
    println!(
        "{CLOSED_CALLERS} callers | {:.0} requests/s | entry used {:.2} cores, of which control {:.3} | \
         {:.0} requests/s per core | {:.1} us of processor time a request",
        done as f64 / started.elapsed().as_secs_f64(),
        cpu.as_secs_f64() / started.elapsed().as_secs_f64(),
        control.as_secs_f64() / started.elapsed().as_secs_f64(),
        done as f64 / cpu.as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / done as f64,
    );
}
