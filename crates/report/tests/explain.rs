//! Tests of the structured log: the format of its lines, its bounds and explanations made from it.

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

/// An output in memory, shared with the writer thread.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedOutput {
    /// Waits up to 10 s for `count` lines, and returns all lines written so far.
    fn wait_for_lines(&self, count: usize) -> Vec<Value> {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let text = self.0.lock().expect("no writer panicked").clone();
            let text = String::from_utf8(text).expect("the log is UTF-8");
            if text.lines().count() >= count || Instant::now() > deadline {
                let parse = |line| serde_json::from_str(line).expect("the line is JSON");
                return text.lines().map(parse).collect();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[derive(Serialize)]
struct TestEvent {
    id: &'static str,
    number: u32,
}

#[test]
fn a_line_carries_time_process_kind_and_fields() {
    let output = SharedOutput::default();
    let journal = Journal::with_output("e1", 10, output.clone()).expect("the writer starts");
    journal.log("attempt", &TestEvent { id: "a1", number: 3 });
    let lines = output.wait_for_lines(1);
    assert!(lines[0]["at_ms"].is_u64(), "{}", lines[0]);
    assert_eq!(lines[0]["vm"], "e1");
    assert_eq!(lines[0]["kind"], "attempt");
    assert_eq!(lines[0]["id"], "a1");
    assert_eq!(lines[0]["number"], 3);
}

#[test]
fn lines_beyond_the_rate_limit_are_counted_in_the_next_line() {
    let output = SharedOutput::default();
    let journal = Journal::with_output("e1", 2, output.clone()).expect("the writer starts");
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut number = 0;
    loop {
        journal.log("attempt", &TestEvent { id: "a1", number });
        number += 1;
        let lines = output.wait_for_lines(0);
        let has_count = lines.iter().any(|line| line["left_out"].as_u64() > Some(0));
        if has_count {
            break;
        }
        assert!(Instant::now() < deadline, "no line carries the number of lines left out");
        std::thread::sleep(Duration::from_millis(10));
    }
    journal.log("other", &TestEvent { id: "a2", number });
    assert!(output.wait_for_lines(1).len() < number as usize);
}

/// An output that blocks every write until the other end of the channel is dropped.
struct StalledOutput(mpsc::Receiver<()>);

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _: Result<(), mpsc::RecvError> = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_does_not_block_the_journal() {
    let (release, released) = mpsc::channel();
    let journal =
        Journal::with_output("e1", 1_000_000, StalledOutput(released)).expect("the writer starts");
    for number in 0..5_000 {
        journal.log("attempt", &TestEvent { id: "a1", number });
    }
    assert!(journal.dropped_lines() > 0, "no line was dropped, so the queue is unbounded");
    drop(release);
}

struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    request_lines: usize,
    beliefs: usize,
    orders: usize,
    unreadable: usize,
    conclusion: &'static str,
}

#[test]
fn a_request_is_explained_from_its_id() {
    let cases = [
        Case {
            name: "no line about the request",
            lines: &[r#"{"at_ms":1,"vm":"e1","kind":"started"}"#],
            request_lines: 0,
            beliefs: 0,
            orders: 0,
            unreadable: 0,
            conclusion: "No line",
        },
        Case {
            name: "a key without an owner",
            lines: &[
                r#"{"at_ms":1,"vm":"e1","kind":"belief","subject":"routing","version":4}"#,
                r#"{"at_ms":1,"vm":"e2","kind":"belief","subject":"routing","version":3}"#,
                r#"7.2 e3 {"at_ms":5,"vm":"e3","kind":"order","target":"t1","first":0,"last":9}"#,
                r#"{"at_ms":5,"vm":"e3","kind":"order","target":"t2","first":10,"last":19}"#,
                r#"{"at_ms":6,"vm":"e1","kind":"attempt","id":"a1","target":"t9","result":"shed"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"refused","id":"a1","key":4,"outcome":"not-run","reason":"no-owner"}"#,
            ],
            request_lines: 2,
            beliefs: 1,
            orders: 1,
            unreadable: 0,
            conclusion: "Refused: no-owner. It has not run",
        },
        Case {
            name: "a target at its rate limit",
            lines: &[
                r#"{"at_ms":6,"vm":"e1","kind":"attempt","id":"a1","target":"t9","result":"rate limited"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"refused","id":"a1","key":4,"outcome":"not-run","reason":"rate-limited"}"#,
            ],
            request_lines: 2,
            beliefs: 0,
            orders: 0,
            unreadable: 0,
            conclusion: "Refused: rate-limited. It has not run and will not. Needed: a target below",
        },
        Case {
            name: "a target that named its limit",
            lines: &[
                r#"{"at_ms":5,"vm":"e1","kind":"limit","target":"t9","to":2.0,"source":"answer"}"#,
                r#"{"at_ms":5,"vm":"e1","kind":"limit","target":"t8","to":2.0,"source":"answer"}"#,
                r#"{"at_ms":6,"vm":"e1","kind":"attempt","id":"a1","target":"t9","result":"rate limited"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"refused","id":"a1","key":4,"outcome":"not-run","reason":"rate-limited"}"#,
            ],
            request_lines: 2,
            beliefs: 1,
            orders: 0,
            unreadable: 0,
            conclusion: "Refused: rate-limited.",
        },
        Case {
            name: "a target that wanted nothing, beside one that wants requests again",
            lines: &[
                r#"{"at_ms":1,"vm":"e1","kind":"notice","target":"t8","says":"come back later","for_ms":2000}"#,
                r#"{"at_ms":900,"vm":"e2","kind":"notice","target":"t7","says":"come back later","for_ms":9000}"#,
                r#"{"at_ms":1000,"vm":"e1","kind":"notice","target":"t9","says":"come back later","for_ms":2000}"#,
                r#"{"at_ms":2500,"vm":"e1","kind":"refused","id":"a1","key":4,"outcome":"not-run","reason":"rate-limited"}"#,
            ],
            request_lines: 1,
            beliefs: 1,
            orders: 0,
            unreadable: 0,
            conclusion: "Refused: rate-limited.",
        },
        Case {
            name: "an answer after the deadline",
            lines: &[
                "{ not json",
                r#"{"at_ms":6,"vm":"e1","kind":"target","subject":"t1","detail":"Ready"}"#,
                r#"{"at_ms":7,"vm":"e1","kind":"attempt","id":"a1","target":"t1","result":"late"}"#,
                r#"{"at_ms":8,"vm":"e1","kind":"refused","id":"a1","outcome":"unknown","reason":"deadline"}"#,
            ],
            request_lines: 2,
            beliefs: 1,
            orders: 0,
            unreadable: 1,
            conclusion: "Refused: deadline. It may have run",
        },
        Case {
            name: "answered at a later attempt",
            lines: &[
                r#"{"at_ms":7,"vm":"e1","kind":"attempt","id":"a1","target":"t1","result":"shed"}"#,
            ],
            request_lines: 1,
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
        assert_eq!(explanation.lines.len(), case.request_lines, "{name}: {explanation}");
        assert_eq!(explanation.beliefs.len(), case.beliefs, "{name}: {explanation}");
        assert_eq!(explanation.orders.len(), case.orders, "{name}: {explanation}");
        assert_eq!(explanation.unreadable, case.unreadable, "{name}");
        assert!(explanation.conclusion.starts_with(case.conclusion), "{name}: {explanation}");
    }
}
