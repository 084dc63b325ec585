//! Which keys are reassigned for balance.

use {
    hold::{
        Instance, Map, Span,
        balance::{Candidate, Load, rebalance, stripes},
        map::Holder,
    },
    key::{Vm, Zone, clock::Tick},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

fn instance(number: u8) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms: 1 }
}

fn candidates(count: u8) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate { instance: instance(number), slots: 2, can_donate: true })
        .collect()
}

/// Returns a map in which each target holds the same number of keys.
fn even_map(count: u8) -> Map {
    let mut map = Map::vacant();
    for (span, index) in stripes(usize::from(count), 1) {
        let instance = instance(index as u8);
        let address = ([10, 0, 0, index as u8], 80).into();
        map.assign(span, Some(Holder { instance, address, zone: Zone::from("a") }));
    }
    map
}

/// Returns the request rate of each target after at most `limit` reassignments, chosen in rounds.
fn rates(map: &Map, load: &Load, count: u8, limit: usize) -> Vec<f64> {
    let mut map = map.clone();
    let mut remaining = limit;
    loop {
        let round = rebalance(&map, load, &candidates(count), &[], remaining);
        for reassignment in &round {
            assert!(is_held_by(&map, reassignment.span, &reassignment.from), "{reassignment:?}");
        }
        for reassignment in &round {
            let holder = Holder {
                instance: reassignment.to.clone(),
                address: ([10, 0, 0, 99], 80).into(),
                zone: Zone::from("a"),
            };
            map.assign(reassignment.span, Some(holder));
        }
        remaining -= round.len();
        if round.is_empty() || remaining == 0 {
            break;
        }
    }
    let rate =
        |number| map.held_by(&instance(number)).map(|assignment| load.rate(assignment.span)).sum();
    (0..count).map(rate).collect()
}

/// Returns true if an instance holds every key of a span.
fn is_held_by(map: &Map, span: Span, instance: &Instance) -> bool {
    let overlapping = map.assignments.iter().filter(|assignment| assignment.span.overlaps(span));
    overlapping
        .filter_map(|assignment| map.holder(assignment))
        .all(|holder| holder.instance == *instance)
}

#[test]
fn stripes_cover_each_key_once() {
    for (targets, stripes_per_target) in [(1, 1), (3, 3), (7, 2), (300, 3)] {
        let stripes = stripes(targets, stripes_per_target);
        assert_eq!(stripes.iter().map(|(span, _)| span.width()).sum::<u32>(), 65_536);
        assert_eq!(stripes.len(), targets * stripes_per_target);
        assert!(stripes.windows(2).all(|pair| pair[0].0.last + 1 == pair[1].0.first));
    }
}

#[test]
fn the_load_of_busy_targets_is_limited() {
    struct Case {
        name: &'static str,
        /// The keys with the number of their requests.
        keys: Vec<(u16, u32)>,
        /// The highest rate that a target may have afterwards, in requests per second.
        max_rate: f64,
    }
    let cases = [
        Case { name: "idle", keys: vec![], max_rate: 0.0 },
        Case {
            name: "a range of hot keys",
            keys: (0..60).map(|key| (key, 2)).collect(),
            max_rate: 22.0,
        },
        Case {
            name: "hot keys inside a span",
            keys: (5_000..5_100).map(|key| (key, 1)).chain([(5_050, 20), (5_060, 20)]).collect(),
            max_rate: 32.0,
        },
        Case {
            name: "one key that exceeds every target",
            keys: (0..40).map(|key| (key * 10, 2)).chain([(200, 200)]).collect(),
            max_rate: 106.0,
        },
    ];
    for case in cases {
        let mut load = Load::default();
        for (key, requests) in &case.keys {
            load.record_requests(*key, *requests);
        }
        let rates = rates(&even_map(4), &load, 4, 16);
        let max_rate = rates.iter().copied().fold(0.0, f64::max);
        assert!(max_rate <= case.max_rate, "{}: {rates:?}", case.name);
    }
}

#[test]
fn an_even_load_is_not_rebalanced() {
    let mut load = Load::default();
    for key in (0..=u16::MAX).step_by(64) {
        load.record_requests(key, 1);
    }
    assert_eq!(rebalance(&even_map(8), &load, &candidates(8), &[], 16), Vec::new());
}

