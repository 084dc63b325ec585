//! Formats the responses of an entry as text for operators.

use {
    crate::table::Table,
    entry::{KeyStatus, Status},
    key::{Process, Vm},
    own::{
        Decision,
        decision::{Change, Proof, TakeoverReason},
    },
    report::{Kind, Record, burn::ServiceBurn},
    std::{collections::BTreeMap, fmt::Write, time::Duration},
};

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 86_400;
const PPM_PER_PERCENT: f64 = 10_000.0;

/// Formats a wall clock as a time of day in UTC, without a date: the records of one incident rarely
/// need one.
pub(crate) fn time(at_ms: u64) -> String {
    let seconds = at_ms / MILLIS_PER_SECOND % SECONDS_PER_DAY;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{:03}Z", at_ms % MILLIS_PER_SECOND)
}

fn process_name(process: Option<&Process>) -> String {
    process.map_or_else(|| "-".to_owned(), |process| process.vm.to_string())
}

fn process_names(processes: &[Process]) -> String {
    let names: Vec<&str> = processes.iter().map(|process| process.vm.as_str()).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(",") }
}

pub(crate) fn status(status: &Status) -> String {
    let mut text = String::new();
    let table = match status.table_age_ms {
        Some(age) => format!("table answered {age} ms ago"),
        None => "table has not answered yet".to_owned(),
    };
    writeln!(
        text,
        "{} in zone {}: configuration version {}, {table}\n",
        status.process.vm, status.zone, status.config,
    )
    .ok();
    let mut cells = Table::new(&[
        "CELL", "VERSION", "TERM", "GUARDIAN", "DEPUTIES", "FORMER", "TARGETS", "SHARDS", "VACANT",
    ]);
    for cell in &status.cells {
        cells.add_row(vec![
            cell.cell.clone(),
            cell.version.to_string(),
            cell.term.to_string(),
            process_name(cell.primary.as_ref()),
            process_names(&cell.standbys),
            process_names(&cell.former),
            cell.targets.to_string(),
            cell.shards.to_string(),
            cell.vacant.to_string(),
        ]);
    }
    text.push_str(&cells.render());
    text.push('\n');
    let mut targets =
        Table::new(&["SERVICE", "TARGET", "ZONE", "ADDRESS", "SHARDS", "IN FLIGHT", "STATE"]);
    for service in &status.services {
        for target in &service.targets {
            let state = match (target.leaving, target.failing) {
                (true, _) => "leaving",
                (_, true) => "passed over",
                _ => "ok",
            };
            targets.add_row(vec![
                service.name.to_string(),
                target.vm.to_string(),
                target.zone.to_string(),
                target.address.to_string(),
                if service.keyed { target.shards.to_string() } else { "-".to_owned() },
                target.in_flight.to_string(),
                state.to_owned(),
            ]);
        }
        if service.down {
            writeln!(text, "service {} is DOWN as seen from this entry", service.name).ok();
        }
    }
    text.push_str(&targets.render());
    text.push('\n');
    let mut peers = Table::new(&["ENTRY", "ZONE", "HEARD", "CONFIGURATION"]);
    for peer in &status.peers {
        peers.add_row(vec![
            peer.process.vm.to_string(),
            peer.zone.to_string(),
            format!("{} ms ago", peer.heartbeat_age_ms),
            peer.config.to_string(),
        ]);
    }
    text.push_str(&peers.render());
    text
}

pub(crate) fn why(status: &KeyStatus) -> String {
    let mut text = String::new();
    writeln!(
        text,
        "key {} of {}: shard {}, cell {} at version {}, guardian {}",
        status.key,
        status.service,
        status.shard,
        status.cell,
        status.version,
        process_name(status.primary.as_ref()),
    )
    .ok();
    match &status.owner {
        Some(owner) => writeln!(text, "owner: {owner} under fence {}", status.fence).ok(),
        None => writeln!(text, "owner: none; the guardian has no target to give it to").ok(),
    };
    match &status.decision {
        Some(record) => writeln!(
            text,
            "since: {} by {} under configuration {}: {}",
            time(record.at_ms),
            record.by.vm,
            record.config,
            assignment_reason(record, status),
        )
        .ok(),
        None => writeln!(text, "since: before the oldest record that is still kept").ok(),
    };
    if !status.possible_renewers.is_empty() {
        writeln!(
            text,
            "a move after a loss waits for the word of: {}\n  (if one of them has ended for good: \
             almondworks vouch --at IP:PORT --confirm VM VM)",
            process_names(&status.possible_renewers),
        )
        .ok();
    }
    if !status.recent.is_empty() {
        text.push_str("recent:\n");
        text.push_str(&history(&status.recent));
    }
    text
}

