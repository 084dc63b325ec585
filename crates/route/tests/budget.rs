//! Tests of the retry limit over a sliding window.

use {
    quickcheck::quickcheck,
    route::budget::{RetryLimit, Window},
    std::time::{Duration, Instant},
};

const WINDOW_LENGTH: Duration = Duration::from_secs(10);
const RETRY_LIMIT: RetryLimit = RetryLimit { ratio: 0.15, extra: 4.0 };

#[test]
fn retries_are_allowed_in_proportion_to_requests() {
    struct Case {
        requests: u32,
        allowed: u32,
    }
    let cases = [
        Case { requests: 0, allowed: 4 },
        Case { requests: 100, allowed: 19 },
        Case { requests: 1_000, allowed: 154 },
    ];
    for case in cases {
        let mut window = Window::new(WINDOW_LENGTH);
        let now = Instant::now();
        (0..case.requests).for_each(|_| window.record_request(now));
        let allowed = (0..10_000).filter(|_| window.try_retry(now, RETRY_LIMIT)).count();
        assert_eq!(allowed as u32, case.allowed, "{} requests", case.requests);
    }
}

quickcheck! {
    /// For any order of requests and retries, no window holds more retries than its limit allows
    /// for the requests in it and in the two slices before it.
    fn no_window_exceeds_its_retry_limit(steps: Vec<(u16, bool)>) -> bool {
        let start = Instant::now();
        let mut window = Window::new(WINDOW_LENGTH);
        let mut now = start;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (wait_ms, is_retry) in steps {
            now += Duration::from_millis(u64::from(wait_ms % 700));
            if is_retry {
                if window.try_retry(now, RETRY_LIMIT) {
                    retries.push(now);
                }
            } else {
                window.record_request(now);
                requests.push(now);
            }
        }
        let slice_width = WINDOW_LENGTH / 20;
        retries.iter().all(|end| {
            let within = |event: &&Instant, span: Duration|
                **event <= *end && end.duration_since(**event) <= span;
            let retries = retries
                .iter()
                .filter(|event| within(event, WINDOW_LENGTH))
                .count() as f64;
            let requests = requests
                .iter()
                .filter(|event| within(event, WINDOW_LENGTH + slice_width * 2))
                .count() as f64;
            retries <= RETRY_LIMIT.ratio.mul_add(requests, RETRY_LIMIT.extra) + 1e-6
        })
    }
}
