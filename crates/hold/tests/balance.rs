//! What is moved for balance.

use {
    hold::{
        Instance, Map, Span,
        balance::{Candidate, Load, rebalance, stripes},
        map::Holder,
    },
    key::{Vm, Zone},
};

fn instance(number: u8) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms: 1 }
}

fn candidates(count: u8) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate { instance: instance(number), slots: 2, can_donate: true })
        .collect()
}

/// A map in which each target holds an equal part.
fn even(count: u8) -> Map {
    let mut map = Map::vacant();
    for (span, at) in stripes(usize::from(count), 1) {
        let instance = instance(at as u8);
        let address = ([10, 0, 0, at as u8], 80).into();
        map.assign(span, Some(Holder { instance, address, zone: Zone::from("a") }));
    }
    map
}

/// Returns the rate of each target after at most `limit` moves, chosen in rounds.
fn rates(map: &Map, load: &Load, count: u8, limit: usize) -> Vec<f64> {
    let mut map = map.clone();
    let mut left = limit;
    loop {
        let round = rebalance(&map, load, &candidates(count), left);
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
        left -= round.len();
        if round.is_empty() || left == 0 {
            break;
        }
    }
    let rate =
        |number| map.held_by(&instance(number)).map(|assignment| load.rate(assignment.span)).sum();
    (0..count).map(rate).collect()
}

/// Tells whether a target has every key of a span.
fn is_held_by(map: &Map, span: Span, instance: &Instance) -> bool {
    let overlapping = map.assignments.iter().filter(|assignment| assignment.span.overlaps(span));
    overlapping
        .filter_map(|assignment| map.holder(assignment))
        .all(|holder| holder.instance == *instance)
}

#[test]
fn stripes_cover_each_key_once() {
    for (count, each) in [(1, 1), (3, 3), (7, 2), (300, 3)] {
        let stripes = stripes(count, each);
        assert_eq!(stripes.iter().map(|(span, _)| span.width()).sum::<u32>(), 65_536);
        assert_eq!(stripes.len(), count * each);
        assert!(stripes.windows(2).all(|pair| pair[0].0.last + 1 == pair[1].0.first));
    }
}

#[test]
fn load_is_spread() {
    struct Case {
        name: &'static str,
        /// Keys with their requests within the averaging time.
        keys: Vec<(u16, u32)>,
        /// The most that a target may be left with, in requests a second.
        most: f64,
    }
    let cases = [
        Case { name: "idle", keys: vec![], most: 0.0 },
        Case {
            name: "a neighbourhood of hot keys",
            keys: (0..60).map(|key| (key, 2)).collect(),
            most: 22.0,
        },
        Case {
            name: "hot keys inside a span",
            keys: (5_000..5_100).map(|key| (key, 1)).chain([(5_050, 20), (5_060, 20)]).collect(),
            most: 32.0,
        },
        Case {
            name: "one key that nobody can carry",
            keys: (0..40).map(|key| (key * 10, 2)).chain([(200, 200)]).collect(),
            most: 106.0,
        },
    ];
    for case in cases {
        let mut load = Load::default();
        for (key, requests) in &case.keys {
            load.record_requests(*key, *requests);
        }
        let rates = rates(&even(4), &load, 4, 16);
        let most = rates.iter().copied().fold(0.0, f64::max);
        assert!(most <= case.most, "{}: {rates:?}", case.name);
    }
}

#[test]
fn an_even_load_stays_where_it_is() {
    let mut load = Load::default();
    for key in (0..=u16::MAX).step_by(64) {
        load.record_requests(key, 1);
    }
    assert_eq!(rebalance(&even(8), &load, &candidates(8), 16), Vec::new());
}

#[test]
fn a_target_that_joins_gets_keys() {
    let mut load = Load::default();
    for key in (0..=u16::MAX).step_by(2_048) {
        load.record_requests(key, 2);
    }
    let moved = rebalance(&even(2), &load, &candidates(3), 16);
    assert!(moved.iter().any(|reassignment| reassignment.to == instance(2)), "{moved:?}");
    let whole = |span: Span| span.first <= span.last;
    assert!(moved.iter().all(|reassignment| whole(reassignment.span)));
}
