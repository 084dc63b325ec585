//! How the work of a planner grows with the number of targets.

use {
    crate::fixture::{Fixture, SETTLE_INTERVAL_MS, count_grants, registration, tick_at_ms},
    hold::registry::State,
    std::time::{Duration, Instant},
};

/// Returns the shortest time of some rounds of planning.
fn round_time(targets: u16) -> Duration {
    let mut fixture = Fixture::new(targets);
    let rounds = (0..6).map(|_| {
        let started_at = Instant::now();
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        let elapsed = started_at.elapsed();
        fixture.carry_out(actions);
        elapsed
    });
    rounds.min().unwrap_or_default()
}

#[test]
fn the_time_of_a_round_grows_no_faster_than_the_number_of_targets() {
    const FEW: u16 = 100;
    const MANY: u16 = 2_000;
    /// What the growth may exceed that of the targets by, for logarithms and caches.
    const SLACK: f64 = 4.0;
    let growth = round_time(MANY).as_secs_f64() / round_time(FEW).as_secs_f64();
    let allowed = SLACK * f64::from(MANY / FEW);
    assert!(growth <= allowed, "{growth:.0} times as long, {allowed:.0} allowed");
}

#[test]
fn keys_of_many_lost_targets_are_assigned_evenly_in_one_write() {
    const TARGET_COUNT: u16 = 300;
    const LOST_COUNT: u16 = 100;
    let mut fixture = Fixture::new(TARGET_COUNT);
    for number in 1..=LOST_COUNT {
        let lost = registration(number, 1, State::Ready);
        fixture.planner.record_instance_end(&lost.instance());
        fixture.registry.remove(&lost.vm, tick_at_ms(fixture.now_ms));
    }
    let before = fixture.version;
    fixture.run_until_settled();
    let keys_of = |number: u16| {
        let instance = registration(number, 1, State::Ready).instance();
        fixture.planner.map().held_by(&instance).map(|assignment| assignment.span.width()).sum()
    };
    let held: Vec<u32> = (LOST_COUNT + 1..=TARGET_COUNT).map(keys_of).collect();
    assert_eq!(held.iter().sum::<u32>(), 65_536, "keys without a holder");
    let (least, most) = (held.iter().min().copied(), held.iter().max().copied());
    let (least, most) = (least.unwrap_or_default(), most.unwrap_or_default());
    assert!(most <= 2 * least, "from {least} to {most} keys a target");
    assert!(fixture.version - before <= 3, "{} writes", fixture.version - before);
}

#[test]
fn a_large_service_is_renewed_at_a_bounded_rate() {
    const STEP_INTERVAL_MS: u64 = 100;
    struct Case {
        targets: u16,
        max_targets_per_s: usize,
    }
    let cases = [
        Case { targets: 20, max_targets_per_s: 30 },
        Case { targets: 500, max_targets_per_s: 400 },
        Case { targets: 2_000, max_targets_per_s: 1_600 },
    ];
    for Case { targets, max_targets_per_s } in cases {
        let mut fixture = Fixture::new(targets);
        let mut renewed = 0;
        let rounds = 40;
        for _ in 0..rounds {
            let actions = fixture.advance(STEP_INTERVAL_MS);
            renewed += count_grants(&actions);
            fixture.carry_out(actions);
        }
        let per_s = renewed / (rounds * STEP_INTERVAL_MS as usize / 1_000);
        assert!(per_s <= max_targets_per_s, "{targets} targets: {per_s} renewed a second");
    }
}
