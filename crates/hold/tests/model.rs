//! One holder for each key, in virtual time under random faults.

mod sim;

use {
    sim::{Faults, Mutation, World},
    std::env,
};

const RUN_MS: u64 = 40_000;
const CALM_MS: u64 = 20_000;
const SEEDS: u64 = 60;

struct Case {
    name: &'static str,
    faults: Faults,
}

const NONE: Faults = Faults {
    order_lost: 0.0,
    answer_lost: 0.0,
    order_late: 0.0,
    write_lost: 0.0,
    write_late: 0.0,
    crash: 0.0,
    unlisted: 0.0,
    leader_crash: 0.0,
    leader_cut: 0.0,
    leader_pause: 0.0,
    cut_with_target: 0.0,
};

const CASES: [Case; 8] = [
    Case { name: "calm", faults: NONE },
    Case {
        name: "orders",
        faults: Faults { order_lost: 0.1, answer_lost: 0.1, order_late: 0.1, ..NONE },
    },
    Case { name: "writes", faults: Faults { write_lost: 0.4, write_late: 0.5, ..NONE } },
    Case { name: "crashes", faults: Faults { crash: 0.1, unlisted: 0.05, ..NONE } },
    Case {
        name: "leaders end",
        faults: Faults { leader_crash: 0.2, crash: 0.05, answer_lost: 0.05, ..NONE },
    },
    Case {
        name: "leaders cut off",
        faults: Faults {
            leader_cut: 0.1,
            cut_with_target: 0.4,
            crash: 0.05,
            unlisted: 0.05,
            ..NONE
        },
    },
    Case {
        name: "leaders pause",
        faults: Faults { leader_pause: 0.15, crash: 0.05, order_lost: 0.05, ..NONE },
    },
    Case {
        name: "everything",
        faults: Faults {
            order_lost: 0.05,
            answer_lost: 0.05,
            order_late: 0.05,
            write_lost: 0.2,
            write_late: 0.3,
            crash: 0.06,
            unlisted: 0.06,
            leader_crash: 0.05,
            leader_cut: 0.05,
            leader_pause: 0.05,
            cut_with_target: 0.3,
        },
    },
];

fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    match number("ALMONDWORKS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("ALMONDWORKS_RUNS").unwrap_or(SEEDS),
    }
}

#[test]
fn a_key_has_one_holder_under_random_faults() {
    for case in &CASES {
        for seed in seeds() {
            let mut world = World::new(seed, case.faults, Mutation::default());
            world.play(RUN_MS, CALM_MS);
            let name = case.name;
            assert!(world.overlaps.is_empty(), "{name}, seed {seed}: {:?}", world.overlaps.first());
            assert!(world.stale.is_empty(), "{name}, seed {seed}: {:?}", world.stale.first());
            assert_eq!(world.held(), 65_536, "{name}, seed {seed}: keys without a holder");
        }
    }
}

#[test]
fn keys_move_when_nothing_fails() {
    let mut world = World::new(1, NONE, Mutation::default());
    world.play(RUN_MS, 0);
    assert!(world.moves > 0, "nothing was moved");
}

#[test]
fn a_leader_that_orders_without_right_is_noticed() {
    let faults = Faults { leader_cut: 0.05, cut_with_target: 1.0, ..NONE };
    let mutation = Mutation { eternal_right: true, ..Mutation::default() };
    let noticed = (0..SEEDS).any(|seed| {
        let mut world = World::new(seed, faults, mutation);
        world.play(RUN_MS, 0);
        !world.overlaps.is_empty() || !world.stale.is_empty()
    });
    assert!(noticed, "a leader that never stops caused no overlap");
}

#[test]
fn a_connection_replaced_silently_is_noticed() {
    let faults = Faults { crash: 0.3, ..NONE };
    let mutation = Mutation { reconnects: true, ..Mutation::default() };
    let noticed = (0..SEEDS).any(|seed| {
        let mut world = World::new(seed, faults, mutation);
        world.play(RUN_MS, 0);
        !world.overlaps.is_empty() || !world.stale.is_empty()
    });
    assert!(noticed, "a grant to a later run was not noticed");
}
