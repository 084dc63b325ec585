//! Keys are revoked only where no other grant of them can be in force.

use {
    crate::fixture::{
        Fixture, SETTLE_INTERVAL_MS, count_grants, count_releases, instance, registration,
        tick_at_ms,
    },
    hold::{Action, planner::Outcome, registry::State},
};

#[test]
fn keys_of_a_leaving_target_are_reassigned() {
    let mut fixture = Fixture::new(2);
    fixture.register(registration(1, 1, State::Leaving));
    fixture.run_until_settled();
    let all = (0..=u16::MAX).step_by(997).all(|key| fixture.holder(key) == Some(instance(2, 1)));
    assert!(all, "{:?}", fixture.planner.map());
}

#[test]
fn no_keys_are_revoked_while_a_grant_is_in_flight() {
    let mut fixture = Fixture::new(2);
    let renewals = fixture.advance(1_000);
    assert_eq!(count_grants(&renewals), 2);
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(10)), 0);
    for action in renewals {
        if let Action::Grant { instance, grants, .. } = action {
            fixture.record_outcome(&instance, &grants, Outcome::Granted);
        }
    }
    assert_eq!(
        count_releases(&fixture.advance(100)),
        0,
        "the answer may belong to the previous grant"
    );
    assert!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)) > 0);
}

#[test]
fn no_keys_are_revoked_after_a_connection_loss_until_new_fences_are_acknowledged() {
    let mut fixture = Fixture::new(2);
    fixture.planner.record_connection_loss(&instance(1, 1), tick_at_ms(fixture.now_ms));
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)), 0);
    let actions = fixture.advance(1_000);
    assert_eq!(count_releases(&actions), 0);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.commit_write();
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

#[test]
fn a_lost_grant_is_voided_by_a_new_fence_before_keys_are_revoked() {
    let mut fixture = Fixture::new(2);
    let before =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).max();
    for action in fixture.advance(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            fixture.record_outcome(&to, &grants, outcome);
        }
    }
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(10)), 0);
    let actions = fixture.advance(1_000);
    assert_eq!(count_releases(&actions), 0, "{actions:?}");
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.commit_write();
    let renewed =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).min();
    assert!(renewed > before);
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

#[test]
fn a_target_keeps_its_keys_after_a_failed_release() {
    let mut fixture = Fixture::new(2);
    fixture.register(registration(1, 1, State::Leaving));
    let released =
        fixture.advance(SETTLE_INTERVAL_MS).into_iter().find_map(|action| match action {
            Action::Release { instance, span, .. } => Some((instance, span)),
            _ => None,
        });
    let (from, span) = released.expect("a release");
    fixture.planner.record_release(&from, span, Err(Outcome::Lost));
    let actions = fixture.advance(10);
    let granted = actions.iter().any(|action| match action {
        Action::Grant { instance, grants, .. } => {
            *instance == from && grants.iter().any(|grant| grant.span.overlaps(span))
        }
        Action::Release { instance, span: other, .. } => *instance == from && *other == span,
        Action::Write(_) => false,
    });
    assert!(granted, "{actions:?}");
}

#[test]
fn no_keys_are_revoked_under_a_fence_that_is_not_acknowledged_for_every_key() {
    let mut fixture = Fixture::new(2);
    let renewals = fixture.advance(1_000);
    for action in &renewals {
        if let Action::Grant { instance: to, grants, .. } = action {
            // All but the first grant to the first target are lost.
            let results: Vec<_> = grants
                .iter()
                .enumerate()
                .map(|(index, grant)| {
                    let lost = index > 0 && *to == instance(1, 1);
                    (grant.clone(), if lost { Outcome::Lost } else { Outcome::Granted })
                })
                .collect();
            fixture.planner.record_grants(to, &results, tick_at_ms(fixture.now_ms));
        }
    }
    // New fences are written, of which the first target acknowledges only the first.
    let writes = fixture.advance(1_000);
    assert!(writes.iter().any(|action| matches!(action, Action::Write(_))), "{writes:?}");
    fixture.commit_write();
    for action in fixture.advance(SETTLE_INTERVAL_MS) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let answered = if to == instance(1, 1) { &grants[..1] } else { &grants[..] };
            fixture.record_outcome(&to, answered, Outcome::Granted);
        }
    }
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)), 0);
}

