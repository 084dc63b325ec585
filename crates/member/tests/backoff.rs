//! How often an entry calls a store that fails.

use {member::Backoff, std::time::Duration};

/// A store that turned a third of 195 entries away for nine seconds got five calls a second from
/// each of their feeds.
#[test]
fn a_store_that_refuses_is_called_about_once_a_second() {
    const OUTAGE: Duration = Duration::from_secs(9);
    const MAX_CALLS: usize = 15;
    for draw in [0.0, 0.5, 1.0] {
        let mut backoff = Backoff::default();
        let (mut elapsed, mut calls) = (Duration::ZERO, 0);
        while elapsed < OUTAGE {
            calls += 1;
            elapsed += backoff.next_delay(draw);
        }
        assert!(calls <= MAX_CALLS, "{calls} calls with a draw of {draw}");
        backoff.reset();
        assert!(backoff.next_delay(draw) <= Duration::from_millis(200));
    }
}

#[test]
fn the_end_of_an_outage_is_noticed_within_a_second() {
    let mut backoff = Backoff::default();
    let longest = (0..50).map(|_| backoff.next_delay(0.0)).max();
    assert!(longest <= Some(Duration::from_secs(1)), "{longest:?}");
}
