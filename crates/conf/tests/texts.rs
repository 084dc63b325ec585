//! Settings and operators' texts that are refused, with the place and the reason.

use conf::{ErrorKind, OperatorConfig, Settings};

struct Case {
    name: &'static str,
    text: &'static str,
    line: usize,
    /// Where the value starts or, for one that was refused while it was read, where reading stopped.
    column: usize,
    matches: fn(&ErrorKind) -> bool,
}

const TEXTS: [Case; 7] = [
    Case {
        name: "unknown field after a comment of several lines",
        text: "/* one\ntwo */ { \"services\": [{ \"name\": \"x\", \"colour\": 1 }] }",
        line: 2,
        column: 45,
        matches: |kind| matches!(kind, ErrorKind::Invalid(detail) if detail.contains("colour")),
    },
    Case {
        name: "out of range",
        text: "{ \"services\": [{ \"name\": \"x\",\n\"limits\": { \"queue_ms\": 0 } }] }",
        line: 2,
        column: 27,
        matches: |kind| matches!(kind, ErrorKind::Invalid(detail) if detail.contains("1 to 600000")),
    },
    Case {
        name: "name that is no path segment",
        text: "{ \"services\": [{ \"name\": \"A b\" }] }",
        line: 1,
        column: 26,
        matches: |kind| matches!(kind, ErrorKind::Invalid(_)),
    },
    Case {
        name: "name twice",
        text: "{ \"services\": [{ \"name\": \"x\" },\n  { \"name\": \"x\" }] }",
        line: 2,
        column: 13,
        matches: |kind| *kind == ErrorKind::Duplicate("x".to_owned()),
    },
    Case {
        name: "unknown dependency",
        text: "{ \"services\": [{ \"name\": \"x\", \"depends_on\": [\"y\"] }] }",
        line: 1,
        column: 46,
        matches: |kind| *kind == ErrorKind::UnknownDependency("y".to_owned()),
    },
    Case {
        name: "circle",
        text: "{ \"services\": [{ \"name\": \"x\", \"depends_on\": [\"y\"] },\n\
               { \"name\": \"y\", \"depends_on\": [\"x\"] }] }",
        line: 1,
        column: 45,
        matches: |kind| *kind == ErrorKind::CircularDependency("x".to_owned()),
    },
    Case {
        name: "no JSON",
        text: "{ \"services\": [",
        line: 1,
        column: 15,
        matches: |kind| matches!(kind, ErrorKind::Invalid(_)),
    },
];

#[test]
fn wrong_texts_name_their_place() {
    for case in &TEXTS {
        let error = OperatorConfig::parse(case.text).expect_err(case.name);
        let position = error.position().expect(case.name);
        assert!((case.matches)(error.kind()), "{}: {error}", case.name);
        assert_eq!(
            (position.line, position.column),
            (case.line, case.column),
            "{}: {error}",
            case.name
        );
    }
}

const GOOD: &str = r#"{
  "cluster": "c", "vm": "v", "zone": "z", "platform": "127.0.0.1:4",
  "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "operator_listen": "127.0.0.1:3",
  "peers": ["127.0.0.1:5"], "lease": { "ttl_ms": 1300 }
}"#;

/// A change of the good settings that makes them wrong on a line.
struct Wrong {
    from: &'static str,
    to: &'static str,
    line: usize,
}

const SETTINGS: [Wrong; 6] = [
    Wrong { from: "127.0.0.1:4", to: "platform.example:4", line: 2 },
    Wrong { from: "\"127.0.0.1:2\"", to: "\"127.0.0.1:1\"", line: 3 },
    Wrong { from: "[\"127.0.0.1:5\"]", to: "[\"127.0.0.1:5\", \"127.0.0.1:5\"]", line: 4 },
    Wrong { from: "1300", to: "50", line: 4 },
    Wrong { from: "\"ttl_ms\": 1300", to: "\"ttl_ms\": 600", line: 4 },
    Wrong { from: "\"ttl_ms\": 1300", to: "\"renew_ms\": 600", line: 4 },
];

#[test]
fn wrong_settings_name_their_line() {
    Settings::parse(GOOD).expect("the settings are good");
    for wrong in &SETTINGS {
        let text = GOOD.replace(wrong.from, wrong.to);
        assert_ne!(text, GOOD, "{} is not part of the settings", wrong.from);
        let Err(error) = Settings::parse(&text) else { panic!("accepted: {}", wrong.to) };
        assert_eq!(error.position().map(|place| place.line), Some(wrong.line), "{error}");
    }
}

#[test]
fn the_samples_are_accepted() {
    for name in ["foldwise", "bellfoundry"] {
        let path = format!("{}/../../samples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("the sample can be read");
        assert_eq!(OperatorConfig::parse(&text).expect(name).services.len(), 3);
    }
    let path = format!("{}/../../samples/entry.jsonc", env!("CARGO_MANIFEST_DIR"));
    Settings::read(path.as_ref()).expect("the sample is good");
}
