//! From a request's id to what happened to it, read from the logs of several processes.
//!
//! The logs are read once, line by line, in bounded memory: for each process only the newest belief
//! about each subject is kept, and a limited number of the orders of leaders. Lines of one process
//! are in the order in which it wrote them. Between processes only versions order anything; where a
//! line of another process is shown by its clock, the explanation says that its place is a guess.

use {
    serde::Serialize,
    serde_json::{Map, Value},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        fmt,
    },
};

/// The beliefs kept for one process.
const BELIEFS: usize = 4_096;

/// The orders kept of all processes.
const ORDERS: usize = 20_000;

/// The lines about one request that are kept.
const LINES: usize = 256;

/// How long before a request an order may lie to be shown with it, in milliseconds.
const NEARBY_MS: u64 = 10_000;

/// The kinds of lines that say what a process believes, each with the field that names the subject.
const BELIEF_KINDS: [(&str, &str); 2] = [("belief", "subject"), ("target", "subject")];

/// The kinds of lines that say what a leader did.
const ORDER_KINDS: [&str; 2] = ["order", "plan"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// The process that wrote it.
    pub vm: String,
    /// Its clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// What the line is about.
    pub kind: String,
    /// The rest.
    pub fields: Map<String, Value>,
}

/// What the logs say about one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Explanation {
    /// The id.
    pub id: String,
    /// The lines about the request, in the order written by each process.
    pub lines: Vec<LogLine>,
    /// What the processes believed when they wrote them.
    pub beliefs: Vec<LogLine>,
    /// What leaders ordered shortly before about the same targets or keys. Their place in time rests
    /// on the clocks of two VMs and is a guess.
    pub orders: Vec<LogLine>,
    /// Lines that could not be read.
    pub unreadable: usize,
    /// Lines that the processes left out to bound their logs.
    pub left_out: u64,
    /// What follows from the lines.
    pub conclusion: String,
}

/// Reads logs line by line.
#[derive(Debug, Default)]
pub struct LogReader {
    explanation: Explanation,
    beliefs: HashMap<String, BTreeMap<String, LogLine>>,
    orders: VecDeque<LogLine>,
}

impl LogReader {
    /// Returns a reader that looks for the request with `id`.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let explanation = Explanation { id: id.to_owned(), ..Explanation::default() };
        Self { explanation, ..Self::default() }
    }

    /// Takes one line; text before the first brace, such as that of a log collector, is passed over.
    pub fn read_line(&mut self, text: &str) {
        let Some(start) = text.find('{') else { return };
        let Some(line) = parse(&text[start..]) else {
            self.explanation.unreadable += 1;
            return;
        };
        let left_out = line.fields.get("left_out").and_then(Value::as_u64);
        self.explanation.left_out += left_out.unwrap_or(0);
        if line.fields.get("id").and_then(Value::as_str) == Some(&self.explanation.id) {
            self.take(line);
        } else if let Some((_, field)) = BELIEF_KINDS.iter().find(|(kind, _)| *kind == line.kind) {
            self.believe(line, field);
        } else if ORDER_KINDS.contains(&line.kind.as_str()) {
            if self.orders.len() == ORDERS {
                self.orders.pop_front();
            }
            self.orders.push_back(line);
        }
    }

    fn believe(&mut self, line: LogLine, field: &str) {
        let subject = line.fields.get(field).and_then(Value::as_str).unwrap_or_default().to_owned();
        let known = self.beliefs.entry(line.vm.clone()).or_default();
        if known.len() < BELIEFS || known.contains_key(&subject) {
            known.insert(subject, line);
        }
    }

    /// Takes a line about the request, with what its process believed then.
    fn take(&mut self, line: LogLine) {
        if self.explanation.lines.len() >= LINES {
            return;
        }
        let Explanation { beliefs, lines, .. } = &mut self.explanation;
        if let Some(known) = self.beliefs.get(&line.vm) {
            let named = ["target", "service"].map(|name| line.fields.get(name));
            let named = named.into_iter().flatten().filter_map(Value::as_str);
            let subjects = ["routing", "store", "lead"].into_iter().chain(named);
            for belief in subjects.filter_map(|subject| known.get(subject)) {
                if !beliefs.contains(belief) {
                    beliefs.push(belief.clone());
                }
            }
        }
        lines.push(line);
    }

    /// Returns what was found.
    #[must_use]
    pub fn finish(mut self) -> Explanation {
        let lines = &self.explanation.lines;
        let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
        let last = lines.iter().map(|line| line.at_ms).max().unwrap_or(0);
        let concerns = |order: &&LogLine| {
            let near = order.at_ms + NEARBY_MS >= first && order.at_ms <= last;
            near && lines.iter().any(|line| same_target(line, order) || same_key(line, order))
        };
        self.explanation.orders = self.orders.iter().filter(concerns).cloned().collect();
        self.explanation.conclusion = conclude(&self.explanation);
        self.explanation
    }
}

