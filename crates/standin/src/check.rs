//! What the journals prove.

use {
    crate::journal::{Kind, Line},
    key::{Incarnation, Shard, Vm, clock::Tick},
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashMap},
};

/// A span in which a target owned a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The target.
    pub vm: Vm,
    /// The first moment.
    pub from: Tick,
    /// The last possible moment.
    pub until: Tick,
}

/// Two targets that owned one shard at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The service.
    pub service: SmolStr,
    /// The shard.
    pub shard: Shard,
    /// The span that began first.
    pub first: Span,
    /// The span that began before the first had ended.
    pub second: Span,
}

type Spans = BTreeMap<(SmolStr, Shard), Vec<Span>>;

/// The lease that one run of a target holds while the journal is read.
struct Open {
    from: Tick,
    until: Tick,
    shards: Vec<Shard>,
    incarnation: Incarnation,
}

/// Returns when which target owned each shard.
#[must_use]
pub fn ownership_spans(lines: &[Line]) -> Spans {
    let mut spans = Spans::new();
    let mut open: HashMap<(SmolStr, Vm), Open> = HashMap::new();
    for line in lines {
        match &line.kind {
            Kind::Started => {
                for ((service, vm), lease) in &mut open {
                    if *vm == line.vm && lease.incarnation != line.incarnation {
                        // The process before had ended when this one started.
                        lease.until = lease.until.min(line.at);
                        close(&mut spans, service, vm, lease);
                        lease.shards.clear();
                    }
                }
            }
            Kind::Leased { service, until, shards } => {
                let lease = open.entry((service.clone(), line.vm.clone())).or_insert(Open {
                    from: line.at,
                    until: *until,
                    shards: Vec::new(),
                    incarnation: line.incarnation,
                });
                if let Some(shards) = shards {
                    lease.until = lease.until.min(line.at);
                    close(&mut spans, service, &line.vm, lease);
                    lease.shards = shards.iter().map(|(shard, _)| *shard).collect();
                    lease.from = line.at;
                } else if line.at > lease.until {
                    // The lease had lapsed in between.
                    close(&mut spans, service, &line.vm, lease);
                    lease.from = line.at;
                }
                lease.until = *until;
                lease.incarnation = line.incarnation;
            }
            _ => {}
        }
    }
    for ((service, vm), lease) in &open {
        close(&mut spans, service, vm, lease);
    }
    for spans in spans.values_mut() {
        spans.sort_by_key(|span| span.from);
    }
    spans
}

fn close(spans: &mut Spans, service: &SmolStr, vm: &Vm, lease: &Open) {
    if lease.until <= lease.from {
        return;
    }
    for shard in &lease.shards {
        let span = Span { vm: vm.clone(), from: lease.from, until: lease.until };
        spans.entry((service.clone(), *shard)).or_default().push(span);
    }
}

/// Returns every pair of targets that owned one shard at the same moment.
#[must_use]
pub fn shard_overlaps(lines: &[Line]) -> Vec<Overlap> {
    let mut found = Vec::new();
    for ((service, shard), spans) in ownership_spans(lines) {
        let mut latest: Option<Span> = None;
        for span in spans {
            if let Some(first) = &latest
                && first.vm != span.vm
                && span.from < first.until
            {
                let service = service.clone();
                found.push(Overlap { service, shard, first: first.clone(), second: span.clone() });
            }
            if latest.as_ref().is_none_or(|latest| span.until > latest.until) {
                latest = Some(span);
            }
        }
    }
    found
}

/// Two targets that held one key at once under grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// When the second one took the key.
    pub at: Tick,
    /// A key of both.
    pub key: u16,
    /// The target that held it.
    pub first: Vm,
    /// The target that took it.
    pub second: Vm,
}

/// What one run of a target holds under grants.
#[derive(Default)]
struct Grants {
    incarnation: Incarnation,
    held: Vec<(u16, u16, Tick)>,
}

impl Grants {
    fn release(&mut self, first: u16, last: u16) {
        let mut rest = Vec::new();
        for (from, to, until) in self.held.drain(..) {
            if to < first || last < from {
                rest.push((from, to, until));
                continue;
            }
            if from < first {
                rest.push((from, first - 1, until));
            }
            if last < to {
                rest.push((last + 1, to, until));
            }
        }
        self.held = rest;
    }
}

/// Returns every pair of targets that held one key at the same moment under grants.
#[must_use]
pub fn key_overlaps(lines: &[Line]) -> Vec<Double> {
    let mut grants: HashMap<Vm, Grants> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        match &line.kind {
            Kind::Started => {
                let fresh = Grants { incarnation: line.incarnation, held: Vec::new() };
                grants.insert(line.vm.clone(), fresh);
            }
            Kind::Granted { first, last, until, .. } => {
                for (vm, other) in grants.iter().filter(|(vm, _)| **vm != line.vm) {
                    let overlap = other.held.iter().find(|(from, to, until)| {
                        *from <= *last && *first <= *to && *until > line.at
                    });
                    found.extend(overlap.map(|(from, _, _)| Double {
                        at: line.at,
                        key: *from.max(first),
                        first: vm.clone(),
                        second: line.vm.clone(),
                    }));
                }
                let own = grants.entry(line.vm.clone()).or_default();
                if own.incarnation == line.incarnation {
                    own.held.push((*first, *last, *until));
                }
            }
            Kind::Released { first, last } => {
                if let Some(own) = grants.get_mut(&line.vm) {
                    own.release(*first, *last);
                }
            }
            _ => {}
        }
    }
    found
}

/// Returns how often each identity of a request took effect.
#[must_use]
pub fn run_counts(lines: &[Line]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for line in lines {
        if let Kind::Ran { id: Some(id), method, .. } | Kind::Began { id: Some(id), method, .. } =
            &line.kind
            && method == "POST"
        {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    runs
}

/// Returns the requests that took effect on a target while it did not own their shard.
#[must_use]
pub fn unowned_runs(lines: &[Line]) -> Vec<Line> {
    let spans = ownership_spans(lines);
    let is_stray = |line: &&Line| {
        let Kind::Ran { service, held: Some((shard, _)), .. } = &line.kind else { return false };
        let owned = spans.get(&(service.clone(), *shard)).is_some_and(|spans| {
            spans
                .iter()
                .any(|span| span.vm == line.vm && span.from <= line.at && line.at <= span.until)
        });
        !owned
    };
    lines.iter().filter(is_stray).cloned().collect()
}
