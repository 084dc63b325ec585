//! Checks of the journals that the stand-ins write.
//!
//! The checks find shards and keys with two owners at a time, requests that ran without ownership,
//! and requests that ran more than once.

use {
    crate::journal::{Kind, Line},
    key::{Fence, Incarnation, Shard, Vm, clock::Tick},
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashMap},
};

/// A span of time in which a target owned a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The target.
    pub vm: Vm,
    /// The moment at which the ownership began.
    pub from: Tick,
    /// The moment at which the ownership ended at the latest.
    pub until: Tick,
}

/// Two targets that owned one shard at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The service.
    pub service: SmolStr,
    /// The shard.
    pub shard: Shard,
    /// The span that began first.
    pub first: Span,
    /// The span that began before the first one ended.
    pub second: Span,
}

type Spans = BTreeMap<(SmolStr, Shard), Vec<Span>>;

/// The lease of one target at the current line of the journal.
struct OpenLease {
    began_at: Tick,
    expires_at: Tick,
    shards: Vec<Shard>,
    incarnation: Incarnation,
}

/// Returns the spans of time in which each shard was owned, in the order of their beginning.
#[must_use]
pub fn ownership_spans(lines: &[Line]) -> Spans {
    let mut spans = Spans::new();
    let mut leases: HashMap<(SmolStr, Vm), OpenLease> = HashMap::new();
    for line in lines {
        match &line.kind {
            Kind::Started => {
                for ((service, vm), lease) in &mut leases {
                    if *vm == line.vm && lease.incarnation != line.incarnation {
                        // The previous process had ended when this one started.
                        lease.expires_at = lease.expires_at.min(line.at);
                        add_spans(&mut spans, service, vm, lease);
                        lease.shards.clear();
                    }
                }
            }
            Kind::Leased { service, until, shards } => {
                let lease = leases.entry((service.clone(), line.vm.clone())).or_insert(OpenLease {
                    began_at: line.at,
                    expires_at: *until,
                    shards: Vec::new(),
                    incarnation: line.incarnation,
                });
                if let Some(shards) = shards {
                    lease.expires_at = lease.expires_at.min(line.at);
                    add_spans(&mut spans, service, &line.vm, lease);
                    lease.shards = shards.iter().map(|(shard, _)| *shard).collect();
                    lease.began_at = line.at;
                } else if line.at > lease.expires_at {
                    // The lease had expired before it was renewed.
                    add_spans(&mut spans, service, &line.vm, lease);
                    lease.began_at = line.at;
                }
                lease.expires_at = *until;
                lease.incarnation = line.incarnation;
            }
            _ => {}
        }
    }
    for ((service, vm), lease) in &leases {
        add_spans(&mut spans, service, vm, lease);
    }
    for spans in spans.values_mut() {
        spans.sort_by_key(|span| span.from);
    }
    spans
}

/// Adds the span of a lease to each of its shards.
fn add_spans(spans: &mut Spans, service: &SmolStr, vm: &Vm, lease: &OpenLease) {
    if lease.expires_at <= lease.began_at {
        return;
    }
    for shard in &lease.shards {
        let span = Span { vm: vm.clone(), from: lease.began_at, until: lease.expires_at };
        spans.entry((service.clone(), *shard)).or_default().push(span);
    }
}

/// Returns the pairs of targets that owned one shard at the same time.
///
/// Each span is compared with the one before it that ended last.
#[must_use]
pub fn shard_overlaps(lines: &[Line]) -> Vec<Overlap> {
    let mut overlaps = Vec::new();
    for ((service, shard), spans) in ownership_spans(lines) {
        let mut latest: Option<Span> = None;
        for span in spans {
            if let Some(first) = &latest
                && first.vm != span.vm
                && span.from < first.until
            {
                let service = service.clone();
                overlaps.push(Overlap {
                    service,
                    shard,
                    first: first.clone(),
                    second: span.clone(),
                });
            }
            if latest.as_ref().is_none_or(|latest| span.until > latest.until) {
                latest = Some(span);
            }
        }
    }
    overlaps
}