#[test]
fn a_new_target_receives_keys() {
    let mut load = Load::default();
    for key in (0..=u16::MAX).step_by(2_048) {
        load.record_requests(key, 2);
    }
    let reassignments = rebalance(&even_map(2), &load, &candidates(3), &[], 16);
    assert!(
        reassignments.iter().any(|reassignment| reassignment.to == instance(2)),
        "{reassignments:?}"
    );
    let is_valid = |span: Span| span.first <= span.last;
    assert!(reassignments.iter().all(|reassignment| is_valid(reassignment.span)));
}

/// The load of four targets, one of which names a rate limit, with as many requests for each.
fn load_with_limit(requests_per_target: u32, hot_key_requests: u32) -> Load {
    let mut load = Load::default();
    for target in 0..4_u16 {
        for key in 0..10 {
            let requests = if key == 5 && target == 0 { hot_key_requests } else { 1 };
            let requests = requests * requests_per_target / 10;
            load.record_requests(target * 16_384 + key * 100, requests);
        }
    }
    load.set_rate_limits([(instance(0), 2.0)].into());
    load
}

#[test]
fn keys_leave_a_target_that_gets_more_than_its_rate_limit() {
    struct Case {
        name: &'static str,
        load: Load,
        /// The highest rate that the limited target may have afterwards, in requests per second.
        max_limited_rate: f64,
    }
    let cases = [
        Case { name: "even load", load: load_with_limit(20, 1), max_limited_rate: 2.5 },
        Case {
            name: "a key that exceeds the limit",
            load: load_with_limit(10, 20),
            max_limited_rate: 2.5,
        },
    ];
    for case in cases {
        let rates = rates(&even_map(4), &case.load, 4, 40);
        assert!(rates[0] <= case.max_limited_rate, "{}: {rates:?}", case.name);
        assert!(rates[0] > 0.0, "{}: a target without requests cannot end its limit", case.name);
    }
}

#[test]
fn a_limit_that_is_over_costs_nothing() {
    let mut load = load_with_limit(20, 1);
    let candidate = &candidates(1)[0];
    assert!(load.cost(&candidate.instance, candidate.slots) >= 0.5);
    load.set_rate_limits(std::collections::BTreeMap::new());
    assert!(load.cost(&candidate.instance, candidate.slots) < 0.2);
}

/// A target that wanted nothing kept its keys, whose requests were refused until it wanted some.
#[test]
fn keys_leave_a_target_that_wants_nothing_for_long() {
    struct Case {
        name: &'static str,
        deferral: Duration,
        /// The time after its begin at which keys are reassigned.
        age: Duration,
        keys_leave: bool,
    }
    let cases = [
        Case {
            name: "long",
            deferral: Duration::from_secs(5),
            age: Duration::ZERO,
            keys_leave: true,
        },
        Case {
            name: "short",
            deferral: Duration::from_secs(1),
            age: Duration::ZERO,
            keys_leave: false,
        },
        Case {
            name: "long, and over",
            deferral: Duration::from_secs(5),
            age: Duration::from_secs(5),
            keys_leave: false,
        },
    ];
    let began_at = Tick::default().plus(Duration::from_secs(60));
    for case in cases {
        let mut load = Load::default();
        for key in (0..=u16::MAX).step_by(1_024) {
            load.record_requests(key, 1);
        }
        let map = even_map(4);
        load.record_deferral(&instance(0), case.deferral, began_at);
        load.expire_deferrals(began_at.plus(case.age));
        let reassignments = rebalance(&map, &load, &candidates(4), &[], 16);
        assert_eq!(!reassignments.is_empty(), case.keys_leave, "{}", case.name);
        let leaves_first = |reassignment: &hold::balance::Reassignment| {
            reassignment.from == instance(0) && reassignment.to != instance(0)
        };
        assert!(reassignments.iter().all(leaves_first), "{}: {reassignments:?}", case.name);
    }
}

