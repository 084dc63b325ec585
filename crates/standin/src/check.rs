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
pub fn spans(lines: &[Line]) -> Spans {
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
pub fn overlaps(lines: &[Line]) -> Vec<Overlap> {
    let mut found = Vec::new();
    for ((service, shard), spans) in spans(lines) {
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

/// Returns how often each identity of a request took effect.
#[must_use]
pub fn runs(lines: &[Line]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for line in lines {
        if let Kind::Ran { id: Some(id), method, .. } = &line.kind
            && method == "POST"
        {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    runs
}

/// Returns the requests that took effect on a target while it did not own their shard.
#[must_use]
pub fn strays(lines: &[Line]) -> Vec<Line> {
    let spans = spans(lines);
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
