//! Sending grants to targets at the pace that module `outbox` of crate `hold` allows, and what comes
//! of them.

use {
    super::{
        State,
        leading::{CONNECT_LEASE, LEADERSHIP_LEASE, Leadership},
    },
    crate::control::{feeds::send, input::Input, orders},
    hold::{
        Instance, connections,
        outbox::Ticket,
        planner::{Grant, Outcome},
    },
    key::{Service, clock::Tick},
    platform::order::Connection,
    serde::Serialize,
    std::net::SocketAddr,
};

impl Leadership {
    /// Tells a planner that grants were not sent, and why.
    fn record_unsent(
        &mut self,
        service: &Service,
        instance: &Instance,
        grants: Vec<Grant>,
        outcome: Outcome,
        now: Tick,
    ) {
        let results: Vec<_> = grants.into_iter().map(|grant| (grant, outcome)).collect();
        if let Some(planner) = self.planners.get_mut(service) {
            planner.record_grants(instance, &results, now);
        }
    }
}

/// Grants to one target that wait to be sent.
#[derive(Debug)]
pub(super) struct GrantBatch {
    service: Service,
    instance: Instance,
    address: SocketAddr,
    grants: Vec<Grant>,
    /// When the planner asked for them.
    queued_at: Tick,
}

impl GrantBatch {
    pub(super) fn new(
        service: Service,
        instance: Instance,
        address: SocketAddr,
        grants: Vec<Grant>,
    ) -> Self {
        Self { service, instance, address, grants, queued_at: Tick::now() }
    }
}

/// Grants that were sent to one target, and what came of each.
#[derive(Debug)]
pub(crate) struct SentGrants {
    ticket: Ticket,
    begun_at: Tick,
    service: Service,
    instance: Instance,
    results: Vec<(Grant, Outcome)>,
}

/// What came of grants.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct GrantCounts {
    granted: usize,
    unsent: usize,
    lost: usize,
    other: usize,
    /// The longest time for which a batch waited in this process, in milliseconds.
    max_wait_ms: u64,
    /// The longest time from the beginning of a batch to its end, in milliseconds.
    max_round_ms: u64,
}

impl GrantCounts {
    fn record(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Granted => &mut self.granted,
            Outcome::Unsent => &mut self.unsent,
            Outcome::Lost => &mut self.lost,
            Outcome::Withheld | Outcome::Fenced | Outcome::Refused | Outcome::Ended => {
                &mut self.other
            }
        };
        *count += 1;
    }
}

/// The journal line about the grants of the last second.
#[derive(Serialize)]
pub(super) struct GrantsLine {
    /// The batches that wait to be sent.
    pub(super) waiting: usize,
    #[serde(flatten)]
    pub(super) counts: GrantCounts,
}

/// Returns whether a target was reached with a batch of grants, as far as the outcomes show it.
fn is_reached(results: &[(Grant, Outcome)]) -> Option<bool> {
    let (_, outcome) = results.first()?;
    match outcome {
        Outcome::Withheld => None,
        Outcome::Unsent | Outcome::Lost => Some(false),
        Outcome::Granted | Outcome::Fenced | Outcome::Refused | Outcome::Ended => Some(true),
    }
}

impl State {
    /// Begins to send the grants that may be sent now.
    pub(super) fn begin_grants(&mut self, now: Tick) {
        loop {
            let Some(leadership) = &mut self.leadership else {
                self.outbox.discard_waiting();
                return;
            };
            let Some((ticket, batch)) = self.outbox.begin_next(now) else { return };
            let waited_ms = now.since(batch.queued_at).as_millis() as u64;
            let counts = &mut leadership.grant_counts;
            counts.max_wait_ms = counts.max_wait_ms.max(waited_ms);
            self.send_grants(ticket, batch, now);
        }
    }

    /// Sends grants over the connection on which the target got earlier ones. Reports them as
    /// unsent if that connection has closed: another instance may have started at the address, and
    /// only a new fence makes a new connection safe.
    fn send_grants(&mut self, ticket: Ticket, batch: GrantBatch, now: Tick) {
        let GrantBatch { service, instance, address, grants, .. } = batch;
        let Some(leadership) = &mut self.leadership else { return };
        let confirmed_for = now.since(leadership.confirmed_at);
        let checkout = if confirmed_for < LEADERSHIP_LEASE {
            leadership.connections.check_out(&instance, |connection| !connection.is_closed())
        } else {
            // The lease ran out while the batch waited.
            connections::Checkout::Connect
        };
        let checkout = match checkout {
            connections::Checkout::Reuse(connection) => orders::Checkout::Reuse(connection),
            connections::Checkout::Connect if confirmed_for < CONNECT_LEASE => {
                orders::Checkout::Connect
            }
            connections::Checkout::Connect => {
                self.outbox.record_end(ticket, false, now);
                leadership.record_unsent(&service, &instance, grants, Outcome::Withheld, now);
                self.read_rows(now);
                return;
            }
            connections::Checkout::Closed => {
                self.outbox.record_end(ticket, false, now);
                leadership.record_unsent(&service, &instance, grants, Outcome::Unsent, now);
                return;
            }
        };
        self.grant_batches += 1;
        let destination = self.destination(&instance, address);
        let (grant_duration, inputs) =
            (self.shared.settings.hold.as_duration(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (results, connection) =
                orders::send_grants(checkout, &destination, grant_duration, grants).await;
            let batch = SentGrants { ticket, begun_at: now, service, instance, results };
            send(&inputs, Input::GrantResults { batch, connection }).await;
        });
    }

    /// Passes the outcomes of grants to the planner, returns the connection to the pool and begins
    /// to send the next grants.
    pub(super) fn handle_grant_results(
        &mut self,
        batch: SentGrants,
        connection: Option<Connection>,
        now: Tick,
    ) {
        self.grant_batches -= 1;
        let SentGrants { ticket, begun_at, service, instance, results } = batch;
        let reached = is_reached(&results);
        if let Some(reached) = reached {
            self.shared.record_reach(&instance, reached);
        }
        self.outbox.record_end(ticket, reached == Some(true), now);
        let Some(leadership) = &mut self.leadership else { return };
        let counts = &mut leadership.grant_counts;
        counts.max_round_ms = counts.max_round_ms.max(now.since(begun_at).as_millis() as u64);
        results.iter().for_each(|(_, outcome)| counts.record(*outcome));
        if let Some(connection) = connection {
            leadership.connections.check_in(&instance, connection);
        }
        let Some(planner) = leadership.planners.get_mut(&service) else { return };
        let is_fenced = planner.record_grants(&instance, &results, now);
        for (grant, outcome) in &results {
            if *outcome != Outcome::Granted {
                let outcome = format!("{outcome:?}");
                self.log_order("grant", &instance, grant.span, grant.fence, &outcome);
            }
        }
        if is_fenced {
            self.read_rows(now);
        }
        self.begin_grants(now);
    }
}
