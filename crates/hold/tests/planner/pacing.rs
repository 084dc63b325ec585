//! How often moves of keys begin, and with them writes of the map.

use {
    crate::fixture::{Fixture, instance, registration, tick_at_ms},
    hold::{Action, registry::State},
    std::time::Duration,
};

const INTERVAL_MS: u64 = 150;
const STEP_MS: u64 = 10;

/// Returns when releases began within a second in which load stays uneven.
fn release_times(fixture: &mut Fixture) -> Vec<u64> {
    let mut times = Vec::new();
    for step in 0..1_000 / STEP_MS {
        for key in 0..60 {
            fixture.planner.load_mut().record_requests((step as u16 % 4) * 9_973 + key, 2);
        }
        let actions = fixture.advance(STEP_MS);
        if actions.iter().any(|action| matches!(action, Action::Release { .. })) {
            times.push(fixture.now_ms);
        }
        fixture.carry_out(actions);
    }
    times
}

/// Guards against moves that begin one after the other, each with a write of the map.
#[test]
fn moves_for_balance_begin_together() {
    let mut fixture = Fixture::new(16);
    fixture.planner.set_move_interval(Duration::from_millis(INTERVAL_MS));
    let times = release_times(&mut fixture);
    assert!(times.len() >= 2, "no keys were moved");
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] >= INTERVAL_MS, "moves began at {pair:?}");
    }
}

/// Guards against keys of a target that leaves waiting for the moves of others.
#[test]
fn keys_of_targets_that_leave_do_not_wait() {
    let mut fixture = Fixture::new(4);
    fixture.planner.set_move_interval(Duration::from_secs(60));
    release_times(&mut fixture);
    fixture.run_until_settled();
    for number in [1, 2] {
        fixture.register(registration(number, 1, State::Leaving));
        let now = tick_at_ms(fixture.now_ms);
        let actions = fixture.planner.next_actions(&fixture.registry, now);
        let leaving = instance(number, 1);
        let is_release = |action: &Action| matches!(action, Action::Release { instance, .. } if *instance == leaving);
        assert!(actions.iter().any(is_release), "target {number}: {actions:?}");
        fixture.carry_out(actions);
        fixture.run_until_settled();
    }
}
