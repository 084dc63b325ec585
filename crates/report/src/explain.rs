//! Explains what happened to a request, from the structured logs of several processes.
//!
//! The logs are read once, line by line, in bounded memory. For each process, only the newest
//! belief about each subject is kept: what the process knew about the routing, the store, the
//! leader or a target, which may have been outdated. The number of leaders' orders that are kept is
//! limited as well.
//!
//! Lines of one process stay in the order in which it wrote them. Lines of different processes are
//! ordered only by the versions they carry. Where a line of another process is placed by its clock,
//! the explanation says that its place is a guess.

use {
    serde::Serialize,
    serde_json::{Map, Value},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        fmt,
    },
};

/// The maximum number of beliefs kept for one process.
const MAX_BELIEFS_PER_PROCESS: usize = 4_096;

/// The maximum number of orders kept, over all processes.
const MAX_ORDERS: usize = 20_000;

/// The maximum number of lines kept about the request.
const MAX_REQUEST_LINES: usize = 256;

/// The time before the first line of a request from which orders are shown, in milliseconds.
const ORDER_LOOKBACK_MS: u64 = 10_000;

/// The kinds of lines that state a belief, each with the field that names its subject.
const BELIEF_KINDS: [(&str, &str); 4] =
    [("belief", "subject"), ("target", "subject"), ("notice", "target"), ("limit", "target")];

/// The kind of lines that state what a target said of itself, with the time for which it holds.
const NOTICE_KIND: &str = "notice";

/// The kinds of lines that state an action of a leader.
const ORDER_KINDS: [&str; 2] = ["order", "plan"];

/// A parsed line of a structured log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// The VM of the process that wrote the line.
    pub vm: String,
    /// The wall clock of that process, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The kind of event.
    pub kind: String,
    /// The remaining fields.
    pub fields: Map<String, Value>,
}

/// The result of reading logs for one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Explanation {
    /// The id of the request.
    pub id: String,
    /// The lines about the request, in the order in which each process wrote them.
    pub lines: Vec<LogLine>,
    /// The beliefs that the processes held when they wrote these lines.
    pub beliefs: Vec<LogLine>,
    /// The recent orders of leaders about the same targets or keys. They are matched by comparing
    /// the clocks of two VMs, so their place in time is a guess.
    pub orders: Vec<LogLine>,
    /// The number of lines that could not be parsed.
    pub unreadable: usize,
    /// The number of lines that the processes left out because of their rate limit.
    pub left_out: u64,
    /// The outcome of the request, as a sentence.
    pub conclusion: String,
}

/// Collects the lines that concern one request.
#[derive(Debug, Default)]
pub struct LogReader {
    explanation: Explanation,
    /// For each process, the newest belief of a kind about a subject.
    beliefs: HashMap<String, BTreeMap<(String, &'static str), LogLine>>,
    orders: VecDeque<LogLine>,
}

impl LogReader {
    /// Returns a reader that searches for the request with `id`.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let explanation = Explanation { id: id.to_owned(), ..Explanation::default() };
        Self { explanation, ..Self::default() }
    }

    /// Reads one line.
    ///
    /// Text before the first brace, such as the prefix of a log collector, is ignored, and so is a
    /// line without a brace.
    pub fn read_line(&mut self, text: &str) {
        let Some(start) = text.find('{') else { return };
        let Some(line) = parse_line(&text[start..]) else {
            self.explanation.unreadable += 1;
            return;
        };
        let left_out = line.fields.get("left_out").and_then(Value::as_u64);
        self.explanation.left_out += left_out.unwrap_or(0);
        if line.fields.get("id").and_then(Value::as_str) == Some(&self.explanation.id) {
            self.record_request_line(line);
        } else if let Some((kind, field)) = BELIEF_KINDS.iter().find(|(kind, _)| *kind == line.kind)
        {
            self.record_belief(line, kind, field);
        } else if ORDER_KINDS.contains(&line.kind.as_str()) {
            if self.orders.len() == MAX_ORDERS {
                self.orders.pop_front();
            }
            self.orders.push_back(line);
        }
    }

    /// Replaces the belief of a process about the subject that `subject_field` names.
    ///
    /// A subject beyond the first [`MAX_BELIEFS_PER_PROCESS`] of a process is ignored.
    fn record_belief(&mut self, line: LogLine, kind: &'static str, subject_field: &str) {
        let subject = line.fields.get(subject_field).and_then(Value::as_str).unwrap_or_default();
        let subject = (subject.to_owned(), kind);
        let beliefs = self.beliefs.entry(line.vm.clone()).or_default();
        if beliefs.len() < MAX_BELIEFS_PER_PROCESS || beliefs.contains_key(&subject) {
            beliefs.insert(subject, line);
        }
    }

    /// Records a line about the request, with the beliefs that its process held at that time.
    fn record_request_line(&mut self, line: LogLine) {
        if self.explanation.lines.len() >= MAX_REQUEST_LINES {
            return;
        }
        let Explanation { beliefs, lines, .. } = &mut self.explanation;
        if let Some(process_beliefs) = self.beliefs.get(&line.vm) {
            let named = ["target", "service"].map(|name| line.fields.get(name));
            let named: Vec<&str> = named.into_iter().flatten().filter_map(Value::as_str).collect();
            let is_about = |subject: &str| {
                ["routing", "store", "lead"].contains(&subject) || named.contains(&subject)
            };
            for ((subject, _), belief) in process_beliefs {
                if (is_about(subject) || has_refused_for(&line, belief))
                    && !beliefs.contains(belief)
                {
                    beliefs.push(belief.clone());
                }
            }
        }
        lines.push(line);
    }

