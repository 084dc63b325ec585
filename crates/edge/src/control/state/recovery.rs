//! What happens when the store comes back from a copy, in a new era.
//!
//! The copy lacks the last changes, so the entries know more than the store. Rows carry the era in
//! which they were written and never replace newer knowledge. A process that wins the leadership in
//! a new era first asks all entries what they know. If most of them have lived through the return,
//! that is all there is to know, and the rows are written again from it. If not, targets may hold
//! keys under grants that no process remembers, and no key is granted until these have run out.
//! Module `hold::recovery` decides whether that can be, and for how long.

use {
    super::{
        State,
        leading::{IN_FLIGHT_MARGIN, LEADERSHIP_LEASE},
    },
    crate::control::{
        feeds::send,
        input::Input,
        message::{Knowledge, KnowledgeQuery, MapVersion, NewMap},
        records::LEADERSHIP_KEY,
    },
    hold::{
        Map,
        recovery::{Evidence, Limits, Mark},
    },
    key::{Era, Service, Version, clock::Tick},
    std::net::SocketAddr,
};

/// How far a leader has come in finding out what the store may have lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Recovery {
    /// Nothing has been looked at.
    #[default]
    Unknown,
    /// The other entries are asked what they know.
    Collecting,
    /// Targets may hold keys until that instant under grants that no process remembers.
    Waiting(Tick),
    /// The leadership record is written, so that later leaders learn that this one sends orders.
    Marking,
    /// The maps are as new as any.
    Done,
}

impl State {
    /// Takes note of a new era of the store.
    pub(super) fn observe_era(&mut self, now: Tick) {
        let Some(era) = self.store.known_era() else { return };
        let first_era = *self.first_era.get_or_insert(era);
        if era <= self.era.max(first_era) {
            self.era = self.era.max(first_era);
            return;
        }
        self.era = era;
        self.log_belief("era", Version::from(era.get()), "the store came back from a copy");
        self.shared.counters.set("store_era", era.get());
        self.registry.record_era(era, now);
        self.dirty = true;
        self.read_rows_anew(now);
    }

    /// Reads the rows in the leader, whether or not an earlier read is still unanswered.
    pub(super) fn read_rows_anew(&mut self, now: Tick) {
        if let Some(leadership) = &mut self.leadership {
            leadership.forget_confirmation();
            self.read_rows(now);
        }
    }

    /// Returns what earlier leaders of this era tell in the leadership record.
    pub(super) fn recovery_mark(&self) -> Option<Mark> {
        let mark = self.leadership_record.as_ref()?.recovery?;
        (mark.era == self.store.era()).then_some(mark)
    }

    /// Returns what this process knows of grants that the store may have lost.
    fn evidence(&self) -> Evidence {
        let era = self.leadership_version.era();
        let routing = self.routing.routing();
        let is_keyed = |service: &Service| {
            routing
                .is_none_or(|routing| routing.service(service).is_some_and(|service| service.keyed))
        };
        let mut keyed = routing.iter().flat_map(|routing| &routing.services);
        let mark = self.recovery_mark();
        Evidence {
            era,
            is_first_start: self.shared.settings.first_start && self.first_era == Some(era),
            is_map_outdated: self
                .maps
                .iter()
                .any(|(service, map)| is_keyed(service) && map.version.era() < era),
            is_map_missing: keyed
                .any(|service| service.keyed && !self.maps.contains_key(&service.name)),
            mark,
            era_age: self.era_clock.age(era, mark),
        }
    }

    /// Returns how long grants may outlive what is known of them.
    fn grant_limits(&self) -> Limits {
        let grant_duration = self.shared.settings.hold.as_duration();
        Limits {
            lease: LEADERSHIP_LEASE,
            validity: hold::planner::max_grant_validity(grant_duration, IN_FLIGHT_MARGIN),
        }
    }

    /// Returns true if the leader may order something: no key can be held under a grant that it
    /// does not know of, and later leaders learn that it sends orders. If the store may have lost
    /// grants, it first asks the other entries.
    pub(super) fn has_recovered(&mut self, now: Tick) -> bool {
        let (evidence, limits) = (self.evidence(), self.grant_limits());
        let Some(leadership) = &mut self.leadership else { return false };
        match leadership.recovery {
            Recovery::Done => true,
            Recovery::Waiting(until) if now < until => false,
            Recovery::Collecting => false,
            Recovery::Unknown if evidence.may_lack_grants(limits) => {
                leadership.recovery = Recovery::Collecting;
                self.collect_knowledge(evidence.era);
                false
            }
            Recovery::Unknown | Recovery::Waiting(_) | Recovery::Marking => {
                self.finish_recovery(evidence, now)
            }
        }
    }

