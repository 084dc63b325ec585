//! What reports of load say some time later, and which requests are refused for them.

use {
    route::{
        Load,
        load::{Reports, Usual, shortage},
    },
    std::time::{Duration, Instant},
};

const WORK: Duration = Duration::from_millis(400);

const fn load(running: u32, waiting: u32, work_percent: Option<u32>) -> Load {
    Load { running, waiting, slots: 4, work_percent }
}

/// Returns what is usual for a service that has answered at rest.
fn usual_at_rest(now: Instant) -> Usual {
    let mut usual = Usual::default();
    for _ in 0..40 {
        usual.record_load(load(1, 0, None), false, now);
        usual.record_time(load(1, 0, None), WORK);
    }
    usual
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against loads that no target can have, which would let one target get everything or
/// nothing.
#[test]
fn implausible_loads_are_told_apart() {
    for (load, expected) in [
        (load(0, 0, None), true),
        (load(4, 16, Some(50)), true),
        (load(5, 0, None), true),
        (load(400, 0, None), false),
        (load(4, 4_000_000_000, None), false),
        (load(4, 0, Some(1)), false),
        (load(4, 0, Some(1_000_000)), false),
        (Load { running: 0, waiting: 0, slots: 0, work_percent: None }, false),
        (Load { running: 0, waiting: 0, slots: 1_000_000, work_percent: None }, false),
    ] {
        assert_eq!(load.is_plausible(), expected, "{load:?}");
    }
}

/// Guards against estimates that ignore the queue, the speed or this entry's own requests.
#[test]
fn a_new_report_gives_the_time_until_the_response() {
    let now = Instant::now();
    for (name, load, sent, in_flight, expected_ms) in [
        ("idle", load(0, 0, None), 0, 0, 400),
        ("a free slot", load(3, 0, None), 0, 0, 400),
        ("all slots busy", load(4, 0, None), 0, 0, 500),
        ("eight waiting", load(4, 8, None), 0, 0, 1_300),
        ("half speed", load(4, 8, Some(200)), 0, 0, 2_600),
        ("own requests since", load(4, 0, None), 4, 4, 900),
        ("own requests since, answered", load(4, 0, None), 4, 0, 500),
    ] {
        let mut reports = Reports::default();
        reports.record_load(load, false, now);
        for _ in 0..sent {
            reports.record_sent();
        }
        let estimate =
            reports.estimate(&usual_at_rest(now), 4, in_flight, now).expect("an estimate");
        let time_ms = estimate.time_s() * 1_000.0;
        assert!((time_ms - f64::from(expected_ms)).abs() < 5.0, "{name}: {time_ms} ms");
    }
}

/// Guards against news that stays in force: a target that was full or free some time ago is taken
/// for neither, and never for empty.
#[test]
fn an_old_report_widens_towards_what_is_usual() {
    let start = Instant::now();
    for (name, reported) in [("full", load(4, 16, None)), ("idle", load(0, 0, None))] {
        let mut reports = Reports::default();
        reports.record_load(reported, false, start);
        let mut known_gap = f64::INFINITY;
        let mut known_uncertainty = 0.0;
        for age_ms in [0, 500, 1_000, 2_000, 4_000, 8_000, 30_000] {
            let now = start + ms(age_ms);
            let usual = usual_at_rest(now);
            let estimate = reports.estimate(&usual, 4, 0, now).expect("an estimate");
            let gap = (estimate.occupied - usual.occupied_per_slot(now) * 4.0).abs();
            assert!(gap < known_gap, "{name}, {age_ms} ms: {gap}");
            assert!(estimate.uncertainty() > known_uncertainty, "{name}, {age_ms} ms");
            (known_gap, known_uncertainty) = (gap, estimate.uncertainty());
            assert!(age_ms == 0 || estimate.occupied > 0.0, "{name}, {age_ms} ms");
        }
        assert!(known_gap < 0.1, "{name}: {known_gap}");
    }
}

/// Guards against a service that is refused for good: an entry that sends nothing hears nothing.
#[test]
fn a_service_without_news_is_tried_again() {
    let start = Instant::now();
    let mut usual = usual_at_rest(start);
    for _ in 0..40 {
        usual.record_load(load(4, 100, None), false, start);
    }
    let mut reports = Reports::default();
    reports.record_load(load(4, 100, None), false, start);
    let short_at = |after_ms| {
        let now = start + ms(after_ms);
        let estimate = reports.estimate(&usual, 4, 0, now).expect("an estimate");
        shortage(&estimate, ms(2_000), 0)
    };
    let due_in = short_at(0).expect("a shortage").due_in;
    assert!(due_in > ms(5_000), "{due_in:?}");
    assert_eq!(short_at(60_000), None);
}

/// Guards against a target that reports little and takes long, and against one that reports much
/// and is fast.
#[test]
fn a_false_report_is_corrected_by_response_times() {
    let now = Instant::now();
    let usual = usual_at_rest(now);
    for (name, reported, took_ms, expected_ms) in [
        ("slow and says idle", load(0, 0, None), 2_400, 1_800..2_500),
        ("fast and says full", load(4, 17, None), 400, 300..1_000),
        ("true", load(0, 0, None), 400, 390..410),
    ] {
        let mut reports = Reports::default();
        for _ in 0..12 {
            reports.record_load(reported, false, now);
            reports.record_time(reported, ms(took_ms), &usual, now);
        }
        let estimate = reports.estimate(&usual, 4, 0, now).expect("an estimate");
        let time_ms = (estimate.time_s() * 1_000.0) as u64;
        assert!(expected_ms.contains(&time_ms), "{name}: {time_ms} ms");
    }
}

/// Guards against refusals by the load of other targets: a target that reports none is judged by its
/// response times, and one that has not answered yet counts as usual.
#[test]
fn a_target_that_reports_nothing_has_no_estimate() {
    let now = Instant::now();
    let mut reports = Reports::default();
    let estimate = reports.estimate(&usual_at_rest(now), 4, 0, now).expect("an estimate");
    assert_eq!((estimate.weight, estimate.waits()), (0.0, false));
    assert_eq!(reports.estimate(&Usual::default(), 4, 0, now), None);
    reports.record_silence();
    assert_eq!(reports.estimate(&usual_at_rest(now), 4, 0, now), None);
}

/// Guards against requests that wait at a target for longer than their callers do, and against
/// refusals while a target is free.
#[test]
fn requests_that_cannot_be_answered_in_time_are_refused() {
    let now = Instant::now();
    for (name, load, left_ms, rank, expected) in [
        ("a free slot", load(3, 0, None), 500, 3, None),
        ("a free slot and hardly any time", load(3, 0, None), 100, 0, None),
        ("a short queue", load(4, 3, None), 1_000, 0, None),
        ("a queue longer than the time", load(4, 15, None), 1_000, 0, Some(800)),
        ("a less urgent one in the same queue", load(4, 3, None), 1_000, 3, Some(50)),
        ("an urgent one at half the queue", load(4, 12, None), 2_000, 0, None),
        ("the slots are twice as slow", load(4, 12, Some(200)), 2_000, 0, Some(1_000)),
    ] {
        let mut reports = Reports::default();
        reports.record_load(load, false, now);
        let estimate = reports.estimate(&usual_at_rest(now), 4, 0, now).expect("an estimate");
        let due_ms = shortage(&estimate, ms(left_ms), rank).map(|it| it.due_in.as_millis());
        let (low, high) = expected.map_or((None, None), |due| (Some(due - 6), Some(due + 6)));
        assert!(due_ms >= low && due_ms <= high, "{name}: {due_ms:?}");
    }
}

/// Guards against a full queue that urgent requests find filled by less urgent ones: once a target
/// has turned requests away, less urgent ones leave room.
#[test]
fn less_urgent_requests_leave_room_in_a_queue_that_was_full() {
    let now = Instant::now();
    let mut reports = Reports::default();
    reports.record_load(load(4, 16, None), true, now);
    let is_short = |waiting, rank| {
        let mut reports = reports;
        reports.record_load(load(4, waiting, None), false, now);
        let estimate = reports.estimate(&usual_at_rest(now), 4, 0, now).expect("an estimate");
        shortage(&estimate, ms(60_000), rank).is_some()
    };
    for (waiting, expected) in [
        (16, [true, true, true, true]),
        (15, [false, true, true, true]),
        (11, [false, false, true, true]),
        (8, [false, false, false, true]),
        (5, [false, false, false, false]),
    ] {
        let found = [0, 1, 2, 3].map(|rank| is_short(waiting, rank));
        assert_eq!(found, expected, "{waiting} waiting");
    }
}
