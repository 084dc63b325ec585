//! Which target gets the keys of a lost one, and when.

use {
    crate::fixture::{
        Fixture, GRANT_DURATION_MS, LEADERSHIP_LEASE_MS, SETTLE_INTERVAL_MS, config, instance,
        registration, tick_at_ms,
    },
    hold::{Action, Instance, Planner, Registration, planner::Outcome, registry::State},
    key::{Service, Vm},
};

#[test]
fn keys_of_an_unresponsive_target_are_reassigned_after_its_grants_expire() {
    let mut fixture = Fixture::new(2);
    for action in fixture.advance(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            fixture.record_outcome(&to, &grants, outcome);
        }
    }
    fixture.registry.remove(&Vm::from("t1"), tick_at_ms(fixture.now_ms));
    fixture.unreachable = Some(instance(1, 1));
    fixture.now_ms += GRANT_DURATION_MS - 500;
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(1, 1)));
    fixture.now_ms += 2_000;
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

/// Grants that got no answer kept the keys of a target that was gone for ever.
#[test]
fn keys_of_a_target_that_never_answers_are_reassigned_once_it_is_gone() {
    struct Case {
        name: &'static str,
        is_gone: bool,
        holder: Instance,
    }
    let cases = [
        Case { name: "gone", is_gone: true, holder: instance(2, 1) },
        // It may be about to answer.
        Case { name: "registered", is_gone: false, holder: instance(1, 1) },
    ];
    for case in cases {
        let mut fixture = Fixture::new(2);
        fixture.silent = Some(instance(1, 1));
        if case.is_gone {
            fixture.registry.remove(&Vm::from("t1"), tick_at_ms(fixture.now_ms));
        }
        let rounds = 3 * GRANT_DURATION_MS / SETTLE_INTERVAL_MS;
        for _ in 0..rounds {
            let actions = fixture.advance(SETTLE_INTERVAL_MS);
            fixture.carry_out(actions);
        }
        assert_eq!(fixture.holder(0), Some(case.holder), "{}", case.name);
    }
}

#[test]
fn keys_of_an_instance_known_to_have_ended_are_reassigned_at_once() {
    struct Case {
        name: &'static str,
        end: fn(&mut Fixture),
        holder: Instance,
    }
    let cases = [
        Case {
            name: "another target answers at its address",
            end: |fixture| fixture.planner.record_instance_end(&instance(1, 1)),
            holder: instance(2, 1),
        },
        Case {
            name: "it restarted under its name",
            end: |fixture| fixture.register(registration(1, 2, State::Ready)),
            holder: instance(1, 2),
        },
        Case {
            name: "its address belongs to a later target",
            end: |fixture| {
                let moved = Registration {
                    address: ([10, 0, 0, 1], 80).into(),
                    ..registration(3, 9, State::Ready)
                };
                fixture.registry.remove(&Vm::from("t1"), tick_at_ms(fixture.now_ms));
                fixture.register(Registration { service: Service::from("other"), ..moved });
            },
            holder: instance(2, 1),
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(2);
        (case.end)(&mut fixture);
        fixture.run_until_settled();
        assert_eq!(fixture.holder(0), Some(case.holder), "{}", case.name);
    }
}

#[test]
fn keys_of_a_lost_target_do_not_go_to_one_that_names_a_rate_limit() {
    let mut fixture = Fixture::new(3);
    let limited = registration(1, 1, State::Ready).instance();
    let lost = registration(2, 1, State::Ready).instance();
    let keys_of = |fixture: &Fixture, instance: &Instance| {
        let held = fixture.planner.map().held_by(instance);
        held.map(|assignment| assignment.span.width()).sum::<u32>()
    };
    let before = keys_of(&fixture, &limited);
    for key in (0..=u16::MAX).step_by(512) {
        fixture.planner.load_mut().record_requests(key, 1);
    }
    fixture.planner.load_mut().set_rate_limits([(limited.clone(), 1.0)].into());
    fixture.planner.record_instance_end(&lost);
    let registry = &mut fixture.registry;
    registry.remove(&lost.vm, tick_at_ms(fixture.now_ms));
    fixture.run_until_settled();
    assert_eq!(keys_of(&fixture, &lost), 0);
    assert!(keys_of(&fixture, &limited) <= before, "the limited target got keys");
}

#[test]
fn keys_of_a_target_lost_near_a_takeover_wait_for_its_last_grant_only() {
    /// The longest time for which a grant can be in force after it was sent.
    const MAX_VALIDITY_MS: u64 = 4_400;
    let first = Fixture::new(3);
    let map = first.planner.map().clone();
    let lost = registration(1, 1, State::Ready).instance();
    let taken_over_ms = first.now_ms;
    for (former_ended, max_wait_ms) in
        [(true, MAX_VALIDITY_MS), (false, LEADERSHIP_LEASE_MS + MAX_VALIDITY_MS)]
    {
        let registry = first.registry.clone();
        let service = Service::from("keyed");
        let planner = Planner::new(service, config(), Some(map.clone()), tick_at_ms(taken_over_ms));
        let version = first.version;
        let unreachable = Some(lost.clone());
        let mut next = Fixture {
            planner,
            registry,
            now_ms: taken_over_ms,
            version,
            unreachable,
            silent: None,
        };
        next.registry.remove(&lost.vm, tick_at_ms(next.now_ms));
        if former_ended {
            next.planner.record_former_leaders_ended(tick_at_ms(next.now_ms));
        }
        let is_held = |fixture: &Fixture| fixture.planner.map().held_by(&lost).next().is_some();
        while is_held(&next) && next.now_ms - taken_over_ms < 2 * max_wait_ms {
            let actions = next.advance(SETTLE_INTERVAL_MS);
            next.carry_out(actions);
        }
        let waited_ms = next.now_ms - taken_over_ms;
        assert!(waited_ms <= max_wait_ms + 500, "{former_ended}: {waited_ms} ms");
        assert!(waited_ms + 500 >= max_wait_ms, "{former_ended}: {waited_ms} ms");
    }
}
