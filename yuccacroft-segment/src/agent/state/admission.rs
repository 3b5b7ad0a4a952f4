//! What an agent takes: new flows by its state and the outlook of their requests, and new flows and
//! requests under the limits of the upstream.

use {
    super::AgentState,
    yuccacroft_core::{
        handshake::{Intake, Offer},
        limits::UpstreamState,
        segment::Segment,
        time::{Moment, Span},
        units::Connections,
    },
};

/// Metric: number of flows that were passed on because the upstream fails their class or domain.
const DIVERTED_METRIC: &str = "yuccacroft_agent_diverted_flows_total";
/// Metric: number of offered flows, labelled with what their first requests can expect.
const OUTLOOKS_METRIC: &str = "yuccacroft_agent_outlooks_total";

/// Whether a new flow or a request has room under the limits of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It needs no room.
    NotNeeded,
    /// Its room is counted.
    Taken,
    /// No room is counted for it: the upstream has none, or it repeats an opening segment.
    Refused,
}

impl AgentState {
    /// Returns the number of further flows that the upstream takes now; `None` without a limit.
    pub fn room(&self, now: Moment) -> Option<Connections> {
        if !self.requirements.places {
            return None;
        }
        let upstream = self.upstream_state(now);
        self.limiter().room(upstream, now)
    }

    /// Returns the state of the upstream on which its limits depend. One that may have restarted
    /// counts as cold until it reports.
    fn upstream_state(&self, now: Moment) -> UpstreamState {
        let waiting = self.backlog().len() as u32;
        let monitor = self.monitor();
        let is_warming_up =
            monitor.may_have_restarted() || monitor.remaining_warmup(now) > Span::ZERO;
        UpstreamState {
            is_warming_up: monitor.last_report().map(|_| is_warming_up),
            had_earlier_agent: monitor.may_hold_unknown_flows(),
            held: self.table.held_flows(),
            waiting,
        }
    }

    /// Returns true if the agent accepts new flows and its upstream has room for one.
    pub fn takes_flow(&self, now: Moment) -> bool {
        self.is_accepting() && self.has_room(now)
    }

    fn has_room(&self, now: Moment) -> bool {
        self.room(now) != Some(Connections::new(0))
    }

    /// Returns the flows that the agent takes, as far as this one is concerned, and its reservation
    /// under the limits of the upstream.
    pub(in crate::agent) fn intake(
        &self,
        segment: &Segment,
        offer: &Offer,
        now: Moment,
    ) -> (Intake, Reservation) {
        // The upstream may accept a flow whose opening segment it has already.
        let is_repeated = self.table.offered_flow(segment.flow.key(), now).is_some();
        if !self.is_accepting() || !(is_repeated || self.admits(segment, offer, now)) {
            return (Intake::Closed, self.limited(Reservation::Refused));
        }
        if !self.requirements.places {
            return (Intake::Unlimited, Reservation::NotNeeded);
        }
        let upstream = self.upstream_state(now);
        let mut limiter = self.limiter();
        let max_flows = limiter.limits().and_then(|limits| limits.max_flows);
        let intake = max_flows.map_or(Intake::Unlimited, Intake::UpTo);
        if is_repeated {
            return (intake, Reservation::Refused);
        }
        if limiter.take_opening(upstream, now) {
            (intake, Reservation::Taken)
        } else {
            (Intake::Closed, Reservation::Refused)
        }
    }

    /// Returns a reservation where upstreams have limits.
    fn limited(&self, reservation: Reservation) -> Reservation {
        if self.requirements.places { reservation } else { Reservation::NotNeeded }
    }

    /// Reserves room for the request that a segment of a caller begins.
    pub(in crate::agent) fn reserve_request(
        &self,
        segment: &Segment,
        unsure: bool,
        now: Moment,
    ) -> Reservation {
        if !self.requirements.places {
            return Reservation::NotNeeded;
        }
        let Some(request) = self.table.new_request(segment, unsure) else {
            return Reservation::NotNeeded;
        };
        let upstream = self.upstream_state(now);
        let is_granted = self.limiter().take_request(upstream, request.opened_at, now);
        if is_granted { Reservation::Taken } else { Reservation::Refused }
    }

    /// Counts what goes to the upstream without room, and gives the room back that is not used.
    pub(in crate::agent) fn settle(
        &self,
        reservation: Reservation,
        is_delivered: bool,
        now: Moment,
    ) {
        match reservation {
            Reservation::Taken if !is_delivered => {
                self.limiter().release(now);
            }
            Reservation::Refused if is_delivered => self.limiter().record(now),
            _ => {}
        }
    }

    /// Takes room for a request that waits. Returns false if the upstream has none.
    pub fn take_room(&self, now: Moment) -> bool {
        if !self.requirements.places {
            return true;
        }
        let upstream = self.upstream_state(now);
        self.limiter().take_request(upstream, None, now)
    }

    /// Gives the room back that [`AgentState::take_room`] has taken at this time.
    pub fn return_room(&self, taken_at: Moment) {
        self.settle(self.limited(Reservation::Taken), false, taken_at);
    }

    /// Counts a request that goes to the upstream whether it has room or not.
    pub fn record_request_over_limit(&self, now: Moment) {
        self.settle(self.limited(Reservation::Refused), true, now);
    }

    /// Returns true if the agent accepts a new flow, given what the flow's first request can expect.
    fn admits(&self, segment: &Segment, offer: &Offer, now: Moment) -> bool {
        if !self.has_room(now) || self.diverts(segment, offer) {
            return false;
        }
        let Some(class) = offer.class.filter(|_| self.requirements.health) else { return true };
        let service = self.service_time();
        let workload = self.workload(service, now);
        let outlook = workload.outlook(&class, service);
        metrics::counter!(OUTLOOKS_METRIC, "outlook" => outlook.name()).increment(1);
        offer.turn().takes(outlook, workload.wait(), service)
    }

    /// Returns true if the upstream fails the requests of such flows and serves others, and another
    /// agent may take the flow.
    fn diverts(&self, segment: &Segment, offer: &Offer) -> bool {
        if !self.requirements.health || !offer.turn().has_alternatives() {
            return false;
        }
        let labels = self.labels(Some(offer.source()));
        let diverts = self.outcomes().diverts(&labels, segment.flow.key());
        if diverts {
            metrics::counter!(DIVERTED_METRIC).increment(1);
        }
        diverts
    }
}