fn parse(text: &str) -> Option<LogLine> {
    let Value::Object(mut fields) = serde_json::from_str(text.trim_end()).ok()? else {
        return None;
    };
    let vm = fields.remove("vm")?.as_str()?.to_owned();
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let kind = fields.remove("kind")?.as_str()?.to_owned();
    Some(LogLine { vm, at_ms, kind, fields })
}

fn same_target(line: &LogLine, order: &LogLine) -> bool {
    let target =
        |line: &LogLine| line.fields.get("target").and_then(Value::as_str).map(str::to_owned);
    target(line).is_some() && target(line) == target(order)
}

fn same_key(line: &LogLine, order: &LogLine) -> bool {
    let number = |line: &LogLine, name: &str| line.fields.get(name).and_then(Value::as_u64);
    let span = number(order, "first").zip(number(order, "last"));
    number(line, "key").zip(span).is_some_and(|(key, (first, last))| first <= key && key <= last)
}

/// Says in a sentence what the request came to, and what would have been needed.
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
        "no-configuration" => "the process to have read the routing text from the store or a peer",
        "unknown-service" => "a route for its host and path in the version in force",
        "no-owner" => "a target that holds the key: see the orders about the key",
        "unreachable" => "a target of the service that can be reached",
        "overloaded" => "a target with room, or a retry within the budget",
        "quarantined" => "a request that does not crash the targets that run it",
        "deadline" => "an answer before the caller's deadline or the route's timeout",
        "connection-lost" => "a connection that lasts until the answer",
        "mismatched-answer" => "a whole answer that bears the request's id",
        _ => "a request that the service accepts",
    };
    let truth = match field("outcome") {
        "not-run" => "It has not run and will not.",
        _ => "It may have run: the caller was told that the outcome is unknown.",
    };
    format!("Refused: {}. {truth} Needed: {needed}.", field("reason"))
}

impl fmt::Display for LogLine {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} {} {}", self.at_ms, self.vm, self.kind)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "id") {
            match value {
                Value::String(text) => write!(out, " {name}={text}")?,
                other => write!(out, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "request {}", self.id)?;
        let parts = [
            ("what happened, as each process wrote it", &self.lines),
            ("what these processes believed then", &self.beliefs),
            ("orders about the same target or key (placed by clocks: a guess)", &self.orders),
        ];
        for (title, lines) in parts.iter().filter(|(_, lines)| !lines.is_empty()) {
            writeln!(out, "{title}:")?;
            for line in *lines {
                writeln!(out, "  {line}")?;
            }
        }
        writeln!(out, "{}", self.conclusion)?;
        if self.unreadable > 0 {
            writeln!(out, "{} lines could not be read", self.unreadable)?;
        }
        if self.left_out > 0 {
            writeln!(out, "{} lines were left out by the processes", self.left_out)?;
        }
        Ok(())
    }
}
