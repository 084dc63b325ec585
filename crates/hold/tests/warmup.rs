//! Until when targets are cold, by their registrations.

use {
    hold::{Registration, Registry, registry::State},
    key::{Service, Version, Vm, Zone, clock::Tick},
    std::time::Duration,
};

fn at(ms: u64) -> Tick {
    Tick::from((10_000 + ms) * 1_000)
}

fn registration(started_at_ms: u64, left_ms: u64) -> Registration {
    Registration {
        vm: Vm::from("t"),
        started_at_ms,
        service: Service::from("orders"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: Zone::from("a"),
        slots: 2,
        state: State::Ready,
        warmup_remaining_ms: left_ms,
        sequence: 0,
    }
}

/// Guards against followers that never hear of a target that became cold, and against a message for
/// each heartbeat of a cold one.
#[test]
fn a_change_to_cold_is_news_and_its_heartbeats_are_not() {
    struct Step {
        read: u64,
        version: u64,
        started: u64,
        left: u64,
        is_news: bool,
        cold_until: Option<u64>,
    }
    let step = |read, version, started, left, is_news, cold_until| Step {
        read,
        version,
        started,
        left,
        is_news,
        cold_until,
    };
    let cases: [(&str, &[Step]); 4] = [
        ("warm", &[step(0, 1, 1, 0, false, None), step(900, 2, 1, 0, false, None)]),
        (
            "cold from the start, then warm",
            &[
                step(0, 1, 1, 3_000, true, Some(3_000)),
                step(1_000, 2, 1, 2_100, false, Some(3_100)),
                step(3_200, 3, 1, 0, false, None),
            ],
        ),
        (
            "cold again in the same run",
            &[step(0, 1, 1, 0, false, None), step(900, 2, 1, 2_500, true, Some(3_400))],
        ),
        (
            "cold in a later run, and an older row after it",
            &[
                step(0, 5, 1, 0, false, None),
                step(900, 6, 2, 3_000, true, Some(3_900)),
                step(1_000, 5, 1, 0, false, Some(3_900)),
                step(1_100, 6, 2, 3_000, false, Some(3_900)),
            ],
        ),
    ];
    for (name, steps) in cases {
        let mut registry = Registry::default();
        for step in steps {
            let version = Version::from(step.version);
            let registration = registration(step.started, step.left);
            let vm = registration.vm.clone();
            registry.register(registration, version, at(step.read));
            let written_at = Some(at(step.read).before(Duration::from_millis(300)));
            let is_news = registry.record_warmup(&vm, version, written_at, at(step.read));
            assert_eq!(is_news, step.is_news, "{name}: at {} ms", step.read);
            let target = registry.get(&vm).expect("a target that was registered");
            assert_eq!(target.cold_until(), step.cold_until.map(at), "{name}: at {} ms", step.read);
        }
    }
}
