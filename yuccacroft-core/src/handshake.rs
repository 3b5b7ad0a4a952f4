//! The flow table of an agent for front ends where the handshake between caller and upstream
//! determines the owner of a flow.
//!
//! An opening segment may reach several upstreams, and each of them may accept it. The caller
//! answers one of them: its next segment acknowledges the sequence number that this upstream chose.
//! The agent sees both segments, so it knows without further messages whether it owns the flow. An
//! agent that started after its upstream does not know the flows that the upstream accepted before.
//! It probes the upstream with a segment, which the upstream returns if it does not hold the flow.

mod counts;
mod observation;

pub use self::observation::OfferedFlow;

use {
    self::counts::Counts,
    crate::{
        flow::FlowKey,
        ids::Instance,
        segment::{Control, Flow, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        units::Connections,
    },
    std::net::SocketAddrV4,
};

/// Time within which a running upstream accepts or returns an opening segment.
const ACCEPT_TIMEOUT: Span = Span::from_millis(60);
/// Time for which an accepted flow is kept without a segment of its caller. Callers give up after
/// 1.4 s.
const FIRST_SEGMENT_TIMEOUT: Span = Span::from_secs(3);
/// Time within which an upstream returns a segment of a flow that it does not hold.
const BOUNCE_TIMEOUT: Span = Span::from_millis(30);
/// Time for which a flow that the upstream does not hold is remembered as absent.
const ABSENT_TTL: Span = Span::from_secs(10);
/// Idle time after which a flow is removed: the maximum lifetime of a flow.
const FLOW_IDLE_TIMEOUT: Span = Span::from_secs(60);
/// Number of mean service times after which a request without a response no longer counts as in
/// progress. Long requests take seven times the mean.
const STALE_REQUEST_FACTOR: u64 = 8;
/// Lower bound of the time after which a request without a response no longer counts as in
/// progress.
const MIN_STALE_REQUEST_AGE: Span = Span::from_millis(150);
/// Upper bound of the time after which a request without a response no longer counts as in
/// progress. It is longer than the longest request.
const MAX_STALE_REQUEST_AGE: Span = Span::from_millis(400);
/// Maximum number of agents that one opening segment visits.
pub const MAX_HOPS: u8 = 8;

/// The route of an opening segment through the candidate agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The balancer that chose the candidates and gets the result.
    pub origin: SocketAddrV4,
    /// The candidates after the current agent, in order.
    pub rest: Box<[Instance]>,
    /// The number of agents that the segment has visited before.
    pub hops: u8,
}

/// The reason why a balancer sends a segment of an existing flow to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardReason {
    /// The balancer considers this agent the owner.
    Owner,
    /// The balancer searches for the owner.
    Search,
    /// All other agents have denied ownership, so the segment may go to the upstream as a probe.
    Probe,
}

/// The decision about a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver the segment to the upstream.
    Deliver,
    /// Deliver the segment to the upstream, and tell the balancer that this agent has the flow.
    Confirm,
    /// Offer the flow to the next candidate.
    Pass(Instance, Offer),
    /// Tell the balancer that no candidate takes the flow.
    Refuse(SocketAddrV4),
    /// Tell the balancer that this agent does not own the flow.
    Deny {
        /// The balancer.
        origin: SocketAddrV4,
        /// Whether the upstream may hold the flow although the agent does not know of it.
        unsure: bool,
        /// Whether the segment goes back to the balancer, because it kept no copy.
        returned: bool,
    },
    /// Send a reset with this position to the caller: the upstream no longer holds the flow.
    Reset(Sequence),
    /// Hold the segment until the upstream has capacity for another request.
    Hold,
    /// Drop the segment for this cause. The caller retransmits it.
    Drop(&'static str),
}

