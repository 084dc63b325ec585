//! When a request without a response is tried at a second target, in virtual time.

use {
    route::{
        Backpressure,
        backpressure::Intake,
        budget::{RetryLimit, Window},
        hedge::{Times, hedge_limit},
    },
    std::time::{Duration, Instant},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against second attempts at requests that are merely slow, and against a delay that follows
/// from a few of them.
#[test]
fn the_delay_is_a_time_that_requests_almost_never_take() {
    let start = Instant::now();
    for (name, times_ms, count, expected_ms) in [
        ("too few", &[100_u64][..], 49, None),
        ("enough", &[100], 64, Some(120..130)),
        ("fast ones", &[3], 64, Some(100..101)),
        ("one in eight is slow", &[100, 100, 100, 100, 100, 100, 100, 800], 160, Some(990..1_010)),
    ] {
        let mut times = Times::default();
        for index in 0..count {
            times.record(ms(times_ms[index % times_ms.len()]), start);
        }
        let delay_ms = times.delay().map(|delay| delay.as_millis() as u64);
        let is_expected = match &expected_ms {
            Some(range) => delay_ms.is_some_and(|delay| range.contains(&delay)),
            None => delay_ms.is_none(),
        };
        assert!(is_expected, "{name}: {delay_ms:?}");
    }
}

/// Guards against a delay that stays as it was in an earlier state of the service.
#[test]
fn the_delay_follows_the_service() {
    let start = Instant::now();
    let mut times = Times::default();
    for second in 0..90 {
        let time_ms = if second < 30 { 100 } else { 1_000 };
        for _ in 0..10 {
            times.record(ms(time_ms), start + ms(second * 1_000));
        }
    }
    let delay = times.delay().expect("a delay");
    assert!(delay > ms(1_200), "{delay:?}");
    for second in 90..150 {
        for _ in 0..10 {
            times.record(ms(100), start + ms(second * 1_000));
        }
    }
    let delay = times.delay().expect("a delay");
    assert!(delay < ms(200), "{delay:?}");
}

/// Guards against second attempts that use up the retry budget when all targets are slow.
#[test]
fn second_attempts_leave_a_part_of_the_budget() {
    let now = Instant::now();
    let limit = RetryLimit { ratio: 0.15, extra: 2.0 };
    let mut window = Window::new(Duration::from_secs(10));
    for _ in 0..200 {
        window.record_request(now);
    }
    let hedges = (0..200).filter(|_| window.try_retry(now, hedge_limit(limit))).count();
    let retries = (0..200).filter(|_| window.try_retry(now, limit)).count();
    assert_eq!((hedges, hedges + retries), (19, 32));
}

/// Guards against a target that lets requests hang and gets the next ones, too.
#[test]
fn a_target_that_lets_requests_hang_is_passed_over_for_a_while() {
    let start = Instant::now();
    let mut backpressure = Backpressure::default();
    let mut now = start;
    for backoff_ms in [500, 1_000, 2_000, 4_000, 4_000] {
        backpressure.record_hang(now);
        // Requests that hang at the same time change nothing.
        backpressure.record_hang(now + ms(10));
        // A full target still answers what it queued before.
        backpressure.record_taken(now + ms(20));
        let before_end = now + ms(backoff_ms - 1);
        assert_eq!(backpressure.intake(0, false, before_end), Intake::Reluctant, "{backoff_ms}");
        now += ms(backoff_ms);
        assert_eq!(backpressure.intake(0, false, now), Intake::Any, "{backoff_ms}");
    }
    backpressure.record_taken(now);
    backpressure.record_hang(now);
    assert_eq!(backpressure.intake(0, false, now + ms(500)), Intake::Any);
    backpressure.record_hang(now + ms(500));
    backpressure.record_late_answer();
    assert_eq!(backpressure.intake(0, false, now + ms(501)), Intake::Any);
}
