//! Which grants are sent, and when they are renewed.

use {
    crate::fixture::{
        Fixture, SETTLE_INTERVAL_MS, count_grants, instance, registration, tick_at_ms,
    },
    hold::{
        Action, Span,
        planner::{Grant, Outcome},
        registry::State,
    },
};

#[test]
fn every_key_is_assigned_at_the_start() {
    let fixture = Fixture::new(3);
    assert!((0..=u16::MAX).step_by(997).all(|key| fixture.holder(key).is_some()));
}

#[test]
fn grants_are_renewed_while_a_target_keeps_receiving_new_keys() {
    const TARGET_COUNT: u16 = 9;
    const MAX_RENEWAL_GAP_MS: u64 = 1_000 + 3 * SETTLE_INTERVAL_MS;
    let mut fixture = Fixture::new(TARGET_COUNT);
    // Each target that leaves is less busy than those that stay, except the first.
    for number in 2..=TARGET_COUNT {
        let instance = instance(number, 1);
        let spans: Vec<Span> =
            fixture.planner.map().held_by(&instance).map(|assignment| assignment.span).collect();
        for span in spans {
            fixture.planner.load_mut().record_requests(span.first, 1 << number);
        }
    }
    let kept: Vec<Span> =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.span).collect();
    let mut renewed_at_ms: Vec<u64> = vec![fixture.now_ms; kept.len()];
    for leaving in 2..TARGET_COUNT {
        fixture.register(registration(leaving, 1, State::Leaving));
        for _ in 0..4 {
            let actions = fixture.advance(SETTLE_INTERVAL_MS);
            for action in &actions {
                let Action::Grant { instance: to, grants, .. } = action else { continue };
                for (index, span) in kept.iter().enumerate() {
                    let covers = |grant: &Grant| span.without(grant.span) == [None, None];
                    if *to == instance(1, 1) && grants.iter().any(covers) {
                        renewed_at_ms[index] = fixture.now_ms;
                    }
                }
            }
            fixture.carry_out(actions);
            let oldest = renewed_at_ms.iter().min().copied().unwrap_or_default();
            assert!(
                fixture.now_ms - oldest <= MAX_RENEWAL_GAP_MS,
                "at {}: {renewed_at_ms:?}",
                fixture.now_ms
            );
        }
    }
}

#[test]
fn renewals_of_many_targets_are_spread_over_time() {
    const TARGET_COUNT: u16 = 200;
    const STEP_INTERVAL_MS: u64 = 100;
    let mut fixture = Fixture::new(TARGET_COUNT);
    let mut max_grants = 0;
    for _ in 0..40 {
        let actions = fixture.advance(STEP_INTERVAL_MS);
        max_grants = max_grants.max(count_grants(&actions));
        fixture.carry_out(actions);
    }
    // With an even spread each step renews a tenth of them.
    assert!(max_grants <= usize::from(TARGET_COUNT) / 4, "{max_grants} targets in one step");
}

#[test]
fn a_withheld_grant_is_sent_again_and_is_no_failure() {
    let mut fixture = Fixture::new(2);
    let lost = registration(2, 1, State::Ready).instance();
    fixture.planner.record_instance_end(&lost);
    fixture.registry.remove(&lost.vm, tick_at_ms(fixture.now_ms));
    for outcome in [Outcome::Withheld, Outcome::Withheld, Outcome::Withheld, Outcome::Granted] {
        let mut has_grants = false;
        for _ in 0..10 {
            for action in fixture.advance(SETTLE_INTERVAL_MS) {
                match action {
                    Action::Write(_) => fixture.commit_write(),
                    Action::Grant { instance, grants, .. } => {
                        has_grants = true;
                        fixture.record_outcome(&instance, &grants, outcome);
                    }
                    Action::Release { instance, span, .. } => {
                        fixture.planner.record_release(&instance, span, Err(Outcome::Unsent));
                    }
                }
            }
            if has_grants {
                break;
            }
        }
        assert!(has_grants, "{outcome:?}: the grants are not sent again");
    }
    let summary = fixture.planner.summary(&fixture.registry, tick_at_ms(fixture.now_ms));
    assert_eq!(summary.failing, 0, "{summary:?}");
}
