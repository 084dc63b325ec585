//! Maps that are stored in several rows.

use {
    hold::{
        Instance, Map, Span,
        map::{Format, Holder, Replacement, Stored, StoredRow, parse_rows},
    },
    key::{Era, Fence, Service, Version, Vm, Zone},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// The largest row that the platform's store accepts, in bytes.
const MAX_ROW_BYTES: usize = 65_536;
/// The largest transaction that it accepts, in bytes of base64.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

fn service() -> Service {
    Service::from("keyed")
}

fn holder(number: u32) -> Holder {
    let [_, high, middle, low] = number.to_be_bytes();
    Holder {
        instance: Instance {
            vm: Vm::from(format!("i-{number:010x}").as_str()),
            started_at_ms: 1_779_988_889_866,
        },
        address: ([10, high, middle, low], 65_535).into(),
        zone: Zone::from("a-zone-name"),
    }
}

/// Returns a map with one span for each target.
fn map(targets: u32) -> Map {
    let mut map = Map::vacant();
    let first = |number: u32| (u64::from(number) * 65_536 / u64::from(targets)) as u32;
    map.assign_each((0..targets).map(|number| {
        let span = Span { first: first(number) as u16, last: (first(number + 1) - 1) as u16 };
        (span, Some(holder(number)))
    }));
    map
}

/// The rows of a store, which counts its versions.
#[derive(Clone, Default)]
struct Table {
    rows: BTreeMap<SmolStr, (Version, Vec<u8>)>,
    version: u64,
    era: Era,
}

impl Table {
    /// Writes a map over what is stored, and returns what was replaced and what is stored now.
    fn write(&mut self, stored: &Stored, map: &Map, format: Format) -> (Replacement, Stored) {
        let replacement = stored.replace(&service(), map, self.era, format);
        self.version += 1;
        let version = Version::in_era(self.era, self.version).expect("a small version");
        let first = (SmolStr::from("keyed"), replacement.first_row.clone());
        for (key, bytes) in replacement.parts.iter().cloned().chain([first]) {
            self.rows.insert(key, (version, bytes));
        }
        let mut map = map.clone();
        for assignment in &mut map.assignments {
            if assignment.fence == Fence::ZERO {
                assignment.fence = Fence::from(version.get());
            }
        }
        map.version = version;
        (replacement.clone(), replacement.into_stored(map, version))
    }

    fn read(&self) -> Result<Stored, String> {
        let rows: Vec<StoredRow<'_>> = self
            .rows
            .iter()
            .map(|(key, (version, bytes))| StoredRow { key, version: *version, bytes })
            .collect();
        let mut maps = parse_rows(&rows);
        assert_eq!(maps.len(), 1, "one service");
        maps.remove(0).1.map_err(|error| error.to_string())
    }
}

#[test]
fn no_row_is_longer_than_half_of_what_the_store_accepts() {
    for targets in [1, 20, 100, 300, 440, 460, 480, 500, 720, 1_000, 2_000, 3_500, 5_000] {
        let mut table = Table { version: 900_000_000, ..Table::default() };
        let (replacement, stored) = table.write(&Stored::absent(), &map(targets), Format::Parts);
        let (row_bytes, rows) = replacement.size();
        assert!(2 * row_bytes <= MAX_ROW_BYTES, "{targets} targets: {row_bytes} bytes");
        let all_bytes: usize = replacement.parts.iter().map(|(_, bytes)| bytes.len()).sum();
        let encoded = (all_bytes + replacement.first_row.len()) * 4 / 3;
        assert!(encoded <= MAX_TRANSACTION_BYTES, "{targets} targets: {encoded} bytes");
        assert!(rows <= 65, "{targets} targets: {rows} rows");
        assert_eq!(table.read().expect("a map"), stored, "{targets} targets");
    }
}

#[test]
fn a_small_map_is_stored_as_earlier_releases_read_it() {
    let mut table = Table::default();
    let (replacement, _) = table.write(&Stored::absent(), &map(300), Format::Parts);
    assert!(replacement.parts.is_empty());
    assert!(Map::parse(&replacement.first_row, Version::from(1)).is_ok());
}

#[test]
fn a_map_is_divided_only_if_every_entry_can_read_parts() {
    let mut table = Table::default();
    let (replacement, stored) = table.write(&Stored::absent(), &map(500), Format::Row);
    assert!(replacement.parts.is_empty());
    assert!(Map::parse(&replacement.first_row, Version::from(1)).is_ok());
    let (divided, stored) = table.write(&stored, &stored.map, Format::Parts);
    assert!(divided.parts.len() >= 2, "{} parts", divided.parts.len());
    assert_eq!(table.read().expect("a map").map.assignments, stored.map.assignments);
    // An entry of an earlier release has come back.
    let (joined, stored) = table.write(&stored, &stored.map, Format::Row);
    assert!(joined.parts.is_empty());
    assert_eq!(table.read().expect("a map"), stored);
}

#[test]
fn rows_of_earlier_releases_are_read() {
    /// Rows as 0f0ad98 and 9442a14 write them; the first ones stated no era.
    const ROWS: [&str; 2] = [
        r#"{"holders":[["i-7f3a91c2",1779261964609,"10.1.0.34:8548","a"]],"holdings":[[0,9,0,7],[10,65535,null,0]]}"#,
        r#"{"era":0,"holders":[["i-7f3a91c2",1779261964609,"10.1.0.34:8548","a"]],"holdings":[[0,9,0,7],[10,65535,null,0]]}"#,
    ];
    for text in ROWS {
        let row = StoredRow { key: "keyed", version: Version::from(9), bytes: text.as_bytes() };
        let (_, stored) = parse_rows(&[row]).remove(0);
        let map = stored.expect("a map").map;
        assert_eq!(map.version, Version::from(9));
        let fences: Vec<u64> = map.assignments.iter().map(|known| known.fence.get()).collect();
        assert_eq!(fences, [7, 9], "{text}");
    }
}

/// An entry of an earlier release must not take the first row for a map without holders: as the
/// leader it would give keys that are held to other targets.
#[test]
fn an_earlier_release_cannot_parse_the_first_row_of_a_divided_map() {
    let mut table = Table::default();
    let (replacement, _) = table.write(&Stored::absent(), &map(1_000), Format::Parts);
    assert!(Map::parse(&replacement.first_row, Version::from(1)).is_err());
    for (key, bytes) in &replacement.parts {
        assert!(Map::parse(bytes, Version::from(1)).is_err(), "{key}");
    }
}

#[test]
fn a_write_replaces_only_the_parts_that_change() {
    let mut table = Table::default();
    let (first, stored) = table.write(&Stored::absent(), &map(2_000), Format::Parts);
    let mut changed = stored.map.clone();
    changed.assign(Span { first: 5, last: 6 }, Some(holder(9)));
    let (second, stored) = table.write(&stored, &changed, Format::Parts);
    assert_eq!(second.parts.len(), 1, "of {} parts", first.parts.len());
    assert_eq!(table.read().expect("a map"), stored);
    let mut moved = stored.map.clone();
    moved.assign(Span { first: 32_760, last: 32_780 }, Some(holder(3)));
    let (third, stored) = table.write(&stored, &moved, Format::Parts);
    assert_eq!(third.parts.len(), 2, "a span over the end of a part");
    assert_eq!(table.read().expect("a map"), stored);
}

#[test]
fn rows_of_different_writes_are_not_taken_for_one_map() {
    let mut table = Table::default();
    let (_, stored) = table.write(&Stored::absent(), &map(1_000), Format::Parts);
    let before = table.clone();
    let mut renewed = stored.map.clone();
    renewed.renew_fences();
    table.write(&stored, &renewed, Format::Parts);
    for key in table.rows.keys().filter(|key| key.contains('/')) {
        let mut mixed = table.clone();
        mixed.rows.insert(key.clone(), before.rows[key].clone());
        assert!(mixed.read().is_err(), "{key} of the write before");
        mixed.rows.remove(key);
        assert!(mixed.read().is_err(), "{key} missing");
    }
}

/// Random writes, some by processes that have only read the rows, in stores that come back from a
/// copy.
#[test]
fn what_is_read_is_what_was_written_last() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table { era: Era::from(1), ..Table::default() };
        let targets = rng.random_range(300..900);
        let (_, mut stored) = table.write(&Stored::absent(), &map(targets), Format::Parts);
        let mut copy = table.clone();
        for step in 0..30 {
            let mut next = stored.map.clone();
            for _ in 0..rng.random_range(1..20) {
                let first = rng.random_range(0..u16::MAX);
                let last = first.saturating_add(rng.random_range(0..400));
                let number = rng.random_range(0..targets + 200);
                next.assign(Span { first, last }, Some(holder(number)));
            }
            if rng.random_bool(0.1) {
                next.renew_fences();
            }
            let format = if rng.random_bool(0.1) { Format::Row } else { Format::Parts };
            stored = table.write(&stored, &next, format).1;
            let read = table.read().expect("a map");
            assert_eq!(read, stored, "seed {seed}, step {step}");
            match rng.random_range(0..10) {
                0 => copy = table.clone(),
                1 => {
                    let era = Era::from(table.era.get() + 1);
                    table = Table { era, ..copy.clone() };
                    let in_new_era = |(key, (version, bytes)): (&SmolStr, &(Version, Vec<u8>))| {
                        let version = Version::in_era(era, version.number());
                        (key.clone(), (version.expect("a small version"), bytes.clone()))
                    };
                    table.rows = copy.rows.iter().map(in_new_era).collect();
                    stored = table.read().expect("a map of the era before");
                }
                2 => stored = read,
                _ => {}
            }
        }
    }
}
