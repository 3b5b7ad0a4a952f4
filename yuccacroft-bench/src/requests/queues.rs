//! The queues that an agent of the segment front end may keep in front of its upstream: its backlog as
//! without requirements, its backlog with admission by expected wait, and two published policies.

use {
    super::overload::Overload,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddrV4,
    },
    yuccacroft_core::{
        admission::{
            service_times::ServiceTimes,
            workload::{Outlook, ServiceTime, Workload},
        },
        backlog::{Backlog, Release},
        flow::FlowKey,
        route::{Priority, TrafficClass},
        segment::{Control, Flow, Segment, Sequence},
        time::{Moment, Span},
        units::Slots,
    },
};

/// The class of all requests.
pub const CLASS: TrafficClass = TrafficClass {
    priority: Priority::new(1),
    objective: Span::from_millis(300),
    timeout: Span::from_millis(1_500),
};
/// Number of agents that offer a request on because it would wait, as in the agent.
const MAX_BUSY_HOPS: usize = 2;
/// The queueing delay that CoDel and the credits aim at.
const TARGET_DELAY: Span = Span::from_millis(30);
/// Time for which the delay has to exceed its target until CoDel drops a request.
const CODEL_INTERVAL: Span = Span::from_millis(300);
/// The part of a credit that each start without delay adds.
const CREDIT_INCREASE: f64 = 0.1;
/// The part of the credits that a start after a long delay removes.
const CREDIT_DECREASE: f64 = 0.02;

/// How an agent queues and refuses requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// The backlog without shares. Nothing is refused.
    Backlog,
    /// The backlog with shares. Requests that would miss their timeout are refused.
    ExpectedWait,
    /// As before, and in a lasting overload those that would miss their objective.
    Overload,
    /// A queue in order of arrival from which CoDel drops.
    CoDel,
    /// A queue in order of arrival with credits that follow the delay, as in Breakwater.
    Credits,
}

/// What happens to the next request of a queue.
pub enum Next {
    /// It starts.
    Start(usize),
    /// It is dropped.
    Drop(usize),
}

/// The queue of one agent. Requests are known by the indexes of their arrivals.
pub struct AgentQueue {
    kind: QueueKind,
    slots: Slots,
    backlog: Backlog,
    indexes: HashMap<FlowKey, usize>,
    queue: VecDeque<(usize, Moment)>,
    service_times: ServiceTimes,
    overload: Overload,
    credits: f64,
    codel: CoDel,
}

/// The state of CoDel.
#[derive(Default)]
struct CoDel {
    drop_at: Option<Moment>,
    dropped: u32,
}

impl QueueKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Backlog, Self::ExpectedWait, Self::Overload, Self::CoDel, Self::Credits];

    /// Returns the name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::ExpectedWait => "expected-wait",
            Self::Overload => "overload",
            Self::CoDel => "codel",
            Self::Credits => "credits",
        }
    }
}

impl AgentQueue {
    /// Creates an empty queue.
    pub fn new(kind: QueueKind, slots: u32) -> Self {
        let backlog = match kind {
            QueueKind::ExpectedWait | QueueKind::Overload => Backlog::default().with_shares(),
            _ => Backlog::default(),
        };
        Self {
            kind,
            slots: Slots::new(slots),
            backlog,
            indexes: HashMap::new(),
            queue: VecDeque::new(),
            service_times: ServiceTimes::default(),
            overload: Overload::default(),
            credits: f64::from(slots),
            codel: CoDel::default(),
        }
    }

    /// Returns true if the agent accepts a further request after this number of others. All kinds but
    /// the backlog without requirements offer a request on by the same rule while an agent is left, so
    /// that they differ in what they refuse.
    pub fn accepts(&mut self, running: u32, hops: usize, is_last: bool, now: Moment) -> bool {
        if self.kind == QueueKind::Backlog {
            return true;
        }
        let requests = running + (self.backlog.len() + self.queue.len()) as u32;
        let service = self.service_time();
        let workload = Workload::new(self.slots, requests, service.mean);
        let outlook = workload.outlook(&CLASS, service);
        let is_lasting = self.overload.is_lasting(outlook, &CLASS, now);
        let is_busy = hops < MAX_BUSY_HOPS && workload.wait() > service.mean;
        if !is_last && (is_busy || outlook != Outlook::OnTime) {
            return false;
        }
        match self.kind {
            QueueKind::Backlog | QueueKind::CoDel => true,
            QueueKind::Credits => f64::from(requests) < self.credits,
            QueueKind::ExpectedWait => outlook != Outlook::PastTimeout,
            QueueKind::Overload => {
                outlook == Outlook::OnTime || outlook == Outlook::Late && !is_lasting
            }
        }
    }

    /// Adds a request that waits.
    pub fn push(&mut self, index: usize, now: Moment) -> bool {
        if matches!(self.kind, QueueKind::CoDel | QueueKind::Credits) {
            self.queue.push_back((index, now));
            return true;
        }
        let segment = segment(index as u32);
        self.indexes.insert(segment.flow.key(), index);
        self.backlog.add(&segment, &[], CLASS, now)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self, now: Moment) -> Option<Next> {
        if matches!(self.kind, QueueKind::CoDel | QueueKind::Credits) {
            let (index, since) = self.queue.pop_front()?;
            let delay = now.since(since);
            if self.kind == QueueKind::CoDel && self.codel.drops(delay, now) {
                return Some(Next::Drop(index));
            }
            self.adjust_credits(delay);
            return Some(Next::Start(index));
        }
        match self.backlog.release(self.service_time(), now)? {
            Release::Start(key, _) => self.indexes.remove(&key).map(Next::Start),
            Release::Expired(key) => self.indexes.remove(&key).map(Next::Drop),
        }
    }

    /// Records the service time of a request that was answered.
    pub fn record(&mut self, service_time: Span, now: Moment) {
        self.service_times.record(service_time, now);
        if self.queue.is_empty() {
            self.adjust_credits(Span::ZERO);
        }
    }

    fn service_time(&self) -> ServiceTime {
        self.service_times.service_time().unwrap_or_default()
    }

    fn adjust_credits(&mut self, delay: Span) {
        if delay > TARGET_DELAY {
            self.credits *= 1.0 - CREDIT_DECREASE;
        } else {
            self.credits += CREDIT_INCREASE;
        }
        self.credits = self.credits.max(f64::from(self.slots.get()));
    }
}

impl CoDel {
    /// Returns true if a request with this delay is dropped.
    fn drops(&mut self, delay: Span, now: Moment) -> bool {
        if delay < TARGET_DELAY {
            *self = Self::default();
            return false;
        }
        let drop_at = *self.drop_at.get_or_insert(now + CODEL_INTERVAL);
        if now < drop_at {
            return false;
        }
        self.dropped += 1;
        let interval = CODEL_INTERVAL.as_micros() as f64 / f64::from(self.dropped).sqrt();
        self.drop_at = Some(drop_at + Span::from_micros(interval as u64));
        true
    }
}

fn segment(number: u32) -> Segment {
    let caller = SocketAddrV4::new((0x6440_0000 + number).into(), 40_000);
    let address = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
    Segment {
        flow: Flow { caller, address },
        control: Control::Continue,
        sequence: Sequence::new(1),
        acknowledged: Sequence::new(1),
        length: 1,
    }
}
