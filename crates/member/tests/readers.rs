//! Who reads the store, and what happens when readers fail.

use {
    key::{Vm, Zone, clock::Tick},
    member::{ChangeLog, Member, Reader, Source, Sources, readers},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

struct Entry {
    vm: Vm,
    zone: Zone,
    power: f64,
}

/// Returns a fleet over some zones, in which every tenth entry is strong.
fn fleet(entries: usize, zones: usize) -> Vec<Entry> {
    let entry = |number: usize| Entry {
        vm: Vm::from(format!("front-{number}").as_str()),
        zone: Zone::from(format!("zone-{}", number % zones).as_str()),
        power: if (number / zones).is_multiple_of(10) { 0.5 } else { 0.1 },
    };
    (0..entries).map(entry).collect()
}

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 80).into()
}

fn members(fleet: &[Entry]) -> impl Iterator<Item = Member<'_>> {
    fleet.iter().map(|entry| Member {
        vm: &entry.vm,
        zone: &entry.zone,
        power: entry.power,
        address: address(),
    })
}

#[test]
fn the_number_of_readers_does_not_grow_with_the_fleet() {
    struct Case {
        entries: usize,
        zones: usize,
        max_readers: usize,
    }
    let cases = [
        Case { entries: 9, zones: 3, max_readers: 9 },
        Case { entries: 85, zones: 3, max_readers: 6 },
        Case { entries: 195, zones: 5, max_readers: 10 },
        Case { entries: 2_000, zones: 13, max_readers: 26 },
    ];
    for Case { entries, zones, max_readers } in cases {
        let fleet = fleet(entries, zones);
        let mut followers: BTreeMap<Vm, usize> = BTreeMap::new();
        let mut readers_count = 0;
        for entry in &fleet {
            let followed = readers(&entry.vm, &entry.zone, members(&fleet));
            let Some(first) = followed.first() else {
                readers_count += 1;
                continue;
            };
            assert!(followed.iter().all(|reader| reader.vm != entry.vm), "follows itself");
            let zone_of = |vm: &Vm| fleet.iter().find(|other| other.vm == *vm).map(|it| &it.zone);
            assert!(followed.iter().all(|reader| zone_of(&reader.vm) == Some(&entry.zone)));
            *followers.entry(first.vm.clone()).or_default() += 1;
        }
        assert!(readers_count <= max_readers, "{entries} entries: {readers_count} readers");
        let per_reader = entries / zones;
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most * 4 <= per_reader * 3 || most == 0, "{entries} entries: {most} follow one");
    }
}

#[test]
fn a_weak_entry_is_no_reader_beside_strong_ones() {
    let fleet = fleet(195, 5);
    for entry in &fleet {
        if readers(&entry.vm, &entry.zone, members(&fleet)).is_empty() {
            assert!(entry.power > 0.4, "{} has {}", entry.vm, entry.power);
        }
    }
}

#[test]
fn a_failed_reader_is_replaced_and_the_store_is_the_last_resort() {
    let tick = |ms: u64| Tick::from(1_000_000 + ms * 1_000);
    let reader = |name: &str| Reader { vm: Vm::from(name), address: address() };
    let list = vec![reader("first"), reader("second"), reader("third")];
    let mut sources = Sources::default();
    assert_eq!(sources.next(tick(0)), Source::Store, "no member is known");
    sources.set_readers(list.clone());
    for (number, expected) in list.iter().enumerate() {
        let now = tick(number as u64 * 100);
        assert_eq!(sources.next(now), Source::Entry(expected.clone()));
        sources.record_failure(expected, now);
    }
    assert_eq!(sources.next(tick(300)), Source::Store);
    assert_eq!(sources.next(tick(3_050)), Source::Entry(reader("first")), "asked again");
    sources.set_readers(Vec::new());
    assert_eq!(sources.next(tick(3_060)), Source::Store, "this entry leads");
}

