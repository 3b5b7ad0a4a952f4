//! The flows of one agent, when the handshake between caller and upstream settles who owns a flow.
//!
//! An opening segment may reach several upstreams, and each of them may accept it. The caller
//! answers one of them: its next segment acknowledges the sequence number that this upstream
//! chose. The agent sees both, so that it knows without any message whether the flow is its own.
//! An agent that began after its upstream knows nothing of the flows from before. It lets the
//! upstream tell, which returns a segment of a flow that it does not hold.

mod counts;

use {
    self::counts::Counts,
    crate::{
        flow::Key,
        ids::Instance,
        segment::{Control, Flow, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        units::Connections,
    },
    std::net::SocketAddrV4,
};

/// Time within which a living upstream accepts or returns an opening segment.
const ACCEPT_TIMEOUT: Span = Span::from_millis(60);
/// Time for which an accepted flow may stay without a segment of its caller, which gives up after
/// 1.4 s.
const OPEN_TIMEOUT: Span = Span::from_secs(3);
/// Time within which an upstream returns a segment of a flow that it does not hold.
const BOUNCE_TIMEOUT: Span = Span::from_millis(30);
/// Time for which the denial of an upstream is remembered.
const ABSENCE_MEMORY: Span = Span::from_secs(10);
/// Time after which a silent flow is forgotten: the longest life of a flow.
const FLOW_MEMORY: Span = Span::from_secs(60);
/// Mean service times after which a request without an answer does not count as in progress any
/// more; long ones take seven times the mean.
const PATIENCE_FACTOR: u64 = 8;
/// Shortest time after which a request without an answer does not count as in progress any more.
const SHORTEST_PATIENCE: Span = Span::from_millis(150);
/// Longest time after which a request without an answer does not count as in progress any more:
/// longer than the longest request.
const LONGEST_PATIENCE: Span = Span::from_millis(400);
/// Agents that one opening segment may visit.
pub const MAX_HOPS: u8 = 8;

/// The way of an opening segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The balancer that chose the candidates and learns the result.
    pub origin: SocketAddrV4,
    /// The agents to be asked after the present one, in order.
    pub rest: Box<[Instance]>,
    /// The agents that were asked before.
    pub hops: u8,
}

/// Why a balancer sends a segment of a flow that must exist already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The balancer takes this agent for the owner.
    Owner,
    /// The balancer searches the owner.
    Search,
    /// All others have denied; the upstream may be asked.
    Probe,
}

/// What becomes of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The upstream gets it.
    Deliver,
    /// The upstream gets it, and the balancer learns that the flow lives here.
    Confirm,
    /// The next agent is offered the flow.
    Pass(Instance, Offer),
    /// No agent is left; the balancer learns it.
    Refuse(SocketAddrV4),
    /// The flow is not here; the balancer learns it. `unsure` when the upstream may hold it.
    Deny {
        /// The balancer.
        origin: SocketAddrV4,
        /// Whether the upstream may hold the flow although the agent does not know of it.
        unsure: bool,
        /// Whether the balancer keeps no copy of the segment, which goes back to it then.
        returned: bool,
    },
    /// The upstream has lost the flow; the caller is told, with this position.
    Reset(Sequence),
    /// It waits until the upstream has room for another request.
    Hold,
    /// It is dropped for this cause; the caller sends it again.
    Drop(&'static str),
}

/// What follows from the passing of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The upstream did not accept in time: the opening segment goes to the next agent.
    Pass {
        /// The flow.
        flow: Flow,
        /// The next agent.
        to: Instance,
        /// The rest of its way.
        offer: Offer,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// The upstream did not accept in time, and no agent is left.
    Refuse {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
        /// The opening segment.
        datagram: Box<[u8]>,
    },
    /// The upstream kept a segment of an unknown flow, so it holds the flow.
    Confirm {
        /// The flow.
        flow: Flow,
        /// The balancer.
        origin: SocketAddrV4,
    },
}

/// A flow that ended with its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The flow.
    pub flow: Flow,
    /// The position that the caller acknowledged last.
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
    Offered { offer: Offer, datagram: Box<[u8]>, since: Moment, accepted: Option<Sequence> },
    Probed { origin: SocketAddrV4, since: Moment, returned: bool },
    Open(Open),
    Absent { since: Moment },
}

