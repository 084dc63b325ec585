//! Versions over the eras of a store.

use key::{Era, Version};

fn version(era: u64, number: u64) -> Version {
    Version::in_era(Era::from(era), number).expect("a small version")
}

#[test]
fn a_later_era_has_higher_versions() {
    assert!(version(2, 1) > version(1, 999_999));
    assert!(version(1, 2) > version(1, 1));
    assert_eq!(version(0, 7), Version::from(7));
    assert_eq!(version(3, 0), Version::ZERO);
    assert_eq!((version(3, 8).era(), version(3, 8).number()), (Era::from(3), 8));
}

#[test]
fn a_row_of_an_earlier_era_keeps_its_era() {
    assert_eq!(version(3, 8).of_era(Era::from(1)), version(1, 8));
    assert_eq!(version(3, 8).of_era(Era::from(3)), version(3, 8));
    assert_eq!(version(3, 8).of_era(Era::from(4)), version(3, 8));
}

#[test]
fn a_version_is_exact_as_a_json_number() {
    const MAX_EXACT_NUMBER: u64 = 1 << 53;
    assert!(version(8_999, 999_999_999_999).get() < MAX_EXACT_NUMBER);
    assert_eq!(Version::in_era(Era::from(9_000), 1), None);
    assert_eq!(Version::in_era(Era::from(1), 1_000_000_000_000), None);
}