#[test]
fn what_is_told_after_a_version_is_all_that_changed() {
    use key::{Era, Version};
    let version = |number| Version::in_era(Era::from(1), number).expect("a small version");
    let mut log: ChangeLog<u32> = ChangeLog::default();
    log.restart(version(10));
    assert_eq!(log.since(version(9)), None, "before the first full read");
    assert_eq!(log.since(Version::ZERO), None);
    for number in 11..6_000_u32 {
        log.record(version(u64::from(number)), number);
    }
    let expected: BTreeSet<u32> = (5_991..6_000).collect();
    assert_eq!(log.since(version(5_990)), Some(expected));
    assert_eq!(log.has_changed_since(version(5_998)), Some(true));
    assert_eq!(log.has_changed_since(version(5_999)), Some(false));
    assert_eq!(log.has_changed_since(version(12)), None);
    assert_eq!(log.since(version(12)), None, "changes that were dropped");
    let later_era = Version::in_era(Era::from(2), 5_990).expect("a small version");
    assert_eq!(log.since(later_era), None, "a version of another era");
}

/// What a fleet learns of one change, and the calls that it costs, in virtual time.
struct Outcome {
    store_calls_per_s: f64,
    slowest: Duration,
}

/// Plays ten seconds of a fleet in which each poll of the store takes a second, each poll of an
/// entry 800 ms without a change, and a call to a lost entry 1,200 ms. The change happens in the
/// middle, at which moment the entries in `lost` are gone.
fn play(fleet: &[Entry], lost: &BTreeSet<Vm>) -> Outcome {
    const SECONDS: u64 = 10;
    const CHANGE_AT_MS: u64 = 5_000;
    let (mut store_calls, mut slowest) = (0_u64, 0_u64);
    let mut known_at: BTreeMap<&Vm, u64> = BTreeMap::new();
    let is_reader = |entry: &Entry| readers(&entry.vm, &entry.zone, members(fleet)).is_empty();
    for (number, entry) in fleet.iter().enumerate().filter(|(_, entry)| is_reader(entry)) {
        let phase_ms = number as u64 * 37 % 1_000;
        store_calls += SECONDS;
        known_at.insert(&entry.vm, CHANGE_AT_MS + phase_ms);
    }
    for entry in fleet.iter().filter(|entry| !is_reader(entry) && !lost.contains(&entry.vm)) {
        let mut sources = Sources::default();
        sources.set_readers(readers(&entry.vm, &entry.zone, members(fleet)));
        let mut now_ms = CHANGE_AT_MS;
        let learned_at = loop {
            let now = Tick::from(1_000_000 + now_ms * 1_000);
            match sources.next(now) {
                Source::Entry(reader) if lost.contains(&reader.vm) => {
                    sources.record_failure(&reader, now);
                    now_ms += 1_200;
                }
                Source::Entry(reader) => {
                    break known_at.get(&reader.vm).copied().unwrap_or(now_ms).max(now_ms) + 10;
                }
                Source::Store => {
                    store_calls += 1;
                    break now_ms + 10;
                }
            }
        };
        slowest = slowest.max(learned_at - CHANGE_AT_MS);
    }
    Outcome {
        store_calls_per_s: store_calls as f64 / SECONDS as f64,
        slowest: Duration::from_millis(slowest),
    }
}

#[test]
fn a_change_reaches_all_in_time_at_a_cost_that_does_not_grow() {
    /// The time that the users allow from the store's word to the last request for a target, less
    /// the margin for requests on their way.
    const MAX_DELAY: Duration = Duration::from_millis(2_600);
    for (entries, zones) in [(12, 3), (85, 3), (200, 5), (2_000, 5)] {
        let fleet = fleet(entries, zones);
        let calm = play(&fleet, &BTreeSet::new());
        assert!(calm.slowest <= MAX_DELAY, "{entries} entries: {:?}", calm.slowest);
        assert!(calm.store_calls_per_s <= 12.0, "{entries}: {}", calm.store_calls_per_s);
        let reads = |entry: &&Entry| readers(&entry.vm, &entry.zone, members(&fleet)).is_empty();
        let lost_reader: BTreeSet<Vm> =
            fleet.iter().filter(reads).map(|entry| entry.vm.clone()).take(1).collect();
        let one_lost = play(&fleet, &lost_reader);
        assert!(one_lost.slowest <= MAX_DELAY, "{entries} entries: {:?}", one_lost.slowest);
    }
}
