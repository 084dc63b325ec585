//! Obeying operators who evacuate availability zones.
//!
//! The rows come with the operators' table, and from other entries with reports and replies. What
//! they mean for keys and targets follows from the registry, which counts the targets of an
//! evacuated zone as neither ready nor leaving.

use {
    super::State,
    crate::control::message::EvacuationNotice,
    hold::{
        evacuation::{Evacuation, Reading, Row, Word},
        registry::Availability,
    },
    key::{Service, Zone, clock::Tick},
    platform::store::{self, Rows},
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// The longest time for which a report of another entry is assumed to have been on its way. Reports
/// are given up sooner, but one that was held back by the network may still arrive.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(1_000);

/// What an operator's table is known to say.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    /// Whether the rows are all that there are.
    pub(super) complete: bool,
    /// When the earliest change in the rows can have been.
    pub(super) changed_at: Tick,
    /// A moment at which nothing newer existed.
    pub(super) newest_at: Tick,
}

/// An evacuation that was logged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Logged {
    evacuation: Evacuation,
    /// Whether it was logged that the zone gets no more requests.
    is_obeyed: bool,
    /// The holders of keys in the zone when they were last counted.
    holders: usize,
}

/// The journal line about an evacuation.
#[derive(Serialize)]
struct EvacuationLine<'a> {
    zone: &'a Zone,
    event: &'a str,
    version: u64,
    /// Where this process learned it.
    source: &'a str,
    /// The longest time for which the row may have been acknowledged.
    age_ms: u64,
    /// The targets of the zone that hold keys, by the maps that this process knows.
    holders: usize,
}

impl State {
    /// Records the rows about evacuations in an answer about the operators' table.
    pub(super) fn apply_evacuation_rows(&mut self, rows: &Rows, answer: Answer, now: Tick) {
        let to_row = |row: &store::Row| {
            let zone = store::evacuated_zone(&row.key)?;
            Some(Row { zone, version: row.version, is_requested: row.value.is_some() })
        };
        self.registry.evacuations_mut().record_read(Reading {
            version: rows.version,
            complete: answer.complete,
            changed_at: answer.changed_at,
            newest_at: answer.newest_at,
            rows: rows.rows.iter().filter_map(to_row).collect(),
        });
        self.note_evacuations("store", now);
    }

    /// Returns the evacuations that this process knows, for other entries.
    pub(super) fn evacuation_notices(&self, now: Tick) -> Vec<EvacuationNotice> {
        let to_notice = |(zone, evacuation): (&Zone, &Evacuation)| EvacuationNotice {
            zone: zone.clone(),
            version: evacuation.version,
            age_ms: now.since(evacuation.since).as_millis() as u64 + 1,
        };
        self.registry.evacuations().iter().map(to_notice).collect()
    }

    /// Records what the leader's reply says of evacuations; its age counts from the report.
    pub(super) fn apply_replied_evacuations(&mut self, notices: &[EvacuationNotice], now: Tick) {
        self.apply_evacuation_notices(notices, self.reported_at, false, "leader", now);
    }

    /// Records what the report of another entry says of evacuations.
    pub(super) fn apply_reported_evacuations(&mut self, notices: &[EvacuationNotice], now: Tick) {
        self.apply_evacuation_notices(notices, now.before(MAX_REPORT_DELAY), true, "report", now);
    }

    fn apply_evacuation_notices(
        &mut self,
        notices: &[EvacuationNotice],
        at: Tick,
        is_estimate: bool,
        source: &str,
        now: Tick,
    ) {
        let mut changed = false;
        for notice in notices {
            let since = at.before(Duration::from_millis(notice.age_ms));
            let (zone, version) = (notice.zone.clone(), notice.version);
            let word = Word { zone, version, since, is_estimate };
            changed |= self.registry.evacuations_mut().record_word(word);
        }
        if changed {
            self.note_evacuations(source, now);
        }
    }

    /// Returns the time from which the targets of a zone get no more requests, if it is evacuated.
    pub(super) fn evacuated_at(&self, zone: &Zone) -> Option<Tick> {
        let evacuation = self.registry.evacuations().get(zone)?;
        Some(evacuation.since.plus(self.shared.evacuation_span()))
    }