/// Describes the reason for which the shard of a key was assigned to its owner.
fn assignment_reason(record: &Record, status: &KeyStatus) -> String {
    let Kind::Ownership(Decision::Reassigned { changes, .. }) = &record.kind else {
        return describe_kind(&record.kind);
    };
    let change = changes.iter().find(|change| change.shard == status.shard);
    change.map_or_else(String::new, |change| {
        format!(
            "{} -> {}, {}",
            vm_name(change.from.as_ref()),
            vm_name(change.to.as_ref()),
            describe_proof(&change.proof)
        )
    })
}

fn vm_name(vm: Option<&Vm>) -> String {
    vm.map_or_else(|| "none".to_owned(), Vm::to_string)
}

fn describe_proof(proof: &Proof) -> String {
    match proof {
        Proof::Vacant => "it had no owner".to_owned(),
        Proof::Lapsed { unresponsive_for } => format!(
            "silent for {} ms, every renewer stopped and the last lease ran out",
            unresponsive_for.as_millis(),
        ),
        Proof::VmGone => "the platform lists the VM as gone".to_owned(),
        Proof::Revoked { took } => {
            format!("given up and acknowledged in {} ms", took.as_millis())
        }
        Proof::Operator => "an operator vouched that it has ended".to_owned(),
    }
}

pub(crate) fn history(records: &[Record]) -> String {
    let mut table = Table::new(&["TIME", "BY", "ZONE", "CONFIG", "DECISION"]);
    for record in records {
        table.add_row(vec![
            time(record.at_ms),
            record.by.vm.to_string(),
            record.zone.to_string(),
            record.config.to_string(),
            describe_kind(&record.kind),
        ]);
    }
    table.render()
}

/// Returns true if a record names a service in any of its fields.
pub(crate) fn mentions_service(record: &Record, service: &str) -> bool {
    let text = serde_json::to_string(&record.kind).unwrap_or_default();
    text.contains(&format!("\"service\":\"{service}\""))
}

fn describe_kind(kind: &Kind) -> String {
    match kind {
        Kind::Started => "started".to_owned(),
        Kind::Stopping => "told to stop".to_owned(),
        Kind::Ownership(decision) => describe_decision(decision),
        Kind::ConfigApplied { version } => format!("configuration {version} in force"),
        Kind::ConfigAccepted { version, by } => {
            format!("configuration {version} accepted from {by}")
        }
        Kind::Drained { vm, on: true, by } => format!("{by} asked to empty {vm}"),
        Kind::Drained { vm, on: false, by } => format!("{by} gave {vm} work again"),
        Kind::Vouched { vm, by } => format!("{by} vouched that {vm} has ended"),
        Kind::Ejected { service, vm, failures } => {
            format!("{service}: {vm} passed over after {failures} failures in a row")
        }
        Kind::Quarantined { service, .. } => {
            format!("{service}: a request that crashed two targets is refused from now on")
        }
        Kind::PlatformAvailability { up: true } => "platform answers again".to_owned(),
        Kind::PlatformAvailability { up: false } => "platform does not answer".to_owned(),
    }
}

