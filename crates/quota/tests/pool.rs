//! Which connections are closed and what is refused when bytes or connections are short.

use {
    quota::{Group, Id, Limits, Phase, Pool, Purpose, SMALL_BYTES, next_capacity},
    std::time::{Duration, Instant},
};

const MEMORY_MB: u64 = 12;
const DESCRIPTORS: u64 = 64;

fn pool() -> (Pool, Limits, Instant) {
    let limits = Limits::of_vm(Some(MEMORY_MB), Some(DESCRIPTORS));
    (Pool::new(limits), limits, Instant::now())
}

/// Opens as many connections of callers as there are places.
fn fill(pool: &mut Pool, limits: &Limits, now: Instant) -> Vec<Id> {
    let count = limits.connections(Group::Callers);
    (0..count).map(|_| pool.open(Group::Callers, now).0.expect("a place")).collect()
}

/// Guards against limits that an ordinary caller meets, or that leave nothing to the program.
#[test]
fn limits_follow_from_the_vm() {
    let cases = [
        // Memory, descriptors, and the least number of bytes and connections of callers.
        (Some(120), Some(3_075), 48 << 20, 1_400),
        (Some(160), Some(4_100), 65 << 20, 1_900),
        (Some(512), Some(10_250), 192 << 20, 5_000),
        (None, None, 384 << 20, 10_000),
    ];
    for (memory, descriptors, bytes, connections) in cases {
        let limits = Limits::of_vm(memory, descriptors);
        let name = format!("{memory:?} MB, {descriptors:?} descriptors: {limits:?}");
        assert!(limits.large_bytes >= bytes, "{name}");
        assert!(limits.connections(Group::Callers) >= connections, "{name}");
        if let (Some(memory), Some(descriptors)) = (memory, descriptors) {
            assert!(limits.bytes <= (memory as usize) << 20, "{name}");
            let groups =
                [Group::Callers, Group::Entries, Group::Readiness, Group::Control, Group::Targets];
            let all: usize = groups.into_iter().map(|group| limits.connections(group)).sum();
            assert!(all + 200 < descriptors as usize * 31 / 32, "{name}");
        }
    }
}

/// Guards against a crowd that keeps others out for good.
#[test]
fn a_new_connection_takes_the_place_of_the_slowest() {
    let (mut pool, limits, start) = pool();
    let ids = fill(&mut pool, &limits, start);
    assert_eq!(pool.open(Group::Callers, start), (None, None), "none is slow yet");
    assert!(pool.open(Group::Readiness, start).0.is_some(), "other groups have places left");
    let later = start + Duration::from_secs(1);
    for (index, id) in ids.iter().enumerate() {
        let phase = [Phase::Running, Phase::Sending, Phase::Idle][index % 3];
        pool.set_phase(*id, phase, start);
    }
    pool.set_blocked(ids[4], true, start);
    let (opened, victim) = pool.open(Group::Callers, later);
    assert!(opened.is_some());
    assert_eq!(victim, Some(ids[4]), "slow ones go before idle ones");
    let (_, victim) = pool.open(Group::Callers, later);
    assert!(victim.is_some_and(|victim| ids.iter().skip(2).step_by(3).any(|id| *id == victim)));
}

/// Guards against closing a connection whose request may have been sent to a target.
#[test]
fn a_running_request_is_never_closed() {
    let (mut pool, limits, start) = pool();
    for id in fill(&mut pool, &limits, start) {
        pool.set_phase(id, Phase::Running, start);
    }
    assert_eq!(pool.open(Group::Callers, start + Duration::from_secs(60)), (None, None));
    assert_eq!(pool.make_room(start + Duration::from_secs(60)), None);
}

/// Guards against a large body that is closed though it arrives steadily, and against a trickle that
/// counts as progress.
#[test]
fn a_steady_sender_is_kept_and_a_trickle_is_not() {
    let (mut pool, _, start) = pool();
    let steady = pool.open(Group::Callers, start).0.expect("a place");
    let trickle = pool.open(Group::Callers, start).0.expect("a place");
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_millis(50);
        pool.record_received(steady, 10_000, now);
        pool.record_received(trickle, 1, now);
    }
    assert_eq!(pool.make_room(now), Some(trickle));
    assert_eq!(pool.make_room(now), None);
}

/// Guards against large requests that leave nothing for small ones.
#[test]
fn small_requests_have_a_part_to_themselves() {
    let (mut pool, limits, start) = pool();
    let id = pool.open(Group::Callers, start).0;
    let left = limits.large_bytes - pool.usage().bytes;
    assert!(pool.hold(id, left, left, Purpose::Request));
    assert!(!pool.hold(id, SMALL_BYTES + 1, SMALL_BYTES + 1, Purpose::Request));
    assert!(pool.hold(id, SMALL_BYTES, SMALL_BYTES, Purpose::Request));
    pool.release(id, left + SMALL_BYTES, Purpose::Request);
    assert!(pool.hold(id, left, left, Purpose::Request));
    pool.release(id, left, Purpose::Request);
    pool.close(id.expect("a place"));
    assert_eq!(pool.usage().bytes, 0);
}

/// Guards against responses that take the budget of requests.
#[test]
fn responses_have_a_bound_of_their_own() {
    let (mut pool, limits, _) = pool();
    let most = limits.response_bytes;
    assert!(pool.hold(None, most, most, Purpose::Response));
    assert!(!pool.hold(None, 1, 1, Purpose::Response));
    assert!(pool.hold(None, most, most, Purpose::Request));
}

/// Guards against a stated size that is held before anything arrives, and against waste.
#[test]
fn buffers_grow_with_what_arrives() {
    let cases = [
        // Current capacity, bytes needed, stated size, new capacity.
        (0, 1, Some(64 << 20), 512),
        (0, 100, Some(100), 100),
        (512, 513, None, 1_024),
        (1_024, 1_000, Some(10), 1_024),
        (8 << 20, (8 << 20) + 1, None, 10 << 20),
        (100, 200, Some(150), 612),
    ];
    for (current, needed, expected, capacity) in cases {
        let found = next_capacity(current, needed, expected);
        assert_eq!(found, capacity, "{current} to {needed} of {expected:?}");
    }
}
