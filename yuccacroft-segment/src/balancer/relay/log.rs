//! What a balancer logs and counts about segments and messages.

use {
    super::{DECISIONS_METRIC, Relay},
    crate::{
        balancer::grounds::{Grounds, Members},
        host::Socket,
        traffic::Direction,
    },
    slog::{error, info},
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::Instance,
        segment::{Format, Segment},
        steering::CachedFlow,
        time::Moment,
    },
    yuccacroft_rpc::tasks,
};

/// Metric: number of undecodable datagrams and socket errors, labelled with the source.
const JUNK_METRIC: &str = "yuccacroft_balancer_junk_total";
/// Metric: number of datagrams, labelled with direction and kind.
const MESSAGES_METRIC: &str = "yuccacroft_balancer_messages_total";
/// Metric: bytes of datagrams without the headers of IP and UDP, labelled with direction and kind.
const MESSAGE_BYTES_METRIC: &str = "yuccacroft_balancer_message_bytes_total";
/// Metric: number of ticks of searches that were skipped because the query budget was used up.
const SKIPPED_TICKS_METRIC: &str = "yuccacroft_balancer_skipped_search_ticks_total";

impl<F: Format, S: Socket> Relay<F, S> {
    pub(super) fn log_offer(&self, segment: &Segment, to: Instance, now: Moment) {
        let Some(log) = self.flow_log.normal(now) else { return };
        let load = self.pool.get(to).and_then(|member| member.load(now));
        let (load, age) = load.unwrap_or_default();
        info!(log, "offered"; "flow" => %segment.flow, "to" => %to, "active" => load.active,
            "service_time" => %load.service_time, "load_age" => %age,
            "version" => %self.version());
    }

    pub(super) fn log_not_forwarded(
        &self,
        segment: &Segment,
        outcome: &'static str,
        cause: &'static str,
        now: Moment,
    ) {
        self.log_outcome(segment, outcome, cause, &Grounds::None, now);
    }

    pub(super) fn log_outcome(
        &self,
        segment: &Segment,
        outcome: &'static str,
        cause: &'static str,
        grounds: &Grounds,
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => outcome, "cause" => cause).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "not forwarded"; "flow" => %segment.flow, "key" => %segment.flow.key(),
                "outcome" => outcome, "cause" => cause, "control" => ?segment.control,
                "version" => %self.version(), Members::new(&self.pool, now),
                self.freshness.ages(now), grounds);
        }
    }

    /// Logs that an agent owns a flow that was reset as lost.
    pub(super) fn log_late_owner(&self, key: FlowKey, owner: AgentId, now: Moment) {
        let Some(CachedFlow::Lost(verdict)) = self.table.get(key) else { return };
        metrics::counter!(DECISIONS_METRIC, "outcome" => "found late").increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "owner found late"; "key" => %key, "owner" => %owner.instance,
                "incarnation" => %owner.incarnation, "verdict_age" => %now.since(verdict.detected_at));
        }
    }

    /// Logs the messages since the last call, if any were sent, and adds them to the metrics.
    pub fn log_traffic(&self, now: Moment) {
        let report = self.traffic.take(MESSAGES_METRIC, MESSAGE_BYTES_METRIC);
        let (times, skipped_ticks) =
            (self.response_times.take(), self.searches.take_skipped_ticks());
        metrics::counter!(SKIPPED_TICKS_METRIC).increment(skipped_ticks);
        if report.total(Direction::Sent).messages == 0 {
            return;
        }
        info!(self.flow_log.log(), "traffic"; report, "searches" => self.searches.len(),
            "skipped_ticks" => skipped_ticks, times, Members::new(&self.pool, now));
    }

    /// Counts and logs a datagram that cannot be decoded.
    pub(super) fn log_junk(
        &self,
        source: &'static str,
        cause: &dyn std::fmt::Display,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(JUNK_METRIC, "source" => source).increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "junk dropped"; "source" => source, "cause" => %cause,
                "bytes" => datagram.len());
        }
    }

    /// Handles a datagram. A panic ends the handling of this datagram only.
    pub(super) fn contain(&self, source: &'static str, handle: impl FnOnce()) {
        if let Err(panic) = tasks::contain(source, handle) {
            error!(self.flow_log.log(), "datagram not handled"; "source" => source,
                "cause" => %panic);
        }
    }

    pub(super) fn log_socket_error(&self, name: &'static str, error: &std::io::Error) {
        metrics::counter!(JUNK_METRIC, "source" => name).increment(1);
        if let Some(log) = self.flow_log.failure(self.clock.now()) {
            info!(log, "socket error"; "socket" => name, "cause" => %error);
        }
    }
}