fn describe_decision(decision: &Decision) -> String {
    match decision {
        Decision::Created { cells } => format!("first rows of {} cells", cells.len()),
        Decision::BecamePrimary { cell, term, predecessor, reason } => format!(
            "{cell}: guards it in term {term} after {}: {}",
            process_name(predecessor.as_ref()),
            describe_takeover_reason(reason),
        ),
        Decision::ActingStandby { cell, primary } => {
            format!("{cell}: renews for the silent {}", process_name(primary.as_ref()))
        }
        Decision::Resigned { cell, to } => format!("{cell}: handed over to {}", to.vm),
        Decision::Superseded { cell, term } => format!("{cell}: found a guardian of term {term}"),
        Decision::Suspected { cell, target, unresponsive_for } => {
            format!(
                "{cell}: {target} silent for {}, renewed no more",
                format_millis(*unresponsive_for)
            )
        }
        Decision::Returned { cell, target } => format!("{cell}: {target} answers again"),
        Decision::Restarted { cell, target } => format!("{cell}: {target} is a new process"),
        Decision::Reassigned { cell, changes } => format!("{cell}: {}", summarize_changes(changes)),
        Decision::Abandoned { cell, target } => {
            format!("{cell}: move off {target} given up, requests went on too long")
        }
        Decision::MembersChanged { cell, joined, left } => {
            format!("{cell}: joined {}, left {}", vm_names(joined), vm_names(left))
        }
        Decision::RenewersChanged { cell, standbys, former } => {
            format!(
                "{cell}: deputies {}, not yet stopped {}",
                process_names(standbys),
                process_names(former)
            )
        }
        Decision::FailoverDeclared { cell } => format!("{cell}: cut off, take-over declared"),
        Decision::FailoverWithdrawn { cell } => format!("{cell}: alive, take-over withdrawn"),
        Decision::Transferred { cell, to, proof } => {
            let to: Vec<String> =
                to.iter().map(|(cell, count)| format!("{count} to {cell}")).collect();
            format!("{cell}: shards given to others: {}; {}", to.join(", "), describe_proof(proof))
        }
        Decision::WriteUnconfirmed { cell } => {
            format!("{cell}: answer to a write lost, asking again")
        }
    }
}

fn describe_takeover_reason(reason: &TakeoverReason) -> String {
    match reason {
        TakeoverReason::Vacant => "it had none".to_owned(),
        TakeoverReason::Unresponsive(span) => format!("silent for {}", format_millis(*span)),
        TakeoverReason::Ended => "ended or resigned".to_owned(),
    }
}

fn format_millis(span: Duration) -> String {
    format!("{} ms", span.as_millis())
}

fn vm_names(vms: &[Vm]) -> String {
    let names: Vec<&str> = vms.iter().map(Vm::as_str).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(",") }
}

/// Summarizes changes of owners by previous and next owner, since the loss of one target may
/// reassign hundreds of shards.
fn summarize_changes(changes: &[Change]) -> String {
    let mut groups: BTreeMap<(String, String, String), usize> = BTreeMap::new();
    for change in changes {
        let key = (
            vm_name(change.from.as_ref()),
            vm_name(change.to.as_ref()),
            describe_proof(&change.proof),
        );
        *groups.entry(key).or_default() += 1;
    }
    let parts: Vec<String> = groups
        .into_iter()
        .map(|((from, to, proof), count)| format!("{count} shards {from} -> {to} ({proof})"))
        .collect();
    parts.join("; ")
}

pub(crate) fn burn(burns: &[ServiceBurn]) -> String {
    let mut table = Table::new(&["SERVICE", "OBJECTIVE", "5 MIN", "1 H", "6 H", "BAD/ALL IN 6 H"]);
    for burn in burns {
        let mut cells = vec![
            burn.service.to_string(),
            format!("{:.2} %", burn.objective_ppm as f64 / PPM_PER_PERCENT),
        ];
        cells.extend(burn.windows.iter().map(|window| format!("{:.2}", window.burn)));
        let longest = burn.windows.last();
        cells.push(longest.map_or_else(String::new, |window| {
            format!("{}/{}", window.count.bad, window.count.total)
        }));
        table.add_row(cells);
    }
    table.render()
}

/// Returns a line diff of two texts, including the lines that they share.
pub(crate) fn line_diff(before: &str, after: &str) -> String {
    let mut text = String::new();
    for change in similar::TextDiff::from_lines(before, after).iter_all_changes() {
        let sign = match change.tag() {
            similar::ChangeTag::Delete => '-',
            similar::ChangeTag::Insert => '+',
            similar::ChangeTag::Equal => ' ',
        };
        write!(text, "{sign}{}", change.to_string_lossy().trim_end_matches('\n')).ok();
        text.push('\n');
    }
    text
}