#[derive(Debug)]
struct Open {
    /// What the caller acknowledged last; unknown until it sends something.
    acknowledged: Option<Sequence>,
    /// The end of the data that the caller sent; unknown until it sends some.
    received: Option<Sequence>,
    /// When its opening segment was handed to the upstream, or the agent learned of it.
    begun: Moment,
    seen: Moment,
    /// The request that the upstream works on.
    request: Option<Work>,
    /// Whether a request waits in the backlog.
    held: bool,
    /// Whether the upstream itself showed that it holds the flow.
    proved: bool,
    finished: bool,
}

/// The flows of one agent.
#[derive(Debug, Default)]
pub struct Table {
    entries: Shards<Key, Entry>,
    counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    begun: Moment,
    /// Whether it counts among the requests in progress.
    counted: bool,
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

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about an opening segment. `accepting` tells whether the upstream takes new flows.
    pub fn offer(
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
                return next(offer);
            }
            let accepted = match slot {
                Some(Entry { state: State::Offered { accepted, .. }, .. }) => *accepted,
                _ => None,
            };
            let datagram = datagram.into();
            let state = State::Offered { offer, datagram, since: now, accepted };
            *slot = Some(Entry { flow: segment.flow, state });
            Decision::Confirm
        })
    }

    /// Decides about a later segment. `unsure` tells whether the upstream may hold flows that the
    /// agent does not know of. A request beyond the number of `room` waits.
    pub fn segment(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: Reason,
        unsure: bool,
        room: u32,
        now: Moment,
    ) -> Decision {
        // A balancer that searches keeps the segment until it has found the owner.
        let returned = reason == Reason::Owner;
        let confirmed = if returned { Decision::Deliver } else { Decision::Confirm };
        let deny = |unsure| Decision::Deny { origin, unsure, returned };
        self.entries.update(segment.flow.key(), |slot| {
            match slot.as_mut().map(|entry| &mut entry.state) {
                Some(State::Open(open)) => {
                    if self.receive(open, segment, room, now) {
                        confirmed
                    } else {
                        Decision::Hold
                    }
                }
                Some(State::Offered { accepted: Some(accepted), since, .. })
                    if segment.acknowledged == accepted.next() =>
                {
                    let mut open = self.begin(Some(segment.acknowledged), true, *since);
                    let deliver = self.receive(&mut open, segment, room, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    if deliver { confirmed } else { Decision::Hold }
                }
                Some(State::Offered { .. }) => deny(false),
                Some(State::Probed { since, .. }) if now.since(*since) >= BOUNCE_TIMEOUT => {
                    let mut open = self.begin(Some(segment.acknowledged), false, now);
                    self.receive(&mut open, segment, u32::MAX, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    Decision::Confirm
                }
                Some(State::Probed { .. }) => Decision::Drop("probing"),
                Some(State::Absent { since }) => {
                    *since = now;
                    deny(false)
                }
                None if !unsure => deny(false),
                None if reason == Reason::Search => deny(true),
                None => {
                    let state = State::Probed { origin, since: now, returned };
                    *slot = Some(Entry { flow: segment.flow, state });
                    Decision::Deliver
                }
            }
        })
    }

    /// Compares the requests in progress with what the upstream says of itself in an answer, the
    /// request of this answer included.
    pub fn compare(&self, reported: u32) {
        self.counts.compare(reported);
    }

    /// Notes what the upstream sends to a caller. Returns the time that a request took when this is
    /// the first part of its answer.
    pub fn reply(&self, segment: &Segment, now: Moment) -> Option<Span> {
        self.entries.update(segment.flow.key(), |slot| {
            let state = slot.as_mut().map(|entry| &mut entry.state);
            match (segment.control, state) {
                (Control::Accept, Some(State::Offered { accepted, .. })) => {
                    *accepted = Some(segment.sequence);
                    None
                }
                (Control::Accept, _) | (_, Some(State::Offered { .. })) => None,
                (Control::Reset, Some(State::Open(open))) => {
                    self.end(open);
                    *slot = None;
                    None
                }
                (Control::Reset, _) => {
                    *slot = None;
                    None
                }
                (_, Some(State::Open(open))) => self.send(open, segment, now),
                (_, _) => {
                    // Only an upstream that holds the flow sends on it.
                    let mut open = self.begin(Some(segment.sequence), true, now);
                    let time = self.send(&mut open, segment, now);
                    *slot = Some(Entry { flow: segment.flow, state: State::Open(open) });
                    time
                }
            }
        })
    }

    /// Decides about a segment that the upstream returned.
    pub fn bounce(&self, segment: &Segment, now: Moment) -> Decision {
        self.entries.update(segment.flow.key(), |slot| {
            let Some(entry) = slot.take() else { return Decision::Drop("unknown bounce") };
            let absent = Entry { flow: segment.flow, state: State::Absent { since: now } };
            match entry.state {
                State::Offered { offer, .. } if segment.control == Control::Open => next(offer),
                State::Probed { origin, returned, .. } => {
                    *slot = Some(absent);
                    Decision::Deny { origin, unsure: false, returned }
                }
                State::Open(open) if segment.control == Control::Open => {
                    // A late copy of the opening segment says nothing of the flow.
                    *slot = Some(Entry { flow: entry.flow, state: State::Open(open) });
                    Decision::Drop("late copy")
                }
                State::Open(mut open) => {
                    self.end(&mut open);
                    *slot = Some(absent);
                    if open.proved {
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

    /// Lets time pass: opening segments that were not accepted go on, probes end, old flows are
    /// forgotten.
    pub fn tick(&self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        // A request that a caller has given up, or that the upstream had before the agent began,
        // may have no end that the agent sees.
        let patience = self.service_time().saturating_mul(PATIENCE_FACTOR);
        let patience = patience.clamp(SHORTEST_PATIENCE, LONGEST_PATIENCE);
        self.entries.retain(|_, entry| {
            let flow = entry.flow;
            match &mut entry.state {
                State::Offered { accepted: Some(_), since, .. } => now.since(*since) < OPEN_TIMEOUT,
                State::Offered { offer, datagram, since, .. } => {
                    if now.since(*since) < ACCEPT_TIMEOUT {
                        return true;
                    }
                    actions.push(hand_over(flow, offer, datagram));
                    false
                }
                State::Probed { origin, since, .. } => {
                    if now.since(*since) >= BOUNCE_TIMEOUT {
                        actions.push(Action::Confirm { flow, origin: *origin });
                        entry.state = State::Open(self.begin(None, false, now));
                    }
                    true
                }
                State::Open(open) => {
                    if let Some(work) = &mut open.request
                        && work.counted
                        && now.since(work.begun) >= patience
                    {
                        work.counted = false;
                        self.counts.remove_active();
                    }
                    let keep = now.since(open.seen) < FLOW_MEMORY;
                    if !keep {
                        self.end(open);
                    }
                    keep
                }
                State::Absent { since } => now.since(*since) < ABSENCE_MEMORY,
            }
        });
        actions
    }

    /// Hands every opening segment that is not accepted yet to the next agent, since the upstream
    /// takes none any more.
    pub fn release(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.entries.retain(|_, entry| {
            let State::Offered { offer, datagram, accepted: None, .. } = &entry.state else {
                return true;
            };
            actions.push(hand_over(entry.flow, offer, datagram));
            false
        });
        actions
    }

    /// Forgets the flows that began before a moment, at which the upstream ended, and returns them.
    /// Later ones belong to its next life, which takes flows before it has reported.
    pub fn lose(&self, before: Moment) -> Vec<Lost> {
        let mut lost = Vec::new();
        self.entries.retain(|_, entry| match &mut entry.state {
            State::Open(open) if open.begun < before => {
                // Without a segment of the caller any position is as good as another.
                let acknowledged = open.acknowledged.unwrap_or_default();
                let busy = open.request.is_some();
                lost.push(Lost { flow: entry.flow, acknowledged, busy });
                self.end(open);
                false
            }
            State::Offered { accepted: Some(_), since, .. } => *since >= before,
            State::Offered { .. } | State::Open(_) => true,
            State::Probed { .. } | State::Absent { .. } => false,
        });
        lost
    }

    /// Returns the number of open flows.
    pub fn open(&self) -> Connections {
        self.counts.open()
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> u32 {
        self.counts.active()
    }

    /// Returns the mean time from a request to the first byte of its answer.
    pub fn service_time(&self) -> Span {
        self.counts.service_time()
    }

    fn begin(&self, acknowledged: Option<Sequence>, proved: bool, begun: Moment) -> Open {
        self.counts.add_open();
        Open {
            acknowledged,
            received: None,
            begun,
            seen: begun,
            request: None,
            held: false,
            proved,
            finished: false,
        }
    }

    /// Notes a segment of the caller. New data is taken for a request; false means that it waits.
    fn receive(&self, open: &mut Open, segment: &Segment, room: u32, now: Moment) -> bool {
        open.seen = now;
        let known = open.acknowledged.unwrap_or(segment.acknowledged);
        open.acknowledged = Some(segment.acknowledged.latest(known));
        if matches!(segment.control, Control::Finish | Control::Reset) {
            self.finish(open);
        }
        if segment.length == 0 {
            return true;
        }
        let end = Sequence::new(segment.sequence.get().wrapping_add(u32::from(segment.length)));
        let is_new = open.received.is_none_or(|received| end.is_after(received));
        if is_new {
            open.received = Some(end);
            open.held |= open.request.is_none() && !open.finished && self.active() >= room;
        }
        if open.held {
            return false;
        }
        if is_new {
            self.work(open, now);
        }
        true
    }

    /// Hands a request that waited to the upstream. Returns false when its flow has ended.
    pub fn start(&self, key: Key, now: Moment) -> bool {
        self.entries.update(key, |slot| match slot.as_mut().map(|entry| &mut entry.state) {
            Some(State::Open(open)) if open.held => {
                open.held = false;
                self.work(open, now);
                true
            }
            _ => false,
        })
    }

    /// Notes that the caller of a request that waited has given up.
    pub fn forgo(&self, key: Key) {
        self.entries.update(key, |slot| {
            if let Some(State::Open(open)) = slot.as_mut().map(|entry| &mut entry.state) {
                open.held = false;
            }
        });
    }

    fn work(&self, open: &mut Open, now: Moment) {
        if open.request.is_none() {
            open.request = Some(Work { begun: now, counted: true });
            self.counts.add_active();
        }
    }

    /// Notes a segment of the upstream. Its first data ends the work on a request.
    fn send(&self, open: &mut Open, segment: &Segment, now: Moment) -> Option<Span> {
        open.seen = now;
        open.proved = true;
        let work = if segment.length > 0 { self.end_work(open) } else { None };
        let time = work.map(|work| now.since(work.begun)).inspect(|time| self.counts.learn(*time));
        if segment.control == Control::Finish {
            self.finish(open);
        }
        time
    }

    /// A finished flow stays known, since its last segments may still come.
    fn finish(&self, open: &mut Open) {
        if !std::mem::replace(&mut open.finished, true) {
            self.counts.remove_open();
        }
        self.end_work(open);
    }

    fn end(&self, open: &mut Open) {
        if !open.finished {
            self.counts.remove_open();
        }
        self.end_work(open);
    }

    fn end_work(&self, open: &mut Open) -> Option<Work> {
        let work = open.request.take();
        if work.is_some_and(|work| work.counted) {
            self.counts.remove_active();
        }
        work
    }
}

/// Returns the next step on the way of an opening segment that an agent does not take.
pub fn next(offer: Offer) -> Decision {
    let Offer { origin, rest, hops } = offer;
    match rest.split_first() {
        Some((&to, rest)) if hops + 1 < MAX_HOPS => {
            Decision::Pass(to, Offer { origin, rest: rest.into(), hops: hops + 1 })
        }
        _ => Decision::Refuse(origin),
    }
}

fn hand_over(flow: Flow, offer: &Offer, datagram: &[u8]) -> Action {
    match next(offer.clone()) {
        Decision::Pass(to, offer) => Action::Pass { flow, to, offer, datagram: datagram.into() },
        _ => Action::Refuse { flow, origin: offer.origin, datagram: datagram.into() },
    }
}
