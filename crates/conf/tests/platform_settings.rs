//! Settings of an entry on the users' platform.

use conf::{ErrorKind, PlatformSettings};

const VALID_SETTINGS: &str = r#"{
  // A field that this version does not know.
  "future": {},
  "vm": "e1", "zone": "a",
  "listen": "10.0.0.1:1", "ready_listen": "10.0.0.1:2",
  "peer_listen": "10.0.0.1:3", "metrics_listen": "10.0.0.1:4",
  "store": "10.0.0.2:5", "grace": "6s", "leaving": "2000ms", "hold_limit": "10000ms",
  "retries": { "ratio": 0.2, "extra": 62, "window": "10s" }
}"#;

#[test]
fn valid_settings_get_their_defaults() {
    let settings = PlatformSettings::parse(VALID_SETTINGS).expect("the settings are valid");
    assert_eq!(settings.hold.as_millis(), 7_500);
    assert_eq!(settings.stop_timeout().as_millis(), 5_400);
    assert!(
        PlatformSettings::has_platform_form(VALID_SETTINGS)
            .expect("the text is JSON with comments")
    );
}

#[test]
fn invalid_settings_are_refused() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        /// Whether the error is a contradiction, rather than a value of the wrong type.
        contradiction: bool,
    }
    let cases = [
        Case { name: "invalid JSON", from: "{\n", to: "[", contradiction: false },
        Case { name: "a missing field", from: "\"vm\": \"e1\",", to: "", contradiction: false },
        Case { name: "a bad address", from: "10.0.0.1:3", to: "10.0.0.1", contradiction: false },
        Case {
            name: "a duration without a unit",
            from: "\"6s\"",
            to: "\"6\"",
            contradiction: false,
        },
        Case { name: "a duration as a number", from: "\"6s\"", to: "6", contradiction: false },
        Case {
            name: "a grace period below the reserve",
            from: "\"6s\"",
            to: "\"500ms\"",
            contradiction: true,
        },
        Case {
            name: "a retry ratio above one",
            from: "\"ratio\": 0.2",
            to: "\"ratio\": 1.2",
            contradiction: true,
        },
        Case {
            name: "a grant longer than the limit",
            from: "10000ms",
            to: "7000ms",
            contradiction: true,
        },
    ];
    for case in cases {
        let text = VALID_SETTINGS.replacen(case.from, case.to, 1);
        let error = PlatformSettings::parse(&text)
            .err()
            .unwrap_or_else(|| panic!("accepted: {}", case.name));
        let contradiction = matches!(error.kind(), ErrorKind::Contradiction(_));
        assert_eq!(contradiction, case.contradiction, "{}: {error}", case.name);
    }
}
