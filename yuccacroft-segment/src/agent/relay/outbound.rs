//! The path of segments from the upstream to callers.

use {
    super::Relay,
    crate::{
        host::Socket,
        traffic::{Direction, Kind},
    },
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        handshake::Decision,
        segment::{Control, Flow, Format, Outbound, Segment},
        time::{Moment, Span},
        upstream::Silence,
    },
    yuccacroft_wire::relay::Body,
};

/// Metric: time from a request to the first byte of its response.
const SERVICE_SECONDS_METRIC: &str = "yuccacroft_agent_service_seconds";
/// Response time from which on a response is logged as slow: longer than most responses and shorter
/// than most latency objectives.
const SLOW_RESPONSE: Span = Span::from_millis(100);

impl<F: Format, S: Socket> Relay<F, S> {
    pub(super) fn handle_outbound(&self, datagram: &mut [u8]) {
        let now = self.clock.now();
        self.traffic.record(Direction::Received, Kind::Upstream, datagram.len());
        match self.format.parse_outbound(datagram) {
            Ok(Outbound::Reply(segment)) => {
                self.record_activity(now);
                if let Some(progress) = self.format.requests_in_progress(datagram) {
                    self.state.record_requests_in_progress(progress, now);
                    if let Some(slots) = self.format.reported_slots(datagram) {
                        self.state.note_slots(slots);
                    }
                }
                let source = self.outcome_source(segment.flow.key());
                if let Some(end) = self.state.table.upstream_end(&segment, now) {
                    self.log_upstream_end(segment.flow, end, now);
                    self.record_end(source, end, now);
                }
                let reply = self.state.table.handle_reply(&segment, now);
                if let Some(prober) = reply.prober {
                    self.reply(prober, Body::Owns(segment.flow.key()), &[], now);
                }
                self.record_response(source, reply.was_overdue, datagram, now);
                if let Some(time) = reply.service_time {
                    self.state.record_service_time(time, now);
                    metrics::histogram!(SERVICE_SECONDS_METRIC)
                        .record(std::time::Duration::from(time).as_secs_f64());
                    if time >= SLOW_RESPONSE {
                        self.log_request("slow answer", &segment, datagram, Some(time), now);
                    }
                }
                let is_health_required = self.state.requirements.health;
                match reply.refused_opening.filter(|_| is_health_required) {
                    Some(action) => self.perform(action, now),
                    None if reply.is_late_refusal && is_health_required => {
                        self.log_not_delivered(segment.flow, "drop", "late refusal", now);
                    }
                    None => self.send_to_caller(Kind::Caller, segment.flow, datagram),
                }
                self.release_waiting(now);
            }
            Ok(Outbound::Bounced(segment)) => {
                self.record_activity(now);
                self.format.restore_bounced(datagram);
                let was_in_use = self.state.table.is_in_use(segment.flow.key(), now);
                let decision = self.state.table.handle_bounce(&segment, now);
                if segment.control == Control::Open {
                    self.record_returned_opening(&decision, now);
                }
                if was_in_use && matches!(decision, Decision::Reset(_)) {
                    let is_first_sign = self.state.monitor().record_lost_flow();
                    if is_first_sign {
                        info!(self.flow_log.log(), "upstream may have restarted";
                            "flow" => %segment.flow);
                    }
                }
                self.log_bounce(&segment, &decision, now);
                self.apply_bounce_decision(&segment, decision, datagram, now);
            }
            Err(error) => self.log_junk("outbound", &error, now),
        }
    }

    pub(super) fn apply_bounce_decision(
        &self,
        segment: &Segment,
        decision: Decision,
        datagram: &[u8],
        now: Moment,
    ) {
        let origin = match &decision {
            Decision::Pass(_, offer) => offer.origin,
            Decision::Refuse(origin) | Decision::Deny { origin, .. } => *origin,
            // The other decisions send no reply.
            _ => self.setup.agent_id.instance.address(),
        };
        self.apply_decision(segment, Some(self.state.target), origin, decision, datagram, now);
    }

    pub(super) fn record_activity(&self, now: Moment) {
        let mut monitor = self.state.monitor();
        let before = monitor.silence();
        monitor.record_reply(now);
        drop(monitor);
        if before != Silence::None {
            info!(self.flow_log.log(), "upstream answers"; "before" => ?before);
            self.send_load(now);
        }
    }

    pub(super) fn send_to_caller(&self, kind: Kind, flow: Flow, datagram: &[u8]) {
        self.traffic.record(Direction::Sent, kind, datagram.len());
        let caller = SocketAddrV4::new(*flow.caller.ip(), self.setup.caller_port);
        self.setup.messages.send(datagram, caller);
    }
}
