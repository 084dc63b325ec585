//! Telling all entries which keys are about to leave their holders.
//!
//! The leader does so when it sends a release, and when keys stay with their holder after all. The
//! release is on its way at the same time: waiting for the entries would delay every move by the
//! slowest of them, and a request that is sent meanwhile is denied as before.

use {
    super::State,
    crate::control::message::KeyMoves,
    hold::moves::{self, Announcement},
    key::{Service, clock::Tick},
};

impl State {
    /// Announces the moves of a service, if there is news.
    pub(super) fn announce_moves(&mut self, service: &Service, now: Tick) {
        let leadership_version = self.leadership_version;
        let Some(leadership) = &mut self.leadership else { return };
        let Some(planner) = leadership.planners.get(service) else { return };
        let current = planner.moves();
        let told = leadership.told_moves.entry(service.clone()).or_default();
        let is_news = moves::is_news(told, &current, planner.map());
        told.clone_from(&current);
        if !is_news {
            return;
        }
        leadership.announcements += 1;
        let announcement = Announcement {
            leadership: leadership_version,
            number: leadership.announcements,
            moves: current,
        };
        self.shared.counters.count("moves", "announced");
        self.shared.moves.apply(service, announcement.clone(), now);
        let message = KeyMoves { service: service.clone(), announcement };
        let (peers, others) = (self.peers.clone(), self.other_entries());
        tokio::task::spawn_local(async move { peers.push_moves(others, &message).await });
    }

    /// Applies what the leader announced.
    pub(super) fn apply_moves(&self, message: KeyMoves, now: Tick) {
        let KeyMoves { service, mut announcement } = message;
        announcement.leadership = self.with_era(announcement.leadership);
        self.shared.moves.apply(&service, announcement, now);
    }
}
