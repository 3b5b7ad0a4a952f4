//! The path of segments from balancers and other agents to the upstream.

use {
    super::{
        super::chain::{Context, ReceivedSegment},
        DECISIONS_METRIC, Relay,
    },
    crate::{
        host::Socket,
        traffic::{Direction, Kind},
    },
    slog::info,
    std::{net::SocketAddrV4, sync::atomic::Ordering},
    yuccacroft_core::{
        flow::FlowKey,
        handshake::{Action, Decision, ForwardReason, Offer, Ownership},
        outcome::Outcome,
        route::Target,
        segment::{Control, Flow, Format, Segment},
        time::Moment,
        upstream::ConnectResult,
    },
    yuccacroft_wire::relay::{self, Body, FlowQuery, MAX_FLOW_QUERIES, MAX_LISTED_FLOWS, Request},
};

impl<F: Format, S: Socket> Relay<F, S> {
    pub(super) fn handle_message(&self, datagram: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        let (request, bytes) = match relay::decode::<Request>(datagram) {
            Ok(message) => message,
            Err(error) => return self.log_junk("messages", &error, now),
        };
        let kind = Kind::of_request(&request, false);
        self.traffic.record(Direction::Received, kind, datagram.len());
        let context = match request {
            Request::Ping { listed, version, newest_entry } => {
                self.config_version.fetch_max(version.get(), Ordering::Relaxed);
                self.newest_entry.fetch_max(newest_entry.get(), Ordering::Relaxed);
                return self.send_pong(from, listed, now);
            }
            Request::Offer { target, origin, rest, hops } => {
                self.balancers.insert(origin, now);
                Context::NewFlow(target, Offer { class: None, origin, rest, hops }, bytes.into())
            }
            Request::ClassifiedOffer { class, target, origin, rest, hops } => {
                self.balancers.insert(origin, now);
                let offer = Offer { class: Some(class), origin, rest, hops };
                Context::NewFlow(target, offer, bytes.into())
            }
            Request::Limits(limits) => return self.handle_limits(limits, now),
            Request::Home(domain) => return self.handle_home(domain, from, now),
            Request::Evacuation(notice) => return self.handle_evacuation(notice, from, now),
            Request::Search { key, acknowledged } => {
                return self.answer_search(FlowQuery { key, acknowledged }, from, now);
            }
            Request::SearchMany(queries) => return self.answer_searches(&queries, from, now),
            Request::ListFlows { asked_at } => return self.list_flows(asked_at, from, now),
            Request::IndirectPing { suspect } => return self.relay_ping(suspect, from),
            Request::RelayedPing { origin } => return self.answer_relayed_ping(origin, from),
            Request::RelayedPong { origin, from, condition } => {
                return self.relay_pong(from, condition, origin, now);
            }
            Request::Carry(class) => Context::Established(from, ForwardReason::Owner, class),
            Request::Probe(class) => Context::Established(from, ForwardReason::Probe, class),
        };
        let segment = match self.format.parse_inbound(bytes) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("segments", &error, now),
        };
        let mut received = ReceivedSegment { segment, context, now };
        let decision = self.chain.run(&mut received).unwrap_or(Decision::Drop("undecided"));
        let target = match &received.context {
            Context::NewFlow(target, ..) => Some(*target),
            Context::Established(..) => None,
        };
        let to = match &received.context {
            Context::NewFlow(_, offer, _) => offer.origin,
            Context::Established(origin, ..) => *origin,
        };
        if let (Decision::Hold, Context::Established(_, reason, class)) =
            (&decision, &received.context)
        {
            return self.hold_request(&received.segment, to, *reason, *class, bytes, now);
        }
        self.apply_decision(&received.segment, target, to, decision, bytes, now);
    }

    /// Tells a balancer whether this agent owns a flow. While a probe of the upstream is not
    /// decided there is no answer; the balancer repeats its question.
    fn answer_search(&self, query: FlowQuery, from: SocketAddrV4, now: Moment) {
        let key = query.key;
        let body = match self.find_ownership(query, from, now) {
            Ownership::Owns => Body::Owns(key),
            Ownership::Denies => Body::Denies { key, unsure: false },
            Ownership::Unsure => Body::Denies { key, unsure: true },
            Ownership::Pending => return,
        };
        self.reply(from, body, &[], now);
    }

    /// Tells a balancer which of several flows this agent owns, and denies the others with one
    /// message.
    fn answer_searches(&self, queries: &[FlowQuery], from: SocketAddrV4, now: Moment) {
        let (mut denied, mut unsure) = (Vec::new(), Vec::new());
        for query in queries.iter().take(MAX_FLOW_QUERIES) {
            match self.find_ownership(*query, from, now) {
                Ownership::Owns => self.reply(from, Body::Owns(query.key), &[], now),
                Ownership::Denies => denied.push(query.key),
                Ownership::Unsure => unsure.push(query.key),
                Ownership::Pending => {}
            }
        }
        for (keys, unsure) in [(denied, false), (unsure, true)] {
            if !keys.is_empty() {
                self.reply(from, Body::DeniesMany { keys: keys.into(), unsure }, &[], now);
            }
        }
    }

    /// Tells a balancer all flows of this agent, in as many messages as their keys need.
    fn list_flows(&self, asked_at: Moment, to: SocketAddrV4, now: Moment) {
        let unsure = self.state.may_hold_unknown_flows(now);
        let keys = self.state.table.list_keys();
        let mut lists = keys.chunks(MAX_LISTED_FLOWS).peekable();
        let mut first = FlowKey::new(0);
        loop {
            let list = lists.next().unwrap_or_default();
            let is_last = lists.peek().is_none();
            let last = list.last().filter(|_| !is_last).copied();
            let last = last.unwrap_or(FlowKey::new(u64::MAX));
            let body = Body::Flows { asked_at, first, last, unsure };
            self.reply(to, body, &relay::encode_keys(list), now);
            if is_last {
                return;
            }
            first = FlowKey::new(last.get().saturating_add(1));
        }
    }

    fn find_ownership(&self, query: FlowQuery, from: SocketAddrV4, now: Moment) -> Ownership {
        let FlowQuery { key, acknowledged } = query;
        let unsure = self.state.may_hold_unknown_flows(now);
        let ownership = self.state.table.ownership(key, acknowledged, unsure, now);
        if matches!(ownership, Ownership::Denies | Ownership::Unsure) {
            metrics::counter!(DECISIONS_METRIC, "outcome" => "deny").increment(1);
            self.log_offered_denial(key, acknowledged, from, now);
        }
        ownership
    }

    /// Executes a decision about a segment. `origin` is the balancer that gets the reply.
    pub(super) fn apply_decision(
        &self,
        segment: &Segment,
        target: Option<Target>,
        origin: SocketAddrV4,
        decision: Decision,
        datagram: &[u8],
        now: Moment,
    ) {
        let key = segment.flow.key();
        match decision {
            Decision::Deliver => self.deliver(segment, datagram, now),
            Decision::Confirm => {
                self.deliver(segment, datagram, now);
                let opening = segment.control == Control::Open;
                let body = if opening { Body::Took(key) } else { Body::Owns(key) };
                self.reply(origin, body, &[], now);
            }
            Decision::Pass(to, offer) => {
                self.pass(segment.flow, target, to.address(), offer, datagram, now);
                self.reply(origin, Body::Load, &[], now);
            }
            Decision::Refuse(origin) => self.refuse(segment.flow, origin, datagram, now),
            Decision::Deny { origin, unsure, returned } => {
                metrics::counter!(DECISIONS_METRIC, "outcome" => "deny").increment(1);
                self.log_offered_denial(key, segment.acknowledged, origin, now);
                let datagram = if returned { datagram } else { &[] };
                self.reply(origin, Body::Denies { key, unsure }, datagram, now);
            }
            Decision::Reset(sequence) => {
                self.reset(segment.flow, sequence, "returned by the upstream", None, now);
            }
            Decision::Hold => {}
            Decision::Drop(cause) => self.log_not_delivered(segment.flow, "drop", cause, now),
        }
    }

    pub(super) fn perform(&self, action: Action, now: Moment) {
        match action {
            Action::Pass { flow, to, offer, datagram } => {
                self.pass(flow, Some(self.state.target), to.address(), offer, &datagram, now);
            }
            Action::Refuse { flow, origin, datagram } => self.refuse(flow, origin, &datagram, now),
            Action::Confirm { flow, origin } => {
                self.reply(origin, Body::Owns(flow.key()), &[], now);
            }
            Action::Overdue { flow } => {
                let source = self.outcome_source(flow.key());
                self.record_outcome(source, Outcome::Overdue, now);
            }
            Action::Expire { flow, accepted } => self.log_expired(flow, accepted, now),
        }
    }

    pub(super) fn deliver(&self, segment: &Segment, datagram: &[u8], now: Moment) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "deliver").increment(1);
        self.log_request("request", segment, datagram, None, now);
        {
            let mut monitor = self.state.monitor();
            match segment.control {
                Control::Open => monitor.record_opening(now),
                _ if segment.length > 0 => monitor.record_data(now),
                _ => {}
            }
        }
        self.send_to_upstream(datagram, now);
    }

    pub(super) fn send_to_upstream(&self, datagram: &[u8], now: Moment) {
        self.traffic.record(Direction::Sent, Kind::Upstream, datagram.len());
        let previous = Moment::new(self.sent_to_upstream.swap(now.get(), Ordering::Relaxed));
        if !self.setup.upstream.send_connected(datagram) {
            // The system reports the refusal of an earlier datagram.
            self.apply_port_check(previous, ConnectResult::Refused, now);
        }
    }

    pub(super) fn pass(
        &self,
        flow: Flow,
        target: Option<Target>,
        to: SocketAddrV4,
        offer: Offer,
        datagram: &[u8],
        now: Moment,
    ) {
        metrics::counter!(DECISIONS_METRIC, "outcome" => "pass").increment(1);
        if let Some(log) = self.flow_log.failure(now) {
            let silence = self.state.monitor().silence();
            info!(log, "passed on"; "flow" => %flow, "to" => %to, "hops" => offer.hops,
                "silence" => ?silence, "open" => %self.state.table.open_flows(),
                "wait" => %self.state.expected_wait(now));
        }
        let target = target.unwrap_or(self.state.target);
        let Offer { class, origin, rest, hops } = offer;
        let request = match class {
            Some(class) => Request::ClassifiedOffer { class, target, origin, rest, hops },
            None => Request::Offer { target, origin, rest, hops },
        };
        self.send(Kind::Offer, to, &request, datagram);
    }

    pub(super) fn refuse(&self, flow: Flow, origin: SocketAddrV4, datagram: &[u8], now: Moment) {
        self.log_not_delivered(flow, "refuse", "no further agent", now);
        self.reply(origin, Body::Refused, datagram, now);
    }
}