#[test]
fn keys_are_revoked_only_from_their_holder() {
    let mut fixture = Fixture::new(4);
    for round in 0..20_u16 {
        for key in 0..60 {
            fixture.planner.load_mut().record_requests(round % 4 * 9_973 + key, 2);
        }
        let map = fixture.planner.map().clone();
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        for action in &actions {
            let Action::Release { instance, span, .. } = action else { continue };
            let overlapping =
                map.assignments.iter().filter(|assignment| assignment.span.overlaps(*span));
            for assignment in overlapping {
                let holder = map.holder(assignment).map(|holder| &holder.instance);
                assert_eq!(holder, Some(instance), "round {round}: {span:?}");
            }
        }
        fixture.carry_out(actions);
    }
}

#[test]
fn released_keys_that_go_back_to_their_holder_are_granted_again() {
    let mut fixture = Fixture::new(2);
    for key in 0..400 {
        fixture.planner.load_mut().record_requests(key, 1);
    }
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    let (donor, span) = actions
        .iter()
        .find_map(|action| match action {
            Action::Release { instance, span, .. } => Some((instance.clone(), *span)),
            _ => None,
        })
        .expect("busy keys are reassigned");
    // The recipient is lost while the keys are being released.
    let recipient = [1, 2].map(|number| registration(number, 1, State::Ready).instance());
    let recipient = recipient.into_iter().find(|instance| *instance != donor).expect("another");
    fixture.planner.record_instance_end(&recipient);
    fixture.registry.remove(&recipient.vm, tick_at_ms(fixture.now_ms));
    fixture.carry_out(actions);
    let mut is_granted = false;
    for _ in 0..20 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        is_granted |= actions.iter().any(|action| match action {
            Action::Grant { instance, grants, .. } => {
                *instance == donor && grants.iter().any(|grant| grant.span.contains(span.first))
            }
            _ => false,
        });
        fixture.carry_out(actions);
    }
    assert!(is_granted, "{span:?} of {donor:?} has no holder");
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    let has_write = actions.iter().any(|action| matches!(action, Action::Write(_)));
    assert!(!has_write, "the same keys are assigned again and again");
}

/// A release without an answer withdrew the acknowledgement of the whole span that its keys came from.
/// The donor gave up no other key until all of its releases had ended.
#[test]
fn a_failed_release_does_not_hold_up_the_others_of_its_target() {
    let mut fixture = Fixture::new(12);
    let first_key = 1_000;
    let hot = |fixture: &mut Fixture| {
        for key in first_key..first_key + 60 {
            fixture.planner.load_mut().record_requests(key, 2);
        }
    };
    hot(&mut fixture);
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    let releases: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Release { instance, span, .. } => Some((instance.clone(), *span)),
            _ => None,
        })
        .collect();
    assert!(releases.len() >= 2, "{actions:?}");
    let (donor, span) = releases[0].clone();
    fixture.planner.record_release(&donor, span, Err(Outcome::Lost));
    let mut released = Vec::new();
    for _ in 0..4 {
        hot(&mut fixture);
        for action in fixture.advance(SETTLE_INTERVAL_MS) {
            match action {
                Action::Grant { instance, grants, .. } => {
                    fixture.record_outcome(&instance, &grants, Outcome::Granted);
                }
                Action::Release { instance, span, .. } if instance == donor => released.push(span),
                _ => {}
            }
        }
    }
    assert!(!released.is_empty(), "{donor:?} gives up nothing while others are released");
}
