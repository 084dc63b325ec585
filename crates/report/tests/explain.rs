//! The form of the log, and explanations made from it.

use {
    report::{Journal, explain::LogReader},
    serde::Serialize,
    serde_json::Value,
    std::{
        io::{self, Write},
        sync::{Arc, Mutex, mpsc},
        time::{Duration, Instant},
    },
};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    /// Waits for `count` lines.
    fn lines(&self, count: usize) -> Vec<Value> {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let text = self.0.lock().expect("no writer panicked").clone();
            let text = String::from_utf8(text).expect("text");
            if text.lines().count() >= count || Instant::now() > deadline {
                let parse = |line| serde_json::from_str(line).expect("a line of JSON");
                return text.lines().map(parse).collect();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[derive(Serialize)]
struct Note {
    id: &'static str,
    number: u32,
}

#[test]
fn a_line_bears_time_process_kind_and_fields() {
    let output = Output::default();
    let journal = Journal::with_output("e1", 10, output.clone()).expect("a writer");
    journal.log("attempt", &Note { id: "a1", number: 3 });
    let lines = output.lines(1);
    assert!(lines[0]["at_ms"].is_u64(), "{}", lines[0]);
    assert_eq!(lines[0]["vm"], "e1");
    assert_eq!(lines[0]["kind"], "attempt");
    assert_eq!(lines[0]["id"], "a1");
    assert_eq!(lines[0]["number"], 3);
}

#[test]
fn lines_beyond_the_limit_are_counted_with_the_next_one() {
    let output = Output::default();
    let journal = Journal::with_output("e1", 2, output.clone()).expect("a writer");
    let until = Instant::now() + Duration::from_secs(10);
    let mut number = 0;
    loop {
        journal.log("attempt", &Note { id: "a1", number });
        number += 1;
        let lines = output.lines(0);
        let counted = lines.iter().any(|line| line["left_out"].as_u64() > Some(0));
        if counted {
            break;
        }
        assert!(Instant::now() < until, "no line tells of those left out");
        std::thread::sleep(Duration::from_millis(10));
    }
    journal.log("other", &Note { id: "a2", number });
    assert!(output.lines(1).len() < number as usize);
}

/// An output that accepts nothing until it is let go.
struct Stalled(mpsc::Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The end of the sender lets the writer go on.
        let _: Result<(), mpsc::RecvError> = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stalls_holds_nothing_up() {
    let (release, stalled) = mpsc::channel();
    let journal = Journal::with_output("e1", 1_000_000, Stalled(stalled)).expect("a writer");
    for number in 0..5_000 {
        journal.log("attempt", &Note { id: "a1", number });
    }
    assert!(journal.dropped_lines() > 0, "the queue has no bound");
    drop(release);
}

struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    found: usize,
    beliefs: usize,
    orders: usize,
    unreadable: usize,
    conclusion: &'static str,
}

#[test]
fn a_request_is_explained_from_its_id() {
    let cases = [
        Case {
            name: "no line",
            lines: &[r#"{"at_ms":1,"vm":"e1","kind":"started"}"#],
            found: 0,
            beliefs: 0,
            orders: 0,
            unreadable: 0,
            conclusion: "No line",
        },
        Case {
            name: "a key without a holder",
            lines: &[
                r#"{"at_ms":1,"vm":"e1","kind":"belief","subject":"routing","version":4}"#,
                r#"{"at_ms":1,"vm":"e2","kind":"belief","subject":"routing","version":3}"#,
                r#"7.2 e3 {"at_ms":5,"vm":"e3","kind":"order","target":"t1","first":0,"last":9}"#,
                r#"{"at_ms":5,"vm":"e3","kind":"order","target":"t2","first":10,"last":19}"#,
                r#"{"at_ms":6,"vm":"e1","kind":"attempt","id":"a1","target":"t9","result":"shed"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"refused","id":"a1","key":4,"outcome":"not-run","reason":"no-owner"}"#,
            ],
            found: 2,
            beliefs: 1,
            orders: 1,
            unreadable: 0,
            conclusion: "Refused: no-owner. It has not run",
        },
        Case {
            name: "a lost answer",
            lines: &[
                "{ not json",
                r#"{"at_ms":6,"vm":"e1","kind":"target","subject":"t1","detail":"Ready"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"attempt","id":"a1","target":"t1","result":"late"}"#,
                r#"{"at_ms":8,"vm":"e1","kind":"refused","id":"a1","outcome":"unknown","reason":"deadline"}"#,
            ],
            found: 2,
            beliefs: 1,
            orders: 0,
            unreadable: 1,
            conclusion: "Refused: deadline. It may have run",
        },
        Case {
            name: "answered in the end",
            lines: &[
                r#"{"at_ms":7,"vm":"e1","kind":"attempt","id":"a1","target":"t1","result":"shed"}"#,
            ],
            found: 1,
            beliefs: 0,
            orders: 0,
            unreadable: 0,
            conclusion: "A target answered",
        },
    ];
    for case in cases {
        let mut reader = LogReader::new("a1");
        case.lines.iter().for_each(|line| reader.read_line(line));
        let explanation = reader.finish();
        let name = case.name;
        assert_eq!(explanation.lines.len(), case.found, "{name}: {explanation}");
        assert_eq!(explanation.beliefs.len(), case.beliefs, "{name}: {explanation}");
        assert_eq!(explanation.orders.len(), case.orders, "{name}: {explanation}");
        assert_eq!(explanation.unreadable, case.unreadable, "{name}");
        assert!(explanation.conclusion.starts_with(case.conclusion), "{name}: {explanation}");
    }
}
