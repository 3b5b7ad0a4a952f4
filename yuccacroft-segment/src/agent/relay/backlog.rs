//! The requests that wait for a free slot of the upstream.

use {
    super::{DECISIONS_METRIC, Relay},
    crate::host::Socket,
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{
        backlog::Release,
        handshake::ForwardReason,
        route::TrafficClass,
        segment::{Format, Segment},
        time::{Moment, Span},
    },
    yuccacroft_wire::relay::Body,
};

impl<F: Format, S: Socket> Relay<F, S> {
    /// Queues a segment of a request until the upstream has a free slot.
    pub(super) fn hold_request(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: ForwardReason,
        class: TrafficClass,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "hold").increment(1);
        let key = segment.flow.key();
        let class = class.after(self.waited_for_opening(segment));
        let queued = self.state.backlog().add(segment, datagram, class, now)
            || self.displace_for(segment, datagram, class, now);
        if !queued {
            self.state.table.drop_held(key);
            self.state.record_request_over_limit(now);
            self.deliver(segment, datagram, now);
        }
        if reason != ForwardReason::Owner {
            self.reply(origin, Body::Owns(key), &[], now);
        }
        if let Some(log) = self.flow_log.normal(now) {
            let id = self.format.request_id(datagram).unwrap_or_default();
            info!(log, "held"; "request" => id, "flow" => %segment.flow,
                "priority" => %class.priority, "active" => self.state.table.active_requests(),
                "room" => self.state.max_concurrent(now), "waiting" => self.state.backlog().len());
        }
    }

    /// Returns the time for which the caller of a flow's first request had to repeat its opening
    /// segment, where the requirements ask for measured numbers. After an outage the requests that
    /// can no longer be on time would otherwise go first and make all later ones late.
    fn waited_for_opening(&self, segment: &Segment) -> Span {
        if !self.state.requirements.health {
            return Span::ZERO;
        }
        let copy_number = self.state.table.opening_copy(segment);
        copy_number.map_or(Span::ZERO, |number| self.format.copy_delay(number))
    }

    /// Queues a segment in place of a request of a caller that has more requests waiting. The
    /// displaced request goes to the upstream, which refuses it if its own queue is full.
    fn displace_for(
        &self,
        segment: &Segment,
        datagram: &[u8],
        class: TrafficClass,
        now: Moment,
    ) -> bool {
        let displaced = self.state.backlog().displace(segment, class);
        let Some((key, datagrams)) = displaced else { return false };
        metrics::counter!(DECISIONS_METRIC, "outcome" => "displace").increment(1);
        self.state.table.drop_held(key);
        self.state.record_request_over_limit(now);
        datagrams.iter().for_each(|datagram| self.forward(datagram, now));
        if let Some(log) = self.flow_log.failure(now) {
            info!(log, "waiting request displaced"; "key" => %key, "by" => %segment.flow);
        }
        self.state.backlog().add(segment, datagram, class, now)
    }

    /// Forwards waiting requests to the upstream while it is below its limits.
    pub fn release_waiting(&self, now: Moment) {
        while !self.state.backlog().is_empty()
            && self.state.table.active_requests() < self.state.max_concurrent(now)
            && self.state.take_room(now)
        {
            let service = self.state.service_time();
            let release = self.state.backlog().release(service, now);
            match release {
                None => return self.state.return_room(now),
                Some(Release::Start(key, datagrams)) => {
                    if self.state.table.start_held(key, now) {
                        datagrams.iter().for_each(|datagram| self.forward(datagram, now));
                        self.log_released(&datagrams, now);
                    } else {
                        self.state.return_room(now);
                    }
                }
                Some(Release::Expired(key)) => {
                    self.state.return_room(now);
                    self.state.table.drop_held(key);
                    metrics::counter!(DECISIONS_METRIC, "outcome" => "expired").increment(1);
                    if let Some(log) = self.flow_log.failure(now) {
                        info!(log, "request expired while waiting"; "key" => %key);
                    }
                }
            }
        }
    }

    pub(super) fn forward(&self, datagram: &[u8], now: Moment) {
        self.state.monitor().record_data(now);
        self.send_to_upstream(datagram, now);
    }

    pub(super) fn log_released(&self, datagrams: &[Box<[u8]>], now: Moment) {
        let Some(datagram) = datagrams.first() else { return };
        if let Ok(segment) = self.format.parse_inbound(datagram) {
            self.log_request("request", &segment, datagram, None, now);
        }
    }
}
