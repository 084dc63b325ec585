//! Measures the latency that an entry adds to a request, and its requests per core.

use {
    standin::load::{self, Report},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    trial::{Fleet, FleetPlan, KEYED, eventually},
};

const FIXED_RATE_DURATION: Duration = Duration::from_secs(5);
const REQUEST_RATES: [f64; 3] = [500.0, 1_000.0, 2_000.0];
const CLOSED_LOOP_CALLERS: usize = 64;
const CLOSED_LOOP_DURATION: Duration = Duration::from_secs(8);

fn print_row(name: &str, rate: f64, report: &Report) {
    let quantile_us = |quantile| report.latencies_us.value_at_quantile(quantile);
    println!(
        "{name} | {rate} requests/s | p50 {} us | p99 {} us | p99.9 {} us | {:?}",
        quantile_us(0.5),
        quantile_us(0.99),
        quantile_us(0.999),
        report.statuses,
    );
}

async fn run_load(to: SocketAddr, path: &str, rate: f64, headers: Vec<(String, String)>) -> Report {
    let config = load::Config {
        addresses: vec![to],
        rate,
        duration: FIXED_RATE_DURATION,
        path: path.to_owned(),
        key_count: 1,
        headers,
    };
    load::run(&config).await
}

/// Prints the latency with and without an entry at fixed request rates, then the closed-loop load.
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
    let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
    let explanation = eventually("the entry explains the key", || fleet.why(0, &key)).await.result;
    let headers = vec![
        ("x-shard".to_owned(), explanation.shard.to_string()),
        ("x-fence".to_owned(), explanation.fence.to_string()),
    ];
    let path = format!("/{KEYED}/{key}");
    let entry_address = fleet.entries[0].caller_address;
    for rate in REQUEST_RATES {
        let direct = run_load(fleet.target_address(owner), &path, rate, headers.clone()).await;
        print_row("direct", rate, &direct);
        let through_entry = run_load(entry_address, &path, rate, Vec::new()).await;
        print_row("through an entry", rate, &through_entry);
    }
    run_closed_loop(&fleet, entry_address).await;
}

/// Prints the request rate of callers in a closed loop and the CPU time that the entry used for it.
async fn run_closed_loop(fleet: &Fleet, entry_address: SocketAddr) {
    let keys = fleet.keys();
    let (cpu_time, control_time) =
        (fleet.entry_cpu_time(0, None), fleet.entry_cpu_time(0, Some("control")));
    let started_at = Instant::now();
    let callers = (0..CLOSED_LOOP_CALLERS).map(|number| {
        let caller = trial::Caller::default();
        let keys = keys.clone();
        tokio::spawn(async move {
            let mut served = 0u64;
            while started_at.elapsed() < CLOSED_LOOP_DURATION {
                let path = format!("/{KEYED}/{}", keys[(number + served as usize) % keys.len()]);
                served += u64::from(caller.get(entry_address, &path).await.is_served());
            }
            served
        })
    });
    let served: u64 =
        futures::future::join_all(callers).await.into_iter().filter_map(Result::ok).sum();
    let cpu_time = fleet.entry_cpu_time(0, None) - cpu_time;
    let control_time = fleet.entry_cpu_time(0, Some("control")) - control_time;
    println!(
        "{CLOSED_LOOP_CALLERS} callers | {:.0} requests/s | entry used {:.2} cores, of which control {:.3} | \
         {:.0} requests/s per core | {:.1} us of processor time a request",
        served as f64 / started_at.elapsed().as_secs_f64(),
        cpu_time.as_secs_f64() / started_at.elapsed().as_secs_f64(),
        control_time.as_secs_f64() / started_at.elapsed().as_secs_f64(),
        served as f64 / cpu_time.as_secs_f64(),
        cpu_time.as_secs_f64() * 1e6 / served as f64,
    );
}
