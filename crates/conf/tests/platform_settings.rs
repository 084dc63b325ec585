//! The settings of an entry on the platform.

use conf::{ErrorKind, PlatformSettings};

const GOOD: &str = r#"{
  // A comment, and a field of tomorrow.
  "tomorrow": {},
  "vm": "e1", "zone": "a",
  "listen": "10.0.0.1:1", "ready_listen": "10.0.0.1:2",
  "peer_listen": "10.0.0.1:3", "metrics_listen": "10.0.0.1:4",
  "store": "10.0.0.2:5", "grace": "6s", "leaving": "2000ms", "hold_limit": "10000ms",
  "retries": { "ratio": 0.2, "extra": 62, "window": "10s" }
}"#;

#[test]
fn good_settings_are_read_with_their_defaults() {
    let fleet = PlatformSettings::parse(GOOD).expect("good settings");
    assert_eq!(fleet.hold.as_millis(), 7_500);
    assert_eq!(fleet.stop_timeout().as_millis(), 5_400);
    assert!(PlatformSettings::has_platform_form(GOOD).expect("JSON with comments"));
}

#[test]
fn wrong_settings_are_refused() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        /// Whether the values contradict one another, rather than have a wrong type.
        contradiction: bool,
    }
    let cases = [
        Case { name: "no JSON", from: "{\n", to: "[", contradiction: false },
        Case { name: "a missing field", from: "\"vm\": \"e1\",", to: "", contradiction: false },
        Case { name: "a bad address", from: "10.0.0.1:3", to: "10.0.0.1", contradiction: false },
        Case { name: "a time without unit", from: "\"6s\"", to: "\"6\"", contradiction: false },
        Case { name: "a time as a number", from: "\"6s\"", to: "6", contradiction: false },
        Case { name: "too short a grace", from: "\"6s\"", to: "\"500ms\"", contradiction: true },
        Case {
            name: "a ratio beyond one",
            from: "\"ratio\": 0.2",
            to: "\"ratio\": 1.2",
            contradiction: true,
        },
        Case { name: "too long a hold", from: "10000ms", to: "7000ms", contradiction: true },
    ];
    for case in cases {
        let text = GOOD.replacen(case.from, case.to, 1);
        let error =
            PlatformSettings::parse(&text).err().unwrap_or_else(|| panic!("taken: {}", case.name));
        let contradiction = matches!(error.kind(), ErrorKind::Contradiction(_));
        assert_eq!(contradiction, case.contradiction, "{}: {error}", case.name);
    }
}