/// An action that follows from a timeout or a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass the opening segment to the next candidate, since the upstream has not accepted it.
    Pass {
        /// The flow.
        flow: Flow,
        /// The next candidate.
        to: Instance,
        /// The remaining route.
        offer: Offer,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// Tell the balancer that the upstream has not accepted the flow and no candidate is left.
    Refuse {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// Tell the balancer that this agent owns the flow, since the upstream did not return a probe.
    Confirm {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
    },
    /// Note that an accepted flow was removed, since its caller has sent no segment to this agent.
    Expire {
        /// The flow.
        flow: Flow,
        /// The sequence number with which the upstream accepted the flow.
        accepted: Sequence,
    },
}

/// A flow that was lost with its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// The flow.
    pub flow: Flow,
    /// The latest position that the caller acknowledged.
    pub acknowledged: Sequence,
    /// Whether a request was in progress.
    pub busy: bool,
}

#[derive(Debug)]
struct Entry {
    flow: Flow,
    state: State,
}

#[derive(Debug)]
enum State {
    Offered { offer: Offer, datagram: Box<[u8]>, changed_at: Moment, accepted: Option<Sequence> },
    Probed { origin: SocketAddrV4, changed_at: Moment, returned: bool },
    Open(OpenFlow),
    Absent { changed_at: Moment },
}

#[derive(Debug)]
struct OpenFlow {
    /// The latest position that the caller acknowledged, or `None` before its first segment.
    acknowledged: Option<Sequence>,
    /// The end of the data that the caller has sent, or `None` before its first data.
    received_end: Option<Sequence>,
    /// The time when the opening segment went to the upstream, or when the agent discovered the
    /// flow.
    started_at: Moment,
    last_seen: Moment,
    /// The request that the upstream is processing.
    request: Option<Request>,
    /// Whether a request waits in the backlog.
    is_held: bool,
    /// Whether a segment of the upstream or the handshake has proven that it holds the flow.
    is_proven: bool,
    is_finished: bool,
}

/// The flow table of one agent.
#[derive(Debug, Default)]
pub struct FlowTable {
    entries: Shards<FlowKey, Entry>,
    counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    started_at: Moment,
    /// Whether the request counts among the requests in progress.
    is_counted: bool,
}

impl Decision {
    /// Returns a short name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Deliver => "deliver",
            Self::Confirm => "confirm",
            Self::Pass(..) => "pass",
            Self::Refuse(_) => "refuse",
            Self::Deny { .. } => "deny",
            Self::Reset(_) => "reset",
            Self::Hold => "hold",
            Self::Drop(_) => "drop",
        }
    }
}

