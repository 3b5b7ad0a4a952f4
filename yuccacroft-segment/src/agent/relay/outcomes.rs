//! The outcomes of requests, as the segments of the upstream show them.

use {
    super::Relay,
    crate::host::Socket,
    yuccacroft_core::{
        handshake::{Decision, EndCause, UpstreamEnd},
        outcome::Outcome,
        segment::Format,
        time::Moment,
    },
};

/// Metric: number of requests and openings, labelled with the outcome.
const OUTCOMES_METRIC: &str = "yuccacroft_agent_outcomes_total";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Records the outcome of a request, if the deployment calls for it.
    pub(super) fn record_outcome(&self, outcome: Outcome, now: Moment) {
        if !self.state.requirements.health {
            return;
        }
        metrics::counter!(OUTCOMES_METRIC, "outcome" => outcome.name()).increment(1);
        self.state.outcomes().record(outcome, now);
    }

    /// Records that the upstream has ended the flow of a request in progress. One that was overdue
    /// has been counted already.
    pub(super) fn record_failed_request(&self, was_overdue: bool, outcome: Outcome, now: Moment) {
        if was_overdue {
            self.withdraw_overdue(now);
        }
        self.record_outcome(outcome, now);
    }

    fn withdraw_overdue(&self, now: Moment) {
        if self.state.requirements.health {
            self.state.outcomes().withdraw_overdue(now);
        }
    }

    /// Records the outcome if the segment begins a response. The last segment of the flow may have
    /// overtaken it, so the request need not be in progress.
    pub(super) fn record_response(&self, was_overdue: bool, datagram: &[u8], now: Moment) {
        if was_overdue {
            self.withdraw_overdue(now);
        }
        let is_recorded = self.state.requirements.health;
        if let Some(response) = self.format.response(datagram).filter(|_| is_recorded) {
            self.record_outcome(response.into(), now);
        }
    }

    /// Records that the upstream has ended a flow, if a caller waited for it.
    pub(super) fn record_end(&self, end: UpstreamEnd, now: Moment) {
        match end.cause {
            EndCause::Refused => self.record_outcome(Outcome::OpeningRefused, now),
            EndCause::Reset | EndCause::Closed if end.busy => {
                self.record_failed_request(end.was_overdue, Outcome::Reset, now);
            }
            EndCause::Reset | EndCause::Closed | EndCause::UnknownFlow => {}
        }
    }

    /// Records that the upstream has returned an opening segment. The return of a late copy shows
    /// nothing, and an upstream that drains returns openings as it should.
    pub(super) fn record_returned_opening(&self, decision: &Decision, now: Moment) {
        let is_first = matches!(decision, Decision::Pass(..) | Decision::Refuse(_));
        if is_first && self.state.monitor().is_accepting() {
            self.record_outcome(Outcome::OpeningRefused, now);
        }
    }
}