    /// Returns the services all of whose targets are in zones that are evacuated, or leave.
    pub(super) fn evacuated_services(&self, now: Tick) -> HashSet<Service> {
        let of_availability = |is_expected: fn(Availability) -> bool| {
            let targets = self.registry.targets();
            let expected =
                targets.filter(move |target| is_expected(self.registry.availability(target, now)));
            expected.map(|target| target.registration.service.clone()).collect::<HashSet<_>>()
        };
        let evacuated = of_availability(|availability| availability == Availability::Evacuated);
        if evacuated.is_empty() {
            return evacuated;
        }
        let ready = of_availability(|availability| availability == Availability::Ready);
        evacuated.difference(&ready).cloned().collect()
    }

    /// Logs the evacuations that are new, have changed or ended, and has a snapshot published if
    /// there are any.
    fn note_evacuations(&mut self, source: &str, now: Tick) {
        let known: BTreeMap<Zone, Evacuation> = self
            .registry
            .evacuations()
            .iter()
            .map(|(zone, evacuation)| (zone.clone(), *evacuation))
            .collect();
        for (zone, evacuation) in &known {
            let logged = self.logged_evacuations.get(zone).copied();
            if logged.is_some_and(|logged| logged.evacuation == *evacuation) {
                continue;
            }
            self.dirty = true;
            let holders = self.holders_in(zone);
            if logged.is_none_or(|logged| logged.evacuation.version != evacuation.version) {
                self.log_evacuation(zone, *evacuation, "requested", source, now);
            }
            let is_obeyed = logged.is_some_and(|logged| logged.is_obeyed);
            let evacuation = *evacuation;
            self.logged_evacuations.insert(zone.clone(), Logged { evacuation, is_obeyed, holders });
        }
        let ended: Vec<(Zone, Logged)> = self
            .logged_evacuations
            .iter()
            .filter(|(zone, _)| !known.contains_key(*zone))
            .map(|(zone, logged)| (zone.clone(), *logged))
            .collect();
        for (zone, logged) in ended {
            self.dirty = true;
            self.logged_evacuations.remove(&zone);
            self.log_evacuation(&zone, logged.evacuation, "ended", source, now);
            for name in ["evacuation_version", "evacuation_obeyed_ms", "evacuation_holders"] {
                self.shared.counters.set_labelled(name, zone.as_str(), 0);
            }
        }
        self.shared.counters.set("evacuated_zones", known.len() as u64);
    }

    /// Logs the evacuations whose zones get no more requests from now on, or have no more holders
    /// of keys, and sets their metrics.
    pub(super) fn watch_evacuations(&mut self, now: Tick) {
        let zones: Vec<Zone> = self.logged_evacuations.keys().cloned().collect();
        for zone in zones {
            let holders = self.holders_in(&zone);
            let closed_at = self.evacuated_at(&zone).unwrap_or(now);
            let is_obeyed = closed_at <= now;
            let Some(logged) = self.logged_evacuations.get_mut(&zone) else { continue };
            let before = std::mem::replace(logged, Logged { is_obeyed, holders, ..*logged });
            let evacuation = logged.evacuation;
            if is_obeyed && !before.is_obeyed {
                self.log_evacuation(&zone, evacuation, "obeyed", "", now);
            }
            if holders == 0 && before.holders > 0 {
                self.log_evacuation(&zone, evacuation, "no keys left", "", now);
            }
            let counters = &self.shared.counters;
            let obeyed_ms = if is_obeyed { now.since(closed_at).as_millis() as u64 } else { 0 };
            counters.set_labelled("evacuation_version", zone.as_str(), evacuation.version.get());
            counters.set_labelled("evacuation_obeyed_ms", zone.as_str(), obeyed_ms);
            counters.set_labelled("evacuation_holders", zone.as_str(), holders as u64);
        }
    }

    /// Returns the number of targets of a zone that hold keys.
    fn holders_in(&self, zone: &Zone) -> usize {
        let holders = self.maps.values().flat_map(|map| &map.holders);
        holders.filter(|holder| holder.zone == *zone).count()
    }

    fn log_evacuation(
        &self,
        zone: &Zone,
        evacuation: Evacuation,
        event: &str,
        source: &str,
        now: Tick,
    ) {
        let line = EvacuationLine {
            zone,
            event,
            version: evacuation.version.get(),
            source,
            age_ms: now.since(evacuation.since).as_millis() as u64,
            holders: self.holders_in(zone),
        };
        self.shared.journal.log("evacuation", &line);
    }
}
