//! Logs and metrics of the packet path that no decision depends on.

use {
    super::{ACTIVE_REQUESTS_METRIC, OPEN_FLOWS_METRIC, Relay, WAITING_REQUESTS_METRIC},
    crate::host::Socket,
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        segment::{Flow, Format, Segment, Sequence},
        time::Moment,
    },
};

/// Metric: number of datagrams, labelled with direction and kind.
const MESSAGES_METRIC: &str = "yuccacroft_agent_messages_total";
/// Metric: bytes of datagrams without the headers of IP and UDP, labelled with direction and kind.
const MESSAGE_BYTES_METRIC: &str = "yuccacroft_agent_message_bytes_total";
/// Metric: number of accepted flows whose callers sent no segment to this agent.
const EXPIRED_FLOWS_METRIC: &str = "yuccacroft_agent_expired_flows_total";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Updates the gauges and the counters of messages.
    pub fn update_metrics(&self) {
        metrics::gauge!(OPEN_FLOWS_METRIC).set(f64::from(self.state.table.open_flows().get()));
        metrics::gauge!(ACTIVE_REQUESTS_METRIC).set(f64::from(self.state.table.active_requests()));
        metrics::gauge!(WAITING_REQUESTS_METRIC).set(self.state.backlog().len() as f64);
        self.traffic.take(MESSAGES_METRIC, MESSAGE_BYTES_METRIC);
    }

    /// Logs the denial of a flow that was offered to this agent and that its upstream may have
    /// accepted. The caller has acknowledged another upstream, unless `acknowledged` is one above
    /// `accepted`.
    pub(super) fn log_offered_denial(&self, segment: &Segment, origin: SocketAddrV4, now: Moment) {
        let Some(offered) = self.state.table.offered_flow(segment.flow.key(), now) else { return };
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "offered flow denied"; "flow" => %segment.flow, "to" => %origin,
                "accepted" => ?offered.accepted.map(Sequence::get), "age" => %offered.age,
                "acknowledged" => segment.acknowledged.get(), "control" => ?segment.control);
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
}
