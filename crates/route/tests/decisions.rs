//! Choosing, retrying and quarantine.

use {
    conf::services::{Keyed, OperatorConfig},
    route::{
        Budget, Quarantine, Reason,
        choice::{Candidate, less_busy_of_two},
        locate,
        quarantine::{CrashReport, Fingerprint},
    },
    std::time::{Duration, Instant},
};

fn keyed(rule: &str) -> Keyed {
    let text = format!(
        r#"{{ "services": [{{ "name": "x", "keyed": {{ "key": {rule}, "shards": 2 }} }}] }}"#
    );
    OperatorConfig::parse(&text).expect("the text is valid").services[0]
        .keyed
        .clone()
        .expect("it is keyed")
}

struct Located {
    rule: &'static str,
    path: &'static str,
    header: Option<&'static str>,
    key: Result<&'static str, Reason>,
}

const LOCATED: [Located; 6] = [
    Located { rule: r#"{ "segment": 1 }"#, path: "/x/fold", header: None, key: Ok("fold") },
    Located { rule: r#"{ "segment": 2 }"#, path: "/x/a/fold/b", header: None, key: Ok("fold") },
    Located { rule: r#"{ "segment": 1 }"#, path: "/x", header: None, key: Err(Reason::NoKey) },
    Located { rule: r#"{ "segment": 1 }"#, path: "/x//b", header: None, key: Err(Reason::NoKey) },
    Located { rule: r#"{ "header": "x-key" }"#, path: "/x", header: Some("gong"), key: Ok("gong") },
    Located {
        rule: r#"{ "header": "x-key" }"#,
        path: "/x/y",
        header: None,
        key: Err(Reason::NoKey),
    },
];

#[test]
fn keys_are_found_by_their_rule() {
    for case in &LOCATED {
        let found = locate::key(&keyed(case.rule), case.path, |_| case.header);
        assert_eq!(found, case.key, "{} {}", case.rule, case.path);
        assert_eq!(locate::service(case.path), "x");
    }
}

#[test]
fn retries_are_a_share_of_requests() {
    let budget = Budget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(20);
        retries += usize::from(budget.withdraw());
    }
    assert_eq!(retries, 200);
}

struct Choice {
    in_flight: [usize; 3],
    failing: [bool; 3],
    draws: [usize; 2],
    chosen: usize,
}

const CHOICES: [Choice; 4] = [
    Choice { in_flight: [5, 1, 3], failing: [false; 3], draws: [0, 1], chosen: 1 },
    Choice { in_flight: [5, 1, 3], failing: [false; 3], draws: [0, 2], chosen: 2 },
    Choice { in_flight: [5, 1, 3], failing: [false, true, false], draws: [0, 1], chosen: 2 },
    // To pass over every target would be to serve nobody.
    Choice { in_flight: [5, 1, 3], failing: [true; 3], draws: [0, 1], chosen: 1 },
];

#[test]
fn the_less_busy_of_two_that_are_well_is_chosen() {
    for case in &CHOICES {
        let candidates: Vec<Candidate> = (0..3)
            .map(|at| Candidate { in_flight: case.in_flight[at], failing: case.failing[at] })
            .collect();
        let mut draws = case.draws.iter();
        let chosen = less_busy_of_two(&candidates, |_| *draws.next().expect("two draws"));
        assert_eq!(chosen, Some(case.chosen));
    }
    assert_eq!(less_busy_of_two(&[], |_| 0), None);
}

#[test]
fn two_deaths_without_an_answer_between_refuse_a_request() {
    let poison = Fingerprint::new("GET", "/x/poison", b"");
    let neighbour = Fingerprint::new("GET", "/x/fold", b"");
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let strike = |fingerprint, crash| CrashReport { fingerprint, crash };
    assert!(!quarantine.record_crash(strike(poison, 1), now));
    assert!(!quarantine.record_crash(strike(poison, 1), now), "one death seen twice counts once");
    assert!(!quarantine.record_crash(strike(neighbour, 1), now));
    assert!(quarantine.is_suspect(neighbour));
    quarantine.clear(neighbour);
    assert!(!quarantine.record_crash(strike(neighbour, 2), now), "an answer between clears it");
    assert!(quarantine.record_crash(strike(poison, 2), now));
    quarantine.clear(poison);
    assert!(quarantine.is_refused(poison), "a late answer of another copy does not free it");
    let later = now + Duration::from_secs(601);
    quarantine.record_crash(strike(neighbour, 3), later);
    assert!(!quarantine.is_refused(poison), "strikes are forgotten");
}

#[test]
fn fingerprints_do_not_run_together() {
    assert_ne!(Fingerprint::new("GET", "/ab", b"c"), Fingerprint::new("GET", "/a", b"bc"));
}