    /// Returns the explanation, after all lines have been read.
    #[must_use]
    pub fn finish(mut self) -> Explanation {
        let lines = &self.explanation.lines;
        let first_ms = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
        let last_ms = lines.iter().map(|line| line.at_ms).max().unwrap_or(0);
        let is_related = |order: &&LogLine| {
            let is_recent = order.at_ms + ORDER_LOOKBACK_MS >= first_ms && order.at_ms <= last_ms;
            is_recent
                && lines
                    .iter()
                    .any(|line| has_same_target(line, order) || has_key_in_span(line, order))
        };
        self.explanation.orders = self.orders.iter().filter(is_related).cloned().collect();
        self.explanation.conclusion = conclude(&self.explanation);
        self.explanation
    }
}

fn parse_line(text: &str) -> Option<LogLine> {
    let Value::Object(mut fields) = serde_json::from_str(text.trim_end()).ok()? else {
        return None;
    };
    let vm = fields.remove("vm")?.as_str()?.to_owned();
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let kind = fields.remove("kind")?.as_str()?.to_owned();
    Some(LogLine { vm, at_ms, kind, fields })
}

/// Returns true if a target wanted nothing when the process refused the request for lack of a
/// target that takes it. Both lines are of one process, so that their clocks are one.
fn has_refused_for(line: &LogLine, belief: &LogLine) -> bool {
    let is_refused_for_rate =
        line.fields.get("reason").and_then(Value::as_str) == Some("rate-limited");
    let for_ms = belief.fields.get("for_ms").and_then(Value::as_u64).unwrap_or(0);
    belief.kind == NOTICE_KIND && is_refused_for_rate && belief.at_ms + for_ms >= line.at_ms
}

fn has_same_target(line: &LogLine, order: &LogLine) -> bool {
    let target =
        |line: &LogLine| line.fields.get("target").and_then(Value::as_str).map(str::to_owned);
    target(line).is_some() && target(line) == target(order)
}

/// Returns true if the key of a request's line lies in the span of keys that an order names.
fn has_key_in_span(line: &LogLine, order: &LogLine) -> bool {
    let number = |line: &LogLine, name: &str| line.fields.get(name).and_then(Value::as_u64);
    let span = number(order, "first").zip(number(order, "last"));
    number(line, "key").zip(span).is_some_and(|(key, (first, last))| first <= key && key <= last)
}

/// Returns the outcome of the request as a sentence, with what was missing for a success.
fn conclude(explanation: &Explanation) -> String {
    let refused = explanation.lines.iter().rev().find(|line| line.kind == "refused");
    let Some(refused) = refused else {
        return if explanation.lines.is_empty() {
            "No line is about this id: a target answered it at the first attempt, or it came to a \
             process whose log is not here, or its lines were left out."
        } else {
            "A target answered after the attempts above failed."
        }
        .to_owned();
    };
    let field = |name: &str| refused.fields.get(name).and_then(Value::as_str).unwrap_or("");
    let needed = match field("reason") {
        "outdated-configuration" => "the leader or the store to confirm the routing configuration",
        "no-configuration" => "the process to have read the routing text from the store or a peer",
        "unknown-service" => "a route for its host and path in the version in force",
        "no-owner" => "a target that holds the key: see the orders about the key",
        "unreachable" => "a target of the service that can be reached",
        "overloaded" => "a target with room, or a retry within the budget",
        "rate-limited" => {
            "a target below the rate limit that it names, and that wants requests: see the attempts, \
             limits and notices"
        }
        "quarantined" => "a request that does not crash the targets that run it",
        "deadline" => "an answer before the caller's deadline or the route's timeout",
        "connection-lost" => "a connection that lasts until the answer",
        "mismatched-answer" => "a whole answer that bears the request's id",
        _ => "a request that the service accepts",
    };
    let execution = match field("outcome") {
        "not-run" => "It has not run and will not.",
        _ => "It may have run: the caller was told that the outcome is unknown.",
    };
    format!("Refused: {}. {execution} Needed: {needed}.", field("reason"))
}

impl fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} {}", self.at_ms, self.vm, self.kind)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "id") {
            match value {
                Value::String(text) => write!(formatter, " {name}={text}")?,
                other => write!(formatter, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.id)?;
        let sections = [
            ("what happened, as each process wrote it", &self.lines),
            ("what these processes believed then", &self.beliefs),
            ("orders about the same target or key (placed by clocks: a guess)", &self.orders),
        ];
        for (title, lines) in sections.iter().filter(|(_, lines)| !lines.is_empty()) {
            writeln!(formatter, "{title}:")?;
            for line in *lines {
                writeln!(formatter, "  {line}")?;
            }
        }
        writeln!(formatter, "{}", self.conclusion)?;
        if self.unreadable > 0 {
            writeln!(formatter, "{} lines could not be read", self.unreadable)?;
        }
        if self.left_out > 0 {
            writeln!(formatter, "{} lines were left out by the processes", self.left_out)?;
        }
        Ok(())
    }
}
