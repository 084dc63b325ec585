//! Invalid settings and operators' configuration are refused with the cause and its position, and
//! the samples are valid.

use conf::{ErrorKind, OperatorConfig, Settings};

struct InvalidConfig {
    name: &'static str,
    text: &'static str,
    line: usize,
    /// Where the value starts or, if its deserialization failed, where the parser stopped.
    column: usize,
    matches: fn(&ErrorKind) -> bool,
}

const INVALID_CONFIGS: [InvalidConfig; 7] = [
    InvalidConfig {
        name: "unknown field after a comment of two lines",
        text: "/* one\ntwo */ { \"services\": [{ \"name\": \"x\", \"colour\": 1 }] }",
        line: 2,
        column: 45,
        matches: |kind| matches!(kind, ErrorKind::Invalid(detail) if detail.contains("colour")),
    },
    InvalidConfig {
        name: "value out of range",
        text: "{ \"services\": [{ \"name\": \"x\",\n\"limits\": { \"queue_ms\": 0 } }] }",
        line: 2,
        column: 27,
        matches: |kind| matches!(kind, ErrorKind::Invalid(detail) if detail.contains("1 to 600000")),
    },
    InvalidConfig {
        name: "service name that is not a path segment",
        text: "{ \"services\": [{ \"name\": \"A b\" }] }",
        line: 1,
        column: 26,
        matches: |kind| matches!(kind, ErrorKind::Invalid(_)),
    },
    InvalidConfig {
        name: "duplicate service name",
        text: "{ \"services\": [{ \"name\": \"x\" },\n  { \"name\": \"x\" }] }",
        line: 2,
        column: 13,
        matches: |kind| *kind == ErrorKind::Duplicate("x".to_owned()),
    },
    InvalidConfig {
        name: "unknown dependency",
        text: "{ \"services\": [{ \"name\": \"x\", \"depends_on\": [\"y\"] }] }",
        line: 1,
        column: 46,
        matches: |kind| *kind == ErrorKind::UnknownDependency("y".to_owned()),
    },
    InvalidConfig {
        name: "circular dependency",
        text: "{ \"services\": [{ \"name\": \"x\", \"depends_on\": [\"y\"] },\n\
               { \"name\": \"y\", \"depends_on\": [\"x\"] }] }",
        line: 1,
        column: 45,
        matches: |kind| *kind == ErrorKind::CircularDependency("x".to_owned()),
    },
    InvalidConfig {
        name: "incomplete JSON",
        text: "{ \"services\": [",
        line: 1,
        column: 15,
        matches: |kind| matches!(kind, ErrorKind::Invalid(_)),
    },
];

#[test]
fn invalid_configuration_is_refused_with_its_position() {
    for case in &INVALID_CONFIGS {
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

const VALID_SETTINGS: &str = r#"{
  "cluster": "c", "vm": "v", "zone": "z", "platform": "127.0.0.1:4",
  "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "operator_listen": "127.0.0.1:3",
  "peers": ["127.0.0.1:5"], "lease": { "ttl_ms": 1300 }
}"#;

/// A change to the valid settings after which the given line is invalid.
struct InvalidChange {
    from: &'static str,
    to: &'static str,
    line: usize,
}

const INVALID_CHANGES: [InvalidChange; 6] = [
    InvalidChange { from: "127.0.0.1:4", to: "platform.example:4", line: 2 },
    InvalidChange { from: "\"127.0.0.1:2\"", to: "\"127.0.0.1:1\"", line: 3 },
    InvalidChange { from: "[\"127.0.0.1:5\"]", to: "[\"127.0.0.1:5\", \"127.0.0.1:5\"]", line: 4 },
    InvalidChange { from: "1300", to: "50", line: 4 },
    InvalidChange { from: "\"ttl_ms\": 1300", to: "\"ttl_ms\": 600", line: 4 },
    InvalidChange { from: "\"ttl_ms\": 1300", to: "\"renew_ms\": 600", line: 4 },
];

#[test]
fn invalid_settings_are_refused_with_their_line() {
    Settings::parse(VALID_SETTINGS).expect("the settings are valid");
    for change in &INVALID_CHANGES {
        let text = VALID_SETTINGS.replace(change.from, change.to);
        assert_ne!(text, VALID_SETTINGS, "{} is not part of the settings", change.from);
        let Err(error) = Settings::parse(&text) else { panic!("accepted: {}", change.to) };
        assert_eq!(error.position().map(|position| position.line), Some(change.line), "{error}");
    }
}

#[test]
fn samples_are_valid() {
    for name in ["foldwise", "bellfoundry"] {
        let path = format!("{}/../../samples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("the sample is readable");
        assert_eq!(OperatorConfig::parse(&text).expect(name).services.len(), 3);
    }
    let path = format!("{}/../../samples/entry.jsonc", env!("CARGO_MANIFEST_DIR"));
    Settings::read(path.as_ref()).expect("the sample is valid");
}
