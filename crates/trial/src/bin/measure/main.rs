//! Runs one measurement, `measure NAME`, and prints the figures that it measured.
//!
//! The program does not compare the figures with any limit.

mod choice;
mod latency;
mod outage;
mod plan;
mod recovery;
mod slopes;
mod stats;

use {
    stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc},
    std::{alloc::System, env, process::ExitCode},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MEASUREMENT_NAMES: &str = "latency | recovery | recovery-shards | configuration | isolation | leaving | choice | plan | \
     slopes";

fn main() -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    match env::args().nth(1).as_deref() {
        Some("latency") => runtime.block_on(latency::run()),
        Some("recovery") => runtime.block_on(recovery::run()),
        Some("recovery-shards") => runtime.block_on(recovery::run_by_shards()),
        Some("configuration") => runtime.block_on(outage::measure_configuration()),
        Some("isolation") => runtime.block_on(outage::measure_isolation()),
        Some("choice") => choice::compare(),
        Some("plan") => plan::measure(),
        Some("leaving") => runtime.block_on(outage::measure_leaving()),
        Some("slopes") => {
            slopes::measure_decisions();
            runtime.block_on(slopes::measure_fleets());
        }
        _ => {
            eprintln!("usage: measure {MEASUREMENT_NAMES}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
