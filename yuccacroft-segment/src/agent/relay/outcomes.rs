//! The outcomes of requests, as the segments of the upstream show them.

use {
    super::Relay,
    crate::host::Socket,
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::FlowKey,
        handshake::{Decision, EndCause, FlowSource, UpstreamEnd},
        ids::Domain,
        outcome::{GroupChange, Labels, Outcome},
        segment::Format,
        time::Moment,
    },
};

/// Metric: number of requests and openings, labelled with the outcome.
const OUTCOMES_METRIC: &str = "yuccacroft_agent_outcomes_total";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Handles the failure domain that a balancer tells.
    pub(super) fn handle_home(&self, domain: Domain, from: SocketAddrV4, now: Moment) {
        if self.state.requirements.health {
            self.balancers.insert(from, now);
            self.state.record_balancer_domain(from, domain);
        }
    }

    /// Records the outcome of a request, if the deployment calls for it.
    pub(super) fn record_outcome(&self, source: Option<FlowSource>, outcome: Outcome, now: Moment) {
        if !self.state.requirements.health {
            return;
        }
        metrics::counter!(OUTCOMES_METRIC, "outcome" => outcome.name()).increment(1);
        let labels = self.state.labels(source);
        let changes = self.state.outcomes().record(&labels, outcome, now);
        for GroupChange { labels: Labels { class, domain }, is_failing } in changes {
            let domain = domain.map(|domain| domain.to_string());
            let priority = class.map(|class| class.priority.get());
            info!(self.flow_log.log(), "group of requests judged"; "failing" => is_failing,
                "domain" => domain, "priority" => priority);
        }
    }

    /// Returns where a flow comes from, if the outcomes of its requests are recorded.
    pub(super) fn outcome_source(&self, key: FlowKey) -> Option<FlowSource> {
        if self.state.requirements.health { self.state.table.source(key) } else { None }
    }

    /// Records that the upstream has ended the flow of a request in progress. One that was overdue
    /// has been counted already.
    pub(super) fn record_failed_request(
        &self,
        source: Option<FlowSource>,
        was_overdue: bool,
        outcome: Outcome,
        now: Moment,
    ) {
        if was_overdue {
            self.withdraw_overdue(source, now);
        }
        self.record_outcome(source, outcome, now);
    }

    fn withdraw_overdue(&self, source: Option<FlowSource>, now: Moment) {
        if self.state.requirements.health {
            let labels = self.state.labels(source);
            self.state.outcomes().withdraw_overdue(&labels, now);
        }
    }

    /// Records the outcome if the segment begins a response. The last segment of the flow may have
    /// overtaken it, so the request need not be in progress.
    pub(super) fn record_response(
        &self,
        source: Option<FlowSource>,
        was_overdue: bool,
        datagram: &[u8],
        now: Moment,
    ) {
        if was_overdue {
            self.withdraw_overdue(source, now);
        }
        let is_recorded = self.state.requirements.health;
        if let Some(response) = self.format.response(datagram).filter(|_| is_recorded) {
            self.record_outcome(source, response.into(), now);
        }
    }

    /// Records that the upstream has ended a flow, if a caller waited for it.
    pub(super) fn record_end(&self, source: Option<FlowSource>, end: UpstreamEnd, now: Moment) {
        match end.cause {
            EndCause::Refused => self.record_outcome(source, Outcome::OpeningRefused, now),
            EndCause::Reset | EndCause::Closed if end.busy => {
                self.record_failed_request(source, end.was_overdue, Outcome::Reset, now);
            }
            EndCause::Reset | EndCause::Closed | EndCause::UnknownFlow => {}
        }
    }

    /// Records that the upstream has returned an opening segment. The return of a late copy shows
    /// nothing, and an upstream that drains returns openings as it should.
    pub(super) fn record_returned_opening(&self, decision: &Decision, now: Moment) {
        let source = match decision {
            Decision::Pass(_, offer) => offer.source(),
            Decision::Refuse(origin) => FlowSource { class: None, origin: *origin },
            _ => return,
        };
        if self.state.monitor().is_accepting() {
            self.record_outcome(Some(source), Outcome::OpeningRefused, now);
        }
    }
}