    /// Returns true if the leader may order something now; otherwise writes to the leadership record
    /// first that it will.
    fn finish_recovery(&mut self, evidence: Evidence, now: Tick) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        if !evidence.needs_mark() {
            leadership.recovery = Recovery::Done;
            return true;
        }
        leadership.recovery = Recovery::Marking;
        if !self.campaigning {
            self.write_leadership(true, now);
        }
        false
    }

    /// Asks all other entries what they know.
    fn collect_knowledge(&self, era: Era) {
        let query = KnowledgeQuery { era, maps: self.map_versions() };
        let others: Vec<SocketAddr> = self.other_entries();
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let answers = peers.collect_knowledge(others, &query).await;
            send(&inputs, Input::KnowledgeCollected { era, answers }).await;
        });
    }

    /// Returns what this process knows and the sender of a query does not.
    pub(super) fn knowledge_for(&self, query: &KnowledgeQuery) -> Knowledge {
        let is_former = self.leadership_version.era() < query.era;
        Knowledge {
            first_era: self.first_era,
            former_leadership: if is_former {
                self.leadership_version
            } else {
                self.former_leadership_version
            },
            maps: self.maps_newer_than(&query.maps),
            routing_version: self.routing_version(),
        }
    }

    /// Returns a version that a peer sent. An earlier release sends the store's number without an
    /// era, which then is the current one.
    pub(super) fn with_era(&self, version: Version) -> Version {
        if version.era() != Era::ZERO {
            return version;
        }
        Version::in_era(self.era, version.number()).unwrap_or(version)
    }

    /// Returns the versions of all maps.
    pub(super) fn map_versions(&self) -> Vec<MapVersion> {
        let versions = self
            .maps
            .iter()
            .map(|(service, map)| MapVersion { service: service.clone(), version: map.version });
        versions.collect()
    }

    /// Returns the maps that are newer here than another entry knows them.
    pub(super) fn maps_newer_than(&self, known: &[MapVersion]) -> Vec<NewMap> {
        let known_version = |service: &Service| {
            let reported = known.iter().find(|reported| reported.service == *service);
            reported.map_or(Version::ZERO, |reported| reported.version)
        };
        let newer = self.maps.iter().filter(|(service, map)| map.version > known_version(service));
        let newer = newer.map(|(service, map)| NewMap {
            service: service.clone(),
            version: map.version,
            map: Map::clone(map),
        });
        newer.collect()
    }

    /// Goes on with what all entries know, or waits until forgotten grants have run out.
    pub(super) fn handle_knowledge(
        &mut self,
        era: Era,
        answers: Vec<(SocketAddr, Knowledge)>,
        now: Tick,
    ) {
        let recovery = self.leadership.as_ref().map(|leadership| leadership.recovery);
        if recovery != Some(Recovery::Collecting) || self.leadership_version.era() != era {
            return;
        }
        // A process that has not answered may still renew grants that nobody here knows.
        let member_count = self.members.len();
        let may_be_renewed = answers.len() + 1 < member_count;
        let has_lived = |first_era: Option<Era>| first_era.is_some_and(|first| first < era);
        let lived_count = answers.iter().filter(|(_, answer)| has_lived(answer.first_era)).count()
            + usize::from(has_lived(self.first_era));
        let is_complete = 2 * lived_count > member_count;
        let has_news = self.apply_knowledge(answers, now);
        let evidence = self.evidence();
        let waiting_time = evidence.waiting_time(self.grant_limits(), may_be_renewed);
        let Some(leadership) = &mut self.leadership else { return };
        let outcome = if is_complete {
            if has_news {
                leadership.start_over(now);
                self.outbox.discard_waiting();
            }
            leadership.recovery = Recovery::Waiting(now);
            "continues with what the entries know".to_owned()
        } else {
            leadership.planners.clear();
            self.outbox.discard_waiting();
            leadership.recovery = Recovery::Waiting(now.plus(waiting_time));
            let answers = format!("{lived_count} of {member_count} entries remember");
            format!("{answers}: waits {} ms for forgotten grants", waiting_time.as_millis())
        };
        self.log_belief(LEADERSHIP_KEY, self.leadership_version, &outcome);
        self.read_rows(now);
        self.plan(now);
    }

    /// Applies what other entries know, and returns true if any of it was news: another process may
    /// have led after this one, and its grants are not in the planners of this one.
    fn apply_knowledge(&mut self, answers: Vec<(SocketAddr, Knowledge)>, now: Tick) -> bool {
        let mut has_news = false;
        for (address, answer) in answers {
            has_news |= answer.former_leadership > self.former_leadership_version;
            has_news |= !answer.maps.is_empty();
            for NewMap { service, version, map } in answer.maps {
                self.apply_map(service, Map { version, ..map });
            }
            self.hear_routing(answer.routing_version, address, now);
        }
        has_news
    }
}
