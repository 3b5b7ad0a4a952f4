//! The log lines and counters of segments.

use {
    super::{DECISIONS_METRIC, Relay},
    crate::host::Socket,
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        flow::FlowKey,
        handshake::{Decision, EndCause, UpstreamEnd},
        segment::{Control, Flow, Format, Segment, Sequence},
        time::{Moment, Span},
    },
};

/// Metric: number of undecodable datagrams and socket errors, labelled with the source.
const JUNK_METRIC: &str = "yuccacroft_agent_junk_total";
/// Metric: number of flows that the upstream refused, reset or closed, labelled with the cause.
const UPSTREAM_ENDS_METRIC: &str = "yuccacroft_agent_upstream_ends_total";
/// The cause that counts opening segments that the upstream has returned.
const RETURNED_OPENING: &str = "opening returned";
/// Metric: number of accepted flows whose callers sent no segment to this agent.
const EXPIRED_FLOWS_METRIC: &str = "yuccacroft_agent_expired_flows_total";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Logs an event of a request with its id and its flow.
    pub(super) fn log_request(
        &self,
        event: &'static str,
        segment: &Segment,
        datagram: &[u8],
        time: Option<Span>,
        now: Moment,
    ) {
        if segment.length == 0 {
            return;
        }
        let Some(id) = self.format.request_id(datagram) else { return };
        if let Some(log) = self.flow_log.normal(now) {
            let time = time.unwrap_or_default();
            info!(log, "{}", event; "request" => id, "flow" => %segment.flow,
                "active" => self.state.table.active_requests(), "waiting" => self.state.backlog().len(),
                "time" => %time, "service_time" => %self.state.table.service_time());
        }
    }

    pub(super) fn log_not_delivered(
        &self,
        flow: Flow,
        outcome: &'static str,
        cause: &'static str,
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => outcome, "cause" => cause).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            let key: FlowKey = flow.key();
            info!(log, "not delivered"; "flow" => %flow, "key" => %key, "outcome" => outcome,
                "cause" => cause);
        }
    }

    /// Logs a reset that the agent sends, since the upstream no longer holds the flow.
    pub(super) fn log_reset(
        &self,
        flow: Flow,
        cause: &'static str,
        age: Option<Span>,
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "reset", "cause" => cause).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "not delivered"; "flow" => %flow, "key" => %flow.key(), "outcome" => "reset",
                "cause" => cause, "sender" => "agent", "age" => %age_text(age));
        }
    }

    /// Logs that the upstream ends a flow, so that its end differs from a reset by the agent or a
    /// balancer.
    pub(super) fn log_upstream_end(&self, flow: Flow, end: UpstreamEnd, now: Moment) {
        let cause = end.cause.name();
        metrics::counter!(UPSTREAM_ENDS_METRIC, "cause" => cause).increment(1);
        let log = match end.cause {
            EndCause::Closed => self.flow_log.normal(now),
            EndCause::Refused | EndCause::Reset | EndCause::UnknownFlow => {
                self.flow_log.failure(now)
            }
        };
        if let Some(log) = log {
            info!(log, "ended by the upstream"; "flow" => %flow, "key" => %flow.key(),
                "cause" => cause, "sender" => "upstream", "age" => %age_text(end.age),
                "busy" => end.busy);
        }
    }

    /// Logs that the upstream has returned a segment, which it does not take.
    pub(super) fn log_bounce(&self, segment: &Segment, decision: &Decision, now: Moment) {
        if segment.control == Control::Open {
            metrics::counter!(UPSTREAM_ENDS_METRIC, "cause" => RETURNED_OPENING).increment(1);
        }
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "bounced"; "flow" => %segment.flow, "key" => %segment.flow.key(),
                "control" => ?segment.control, "decision" => decision.name());
        }
    }

    /// Logs the denial of a flow that was offered to this agent. The caller has acknowledged
    /// another upstream, unless `acknowledged` is one above `accepted`.
    pub(super) fn log_offered_denial(
        &self,
        key: FlowKey,
        acknowledged: Sequence,
        origin: SocketAddrV4,
        now: Moment,
    ) {
        let Some(offered) = self.state.table.offered_flow(key, now) else { return };
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "offered flow denied"; "key" => %key, "to" => %origin,
                "accepted" => ?offered.accepted.map(Sequence::get), "age" => %offered.age,
                "acknowledged" => acknowledged.get());
        }
    }

    /// Logs that a flow was removed whose caller has sent no segment to this agent since the
    /// upstream accepted it.
    pub(super) fn log_expired(&self, flow: Flow, accepted: Sequence, now: Moment) {
        metrics::counter!(EXPIRED_FLOWS_METRIC).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "accepted flow expired"; "flow" => %flow, "accepted" => accepted.get());
        }
    }

    pub(super) fn log_junk(
        &self,
        source: &'static str,
        cause: &dyn std::fmt::Display,
        now: Moment,
    ) {
        metrics::counter!(JUNK_METRIC, "source" => source).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "junk dropped"; "source" => source, "cause" => %cause);
        }
    }

    pub(super) fn log_socket_error(&self, name: &'static str, error: &std::io::Error) {
        self.log_junk(name, error, self.clock.now());
    }
}

fn age_text(age: Option<Span>) -> Box<str> {
    age.map_or_else(|| "unknown".into(), |age| age.to_string().into())
}