/// Two targets that held one key under grants at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// The time of the second target's grant.
    pub at: Tick,
    /// A key that both targets held.
    pub key: u16,
    /// The target that already held the key.
    pub first: Vm,
    /// The target that was granted the key.
    pub second: Vm,
}

/// The grants that one incarnation of a target holds at the current line of the journal.
#[derive(Default)]
struct HeldGrants {
    incarnation: Incarnation,
    /// The first key, the last key and the end of each grant.
    spans: Vec<(u16, u16, Tick)>,
}

impl HeldGrants {
    /// Removes the keys from `first` to `last`.
    fn release(&mut self, first: u16, last: u16) {
        let mut remaining = Vec::new();
        for (from, to, expires_at) in self.spans.drain(..) {
            if to < first || last < from {
                remaining.push((from, to, expires_at));
                continue;
            }
            if from < first {
                remaining.push((from, first - 1, expires_at));
            }
            if last < to {
                remaining.push((last + 1, to, expires_at));
            }
        }
        self.spans = remaining;
    }
}

/// Returns the pairs of targets that held one key under grants at the same time.
#[must_use]
pub fn key_overlaps(lines: &[Line]) -> Vec<Double> {
    let mut grants: HashMap<Vm, HeldGrants> = HashMap::new();
    let mut overlaps = Vec::new();
    for line in lines {
        match &line.kind {
            Kind::Started => {
                let empty = HeldGrants { incarnation: line.incarnation, spans: Vec::new() };
                grants.insert(line.vm.clone(), empty);
            }
            Kind::Granted { first, last, until, .. } => {
                for (vm, other) in grants.iter().filter(|(vm, _)| **vm != line.vm) {
                    let overlap = other.spans.iter().find(|(from, to, expires_at)| {
                        *from <= *last && *first <= *to && *expires_at > line.at
                    });
                    overlaps.extend(overlap.map(|(from, _, _)| Double {
                        at: line.at,
                        key: *from.max(first),
                        first: vm.clone(),
                        second: line.vm.clone(),
                    }));
                }
                let own = grants.entry(line.vm.clone()).or_default();
                if own.incarnation == line.incarnation {
                    own.spans.push((*first, *last, *until));
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
    overlaps
}

/// A grant whose fencing token another target has had for one of its keys, or that is lower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleFence {
    /// The time of the grant.
    pub at: Tick,
    /// The target that accepted it.
    pub target: Vm,
    /// The fencing token of the grant.
    pub fence: Fence,
    /// The other target, and the highest fencing token that it has had for one of the keys.
    pub other: (Vm, Fence),
}

/// Returns the grants whose fencing token is not above all with which other targets had the keys.
#[must_use]
pub fn stale_fences(lines: &[Line]) -> Vec<StaleFence> {
    let mut granted: Vec<(u16, u16, Fence, &Vm)> = Vec::new();
    let mut stale = Vec::new();
    for line in lines {
        let Kind::Granted { first, last, fence, .. } = &line.kind else { continue };
        let others = granted.iter().filter(|(from, to, other_fence, vm)| {
            *vm != &line.vm && from <= last && first <= to && other_fence >= fence
        });
        stale.extend(others.max_by_key(|other| other.2).map(|other| StaleFence {
            at: line.at,
            target: line.vm.clone(),
            fence: *fence,
            other: (other.3.clone(), other.2),
        }));
        if !granted.contains(&(*first, *last, *fence, &line.vm)) {
            granted.push((*first, *last, *fence, &line.vm));
        }
    }
    stale
}

/// Returns how often the POST request with each id ran.
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

/// Returns the lines of requests that took effect on a target that did not own their shard.
#[must_use]
pub fn unowned_runs(lines: &[Line]) -> Vec<Line> {
    let spans = ownership_spans(lines);
    let is_unowned = |line: &&Line| {
        let Kind::Ran { service, held: Some((shard, _)), .. } = &line.kind else { return false };
        let is_owned = spans.get(&(service.clone(), *shard)).is_some_and(|spans| {
            spans
                .iter()
                .any(|span| span.vm == line.vm && span.from <= line.at && line.at <= span.until)
        });
        !is_owned
    };
    lines.iter().filter(is_unowned).cloned().collect()
}