/// A shorter deferral that is reported later, by another entry, does not end a longer one.
#[test]
fn the_longest_of_several_deferrals_counts() {
    let now = Tick::default();
    let mut load = Load::default();
    load.record_deferral(&instance(0), Duration::from_secs(8), now);
    load.record_deferral(&instance(0), Duration::from_secs(3), now);
    load.expire_deferrals(now.plus(Duration::from_secs(7)));
    assert!(load.utilisation(&instance(0), 2, 0.0) >= 1.0);
    load.expire_deferrals(now.plus(Duration::from_secs(8)));
    assert!(load.utilisation(&instance(0), 2, 0.0) < 0.1);
}

/// A third of the requests of a large service went to neighbouring keys. The answers of their holder
/// took long, so one reassignment took all of them to the next target, which then was as busy.
#[test]
fn a_group_of_busy_keys_is_spread_and_not_passed_on() {
    const TARGETS: u8 = 240;
    const HOT_KEYS: u16 = 200;
    const REQUESTS_PER_HOT_KEY: u32 = 3;
    const SERVICE_TIME_S: f64 = 0.32;
    const QUEUEING_TIME_S: f64 = 2.0;
    const MAX_ROUNDS: usize = 8;
    let first_hot_key = 1_000;
    let mut map = even_map(TARGETS);
    let mut load = Load::default();
    for number in 0..TARGETS {
        load.record_service_time(&instance(number), SERVICE_TIME_S);
    }
    for key in first_hot_key..first_hot_key + HOT_KEYS {
        // The average of rates is over two seconds.
        load.record_requests(key, 2 * REQUESTS_PER_HOT_KEY);
    }
    let rate_of = |map: &Map, number: u8| -> f64 {
        map.held_by(&instance(number)).map(|assignment| load.rate(assignment.span)).sum()
    };
    let mut busiest = Vec::new();
    for _ in 0..MAX_ROUNDS {
        let mut observed = load.clone();
        for number in 0..TARGETS {
            // A target with more than it can do answers at its capacity, and late.
            let capacity = 2.0 / SERVICE_TIME_S;
            let answered = rate_of(&map, number).min(capacity);
            let is_overloaded = rate_of(&map, number) > capacity;
            let seconds = if is_overloaded { QUEUEING_TIME_S } else { SERVICE_TIME_S };
            observed.record_answers(&instance(number), (2.0 * answered) as u32, seconds);
            observed.record_service_time(&instance(number), seconds);
        }
        for moved in rebalance(&map, &observed, &candidates(TARGETS), &[], 60) {
            let address = ([10, 0, 0, 99], 80).into();
            let holder = Holder { instance: moved.to, address, zone: Zone::from("a") };
            map.assign(moved.span, Some(holder));
        }
        let most = (0..TARGETS).map(|number| rate_of(&map, number)).fold(0.0, f64::max);
        busiest.push(most * SERVICE_TIME_S / 2.0);
    }
    assert!(busiest.windows(2).all(|pair| pair[1] <= pair[0] + 0.1), "{busiest:.1?}");
    assert!(busiest.last().is_some_and(|last| *last <= 1.3), "{busiest:.1?}");
}

/// At 480 targets the busiest and the least busy by chance alone differed by more than the gap from
/// which keys are reassigned, so that keys never rested.
#[test]
fn even_load_is_not_moved_for_its_noise() {
    const SERVICE_TIME_S: f64 = 0.32;
    const REQUESTS_PER_TARGET_PER_S: f64 = 4.0;
    const SECONDS: usize = 20;
    const TARGETS: u8 = 240;
    let map = even_map(TARGETS);
    let mut rng = StdRng::seed_from_u64(7);
    let mut load = Load::default();
    for number in 0..TARGETS {
        load.record_service_time(&instance(number), SERVICE_TIME_S);
    }
    let mut moved = 0;
    for second in 0..SECONDS {
        let requests = REQUESTS_PER_TARGET_PER_S * f64::from(TARGETS);
        for _ in 0..requests as usize {
            load.record_requests(rng.random(), 1);
        }
        load.decay(1.0);
        if second > 4 {
            moved += rebalance(&map, &load, &candidates(TARGETS), &[], 30).len();
        }
    }
    assert!(moved <= SECONDS, "{moved} reassignments in {SECONDS} s");
}
