//! Keys leave availability zones that are evacuated, and return.

use {
    crate::fixture::{
        Fixture, SETTLE_INTERVAL_MS, config, count_grants, count_releases, tick_at_ms,
    },
    hold::Planner,
    key::Service,
    std::collections::BTreeMap,
};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// The time within which keys must have left a zone, so that they are gone before its targets close.
const MAX_ROUNDS: u64 = 3_000 / SETTLE_INTERVAL_MS;

/// Returns the number of keys that each target of some zones holds.
fn keys_by_target(fixture: &Fixture, zones: &[&str]) -> BTreeMap<String, u32> {
    let mut keys = BTreeMap::new();
    for target in fixture.registry.targets() {
        let instance = target.registration.instance();
        if zones.contains(&target.registration.zone.as_str()) {
            let held = fixture.planner.map().held_by(&instance);
            let count = held.map(|assignment| assignment.span.width()).sum();
            keys.insert(instance.vm.to_string(), count);
        }
    }
    keys
}

fn keys_in(fixture: &Fixture, zones: &[&str]) -> u32 {
    keys_by_target(fixture, zones).values().sum()
}

/// Runs until the zones hold no keys, and returns the number of rounds and the most releases that
/// began in one of them. No target of the zones may get keys meanwhile.
fn run_until_empty(fixture: &mut Fixture, zones: &[&str]) -> (u64, usize) {
    let mut most_releases = 0;
    for round in 0..MAX_ROUNDS {
        let before = keys_by_target(fixture, zones);
        if before.values().all(|keys| *keys == 0) {
            return (round, most_releases);
        }
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        most_releases = most_releases.max(count_releases(&actions));
        fixture.carry_out(actions);
        for (vm, keys) in keys_by_target(fixture, zones) {
            assert!(keys <= before[&vm], "{vm} got keys");
        }
    }
    panic!("{} keys are left in {zones:?}", keys_in(fixture, zones));
}

/// Guards against keys that stay in an evacuated zone until its targets close, that all lose their
/// holder at once, or that go to few targets.
#[test]
fn keys_leave_an_evacuated_zone_in_rounds_and_are_spread() {
    for targets in [8, 20, 192, 2_000] {
        let mut fixture = Fixture::in_zones(targets, &ZONES);
        assert!(keys_in(&fixture, &["c"]) > 0, "{targets} targets: no keys in the zone");
        let spans = fixture.planner.map().assignments.len();
        fixture.evacuate(&["c"]);
        let (_, most_releases) = run_until_empty(&mut fixture, &["c"]);
        assert!(most_releases <= 32.max(spans / 16), "{targets} targets: {most_releases} at once");
        let held = keys_by_target(&fixture, &["a", "b", "d"]);
        assert_eq!(held.values().sum::<u32>(), 65_536, "{targets} targets: keys without a holder");
        let (most, mean) = (held.values().max().copied(), 65_536 / held.len() as u32);
        assert!(most <= Some(3 * mean), "{targets} targets: {most:?} keys, {mean} in the mean");
    }
}

/// Guards against keys that pass through the second zone although its evacuation is known.
#[test]
fn a_second_zone_may_be_evacuated_while_the_first_is_emptied() {
    let mut fixture = Fixture::in_zones(192, &ZONES);
    fixture.evacuate(&["c"]);
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    assert!(count_releases(&actions) > 0, "nothing leaves the zone");
    fixture.carry_out(actions);
    fixture.evacuate(&["c", "d"]);
    run_until_empty(&mut fixture, &["c", "d"]);
    assert_eq!(keys_in(&fixture, &["a", "b"]), 65_536);
}

/// Guards against keys that are taken from their holders although no other target may get them.
#[test]
fn keys_stay_with_their_holders_while_all_zones_are_evacuated() {
    let mut fixture = Fixture::in_zones(20, &ZONES);
    let before = keys_by_target(&fixture, &ZONES);
    fixture.evacuate(&ZONES);
    let mut renewals = 0;
    for _ in 0..60 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        assert_eq!(count_releases(&actions), 0, "{actions:?}");
        renewals += count_grants(&actions);
        fixture.carry_out(actions);
    }
    assert!(renewals > 0, "grants are not renewed");
    assert_eq!(keys_by_target(&fixture, &ZONES), before);
    fixture.evacuate(&["a", "b", "c"]);
    run_until_empty(&mut fixture, &["a", "b", "c"]);
    assert_eq!(keys_in(&fixture, &["d"]), 65_536);
}

/// Guards against a leader that forgets an evacuation which its predecessor had begun.
#[test]
fn a_new_leader_goes_on_with_an_evacuation() {
    let mut fixture = Fixture::in_zones(192, &ZONES);
    fixture.evacuate(&["c"]);
    for _ in 0..2 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        fixture.carry_out(actions);
    }
    let left = keys_in(&fixture, &["c"]);
    assert!(left > 0, "the first leader has moved all keys");
    let map = fixture.planner.map().clone();
    let now = tick_at_ms(fixture.now_ms);
    fixture.planner = Planner::new(Service::from("keyed"), config(), Some(map), now);
    run_until_empty(&mut fixture, &["c"]);
    assert_eq!(keys_in(&fixture, &["a", "b", "d"]), 65_536);
}

/// Guards against keys that return all at once, or without any load that calls for it.
#[test]
fn keys_return_to_a_zone_in_measure_once_it_is_taken_back() {
    const TARGETS: u16 = 192;
    let mut fixture = Fixture::in_zones(TARGETS, &ZONES);
    fixture.evacuate(&["c"]);
    run_until_empty(&mut fixture, &["c"]);
    fixture.evacuate(&[]);
    for _ in 0..10 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        assert_eq!(count_releases(&actions), 0, "keys move without load: {actions:?}");
        fixture.carry_out(actions);
    }
    let mut under_way = 0_usize;
    for _ in 0..40 {
        for key in (0..=u16::MAX).step_by(64) {
            fixture.planner.load_mut().record_requests(key, 1);
        }
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        under_way = under_way.max(count_releases(&actions));
        fixture.carry_out(actions);
    }
    assert!(under_way <= usize::from(TARGETS) / 4, "{under_way} releases at once");
    assert!(keys_in(&fixture, &["c"]) > 0, "no keys return to the zone");
}