impl FlowTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about an opening segment. `accepting` is true if the upstream takes new flows.
    pub fn handle_opening(
        &self,
        segment: &Segment,
        datagram: &[u8],
        offer: Offer,
        accepting: bool,
        now: Moment,
    ) -> Decision {
        self.entries.update(segment.flow.key(), |slot| {
            if matches!(slot, Some(Entry { state: State::Open(_), .. })) {
                return Decision::Deliver;
            }
            if !accepting {
                return pass_or_refuse(offer);
            }
            let accepted = match slot {
                Some(Entry { state: State::Offered { accepted, .. }, .. }) => *accepted,
                _ => None,
            };
            let datagram = datagram.into();
            let state = State::Offered { offer, datagram, changed_at: now, accepted };
            *slot = Some(Entry { flow: segment.flow, state });
            Decision::Confirm
        })
    }

    /// Decides about any later segment. `unsure` is true if the upstream may hold flows that the
    /// agent does not know of. A new request waits while `max_active` requests are in progress.
    pub fn handle_segment(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: ForwardReason,
        unsure: bool,
        max_active: u32,
        now: Moment,
    ) -> Decision {
        // A balancer that searches keeps the segment until it has found the owner.
        let returned = reason == ForwardReason::Owner;
        let delivered = if returned { Decision::Deliver } else { Decision::Confirm };
        let deny = |unsure| Decision::Deny { origin, unsure, returned };
        self.entries.update(segment.flow.key(), |slot| {
            match slot.as_mut().map(|entry| &mut entry.state) {
                Some(State::Open(open)) => {
                    if self.handle_caller_segment(open, segment, max_active, now) {
                        delivered
                    } else {
                        Decision::Hold
                    }
                }
                Some(State::Offered { accepted: Some(accepted), changed_at, .. })
                    if segment.acknowledged == accepted.next() =>
                {
                    let mut open = self.open_flow(Some(segment.acknowledged), true, *changed_at);
                    let deliver = self.handle_caller_segment(&mut open, segment, max_active, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    if deliver { delivered } else { Decision::Hold }
                }
                Some(State::Offered { .. }) => deny(false),
                Some(State::Probed { changed_at, .. })
                    if now.since(*changed_at) >= BOUNCE_TIMEOUT =>
                {
                    let mut open = self.open_flow(Some(segment.acknowledged), false, now);
                    self.handle_caller_segment(&mut open, segment, u32::MAX, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    Decision::Confirm
                }
                Some(State::Probed { .. }) => Decision::Drop("probing"),
                Some(State::Absent { changed_at }) => {
                    *changed_at = now;
                    deny(false)
                }
                None if !unsure => deny(false),
                None if reason == ForwardReason::Search => deny(true),
                None => {
                    let state = State::Probed { origin, changed_at: now, returned };
                    *slot = Some(Entry { flow: segment.flow, state });
                    Decision::Deliver
                }
            }
        })
    }

    /// Compares the count of requests in progress with the number that the upstream reported in a
    /// response. The reported number includes the request of this response.
    pub fn reconcile_active(&self, reported: u32) {
        self.counts.reconcile_active(reported);
    }

    /// Records a segment from the upstream to a caller. Returns the service time of a request if
    /// the segment begins its response.
    pub fn handle_reply(&self, segment: &Segment, now: Moment) -> Option<Span> {
        self.entries.update(segment.flow.key(), |slot| {
            let state = slot.as_mut().map(|entry| &mut entry.state);
            match (segment.control, state) {
                (Control::Accept, Some(State::Offered { accepted, .. })) => {
                    *accepted = Some(segment.sequence);
                    None
                }
                (Control::Accept, _) | (_, Some(State::Offered { .. })) => None,
                (Control::Reset, Some(State::Open(open))) => {
                    self.end_flow(open);
                    *slot = None;
                    None
                }
                (Control::Reset, _) => {
                    *slot = None;
                    None
                }
                (_, Some(State::Open(open))) => self.handle_upstream_segment(open, segment, now),
                (_, _) => {
                    // Only the upstream that holds a flow sends segments of it.
                    let mut open = self.open_flow(Some(segment.sequence), true, now);
                    let time = self.handle_upstream_segment(&mut open, segment, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    time
                }
            }
        })
    }

    /// Decides about a segment that the upstream has returned.
    pub fn handle_bounce(&self, segment: &Segment, now: Moment) -> Decision {
        self.entries.update(segment.flow.key(), |slot| {
            let Some(entry) = slot.take() else { return Decision::Drop("unknown bounce") };
            let absent_entry =
                Entry { flow: segment.flow, state: State::Absent { changed_at: now } };
            match entry.state {
                State::Offered { offer, .. } if segment.control == Control::Open => {
                    pass_or_refuse(offer)
                }
                State::Probed { origin, returned, .. } => {
                    *slot = Some(absent_entry);
                    Decision::Deny { origin, unsure: false, returned }
                }
                State::Open(open) if segment.control == Control::Open => {
                    // The bounce of a delayed duplicate of the opening segment does not prove that
                    // the upstream lacks the flow.
                    *slot = Some(Entry { flow: entry.flow, state: State::Open(open) });
                    Decision::Drop("late copy")
                }
                State::Open(mut open) => {
                    self.end_flow(&mut open);
                    *slot = Some(absent_entry);
                    if open.is_proven {
                        Decision::Reset(segment.acknowledged)
                    } else {
                        Decision::Drop("flow of another upstream")
                    }
                }
                state => {
                    *slot = Some(Entry { flow: entry.flow, state });
                    Decision::Drop("unknown bounce")
                }
            }
        })
    }

    /// Handles timeouts: passes on opening segments that were not accepted in time, ends probes and
    /// removes idle flows.
    pub fn tick(&self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        // The agent may not see the end of a request that its caller has abandoned or that the
        // upstream received before the agent started.
        let stale_age = self.service_time().saturating_mul(STALE_REQUEST_FACTOR);
        let stale_age = stale_age.clamp(MIN_STALE_REQUEST_AGE, MAX_STALE_REQUEST_AGE);
        self.entries.retain(|_, entry| {
            let flow = entry.flow;
            match &mut entry.state {
                State::Offered { accepted: Some(accepted), changed_at, .. } => {
                    let is_kept = now.since(*changed_at) < FIRST_SEGMENT_TIMEOUT;
                    if !is_kept {
                        actions.push(Action::Expire { flow, accepted: *accepted });
                    }
                    is_kept
                }
                State::Offered { offer, datagram, changed_at, .. } => {
                    if now.since(*changed_at) < ACCEPT_TIMEOUT {
                        return true;
                    }
                    actions.push(pass_or_refuse_action(flow, offer, datagram));
                    false
                }
                State::Probed { origin, changed_at, .. } => {
                    if now.since(*changed_at) >= BOUNCE_TIMEOUT {
                        actions.push(Action::Confirm { flow, origin: *origin });
                        entry.state = State::Open(self.open_flow(None, false, now));
                    }
                    true
                }
                State::Open(open) => {
                    if let Some(request) = &mut open.request
                        && request.is_counted
                        && now.since(request.started_at) >= stale_age
                    {
                        request.is_counted = false;
                        self.counts.remove_active();
                    }
                    let is_kept = now.since(open.last_seen) < FLOW_IDLE_TIMEOUT;
                    if !is_kept {
                        self.end_flow(open);
                    }
                    is_kept
                }
                State::Absent { changed_at } => now.since(*changed_at) < ABSENT_TTL,
            }
        });
        actions
    }

    /// Passes every opening segment that is not accepted yet to its next candidate, because the
    /// upstream no longer takes new flows.
    pub fn release_unaccepted(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.entries.retain(|_, entry| {
            let State::Offered { offer, datagram, accepted: None, .. } = &entry.state else {
                return true;
            };
            actions.push(pass_or_refuse_action(entry.flow, offer, datagram));
            false
        });
        actions
    }

    /// Removes and returns the open flows that began before the given end of an upstream. Later
    /// flows belong to its next incarnation, which takes flows before its first report.
    pub fn remove_begun_before(&self, before: Moment) -> Vec<LostFlow> {
        let mut lost = Vec::new();
        self.entries.retain(|_, entry| match &mut entry.state {
            State::Open(open) if open.started_at < before => {
                // Without a segment of the caller no position is known, so any will do.
                let acknowledged = open.acknowledged.unwrap_or_default();
                let busy = open.request.is_some();
                lost.push(LostFlow { flow: entry.flow, acknowledged, busy });
                self.end_flow(open);
                false
            }
            State::Offered { accepted: Some(_), changed_at, .. } => *changed_at >= before,
            State::Offered { .. } | State::Open(_) => true,
            State::Probed { .. } | State::Absent { .. } => false,
        });
        lost
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> Connections {
        self.counts.open()
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.counts.active()
    }

    /// Returns the mean time from a request to the first byte of its response.
    pub fn service_time(&self) -> Span {
        self.counts.service_time()
    }

    fn open_flow(
        &self,
        acknowledged: Option<Sequence>,
        is_proven: bool,
        started_at: Moment,
    ) -> OpenFlow {
        self.counts.add_open();
        OpenFlow {
            acknowledged,
            received_end: None,
            started_at,
            last_seen: started_at,
            request: None,
            is_held: false,
            is_proven,
            is_finished: false,
        }
    }

    /// Records a segment of the caller. New data counts as a request. Returns false if the segment
    /// has to wait.
    fn handle_caller_segment(
        &self,
        open: &mut OpenFlow,
        segment: &Segment,
        max_active: u32,
        now: Moment,
    ) -> bool {
        open.last_seen = now;
        let known = open.acknowledged.unwrap_or(segment.acknowledged);
        open.acknowledged = Some(segment.acknowledged.latest(known));
        if matches!(segment.control, Control::Finish | Control::Reset) {
            self.finish_flow(open);
        }
        if segment.length == 0 {
            return true;
        }
        let end = Sequence::new(segment.sequence.get().wrapping_add(u32::from(segment.length)));
        let is_new_data = open.received_end.is_none_or(|received_end| end.is_after(received_end));
        if is_new_data {
            open.received_end = Some(end);
            open.is_held |=
                open.request.is_none() && !open.is_finished && self.active_requests() >= max_active;
        }
        if open.is_held {
            return false;
        }
        if is_new_data {
            self.start_request(open, now);
        }
        true
    }

    /// Records that a held request goes to the upstream. Returns false if its flow has ended or
    /// holds no request.
    pub fn start_held(&self, key: FlowKey, now: Moment) -> bool {
        self.entries.update(key, |slot| match slot.as_mut().map(|entry| &mut entry.state) {
            Some(State::Open(open)) if open.is_held => {
                open.is_held = false;
                self.start_request(open, now);
                true
            }
            _ => false,
        })
    }

    /// Records that a held request has expired.
    pub fn drop_held(&self, key: FlowKey) {
        self.entries.update(key, |slot| {
            if let Some(State::Open(open)) = slot.as_mut().map(|entry| &mut entry.state) {
                open.is_held = false;
            }
        });
    }

    fn start_request(&self, open: &mut OpenFlow, now: Moment) {
        if open.request.is_none() {
            open.request = Some(Request { started_at: now, is_counted: true });
            self.counts.add_active();
        }
    }

    /// Records a segment of the upstream. Its first data ends the request in progress.
    fn handle_upstream_segment(
        &self,
        open: &mut OpenFlow,
        segment: &Segment,
        now: Moment,
    ) -> Option<Span> {
        open.last_seen = now;
        open.is_proven = true;
        let request = if segment.length > 0 { self.end_request(open) } else { None };
        let time = request
            .map(|request| now.since(request.started_at))
            .inspect(|time| self.counts.record_service_time(*time));
        if segment.control == Control::Finish {
            self.finish_flow(open);
        }
        time
    }

    /// Marks a flow as finished. Its entry stays, since its last segments may still arrive.
    fn finish_flow(&self, open: &mut OpenFlow) {
        if !std::mem::replace(&mut open.is_finished, true) {
            self.counts.remove_open();
        }
        self.end_request(open);
    }

    fn end_flow(&self, open: &mut OpenFlow) {
        if !open.is_finished {
            self.counts.remove_open();
        }
        self.end_request(open);
    }

    fn end_request(&self, open: &mut OpenFlow) -> Option<Request> {
        let request = open.request.take();
        if request.is_some_and(|request| request.is_counted) {
            self.counts.remove_active();
        }
        request
    }
}

/// Passes an opening segment that an agent does not take to the next candidate, or refuses it if
/// none is left.
pub fn pass_or_refuse(offer: Offer) -> Decision {
    let Offer { origin, rest, hops } = offer;
    match rest.split_first() {
        Some((&to, rest)) if hops + 1 < MAX_HOPS => {
            Decision::Pass(to, Offer { origin, rest: rest.into(), hops: hops + 1 })
        }
        _ => Decision::Refuse(origin),
    }
}

fn pass_or_refuse_action(flow: Flow, offer: &Offer, datagram: &[u8]) -> Action {
    match pass_or_refuse(offer.clone()) {
        Decision::Pass(to, offer) => Action::Pass { flow, to, offer, datagram: datagram.into() },
        _ => Action::Refuse { flow, origin: offer.origin, datagram: datagram.into() },
    }
}
