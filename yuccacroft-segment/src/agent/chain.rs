//! The filter chain of segments from balancers and other agents: service, ownership.

use {
    std::{
        net::SocketAddrV4,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    yuccacroft_core::{
        backlog::Backlog,
        filter::{Chain, Filter, Verdict},
        handshake::{self, Decision, Offer, Reason, Table},
        ids::Incarnation,
        route::{Target, TrafficClass},
        segment::Segment,
        time::{Moment, Span},
        units::Percent,
        upstream::Monitor,
    },
};

/// Time after the start of an agent for which its upstream may hold flows from before: the longest
/// life of a flow.
const INHERITANCE: Span = Span::from_secs(60);
/// Ticks over which the mean of the requests in progress forms, about one second.
const BUSY_TICKS: u32 = 50;
/// Requests at most that count towards the mean, so that it does not overflow.
const MAX_BUSY: u32 = 10_000;
/// Requests at an upstream at the same time beyond its slots.
const SPARE_ROOM: u32 = 1;
/// How a segment came.
#[derive(Clone, Debug)]
pub enum Way {
    /// It opens a flow of this service. The bytes are kept until the upstream has accepted it.
    Open(Target, Offer, Box<[u8]>),
    /// It belongs to a flow that must exist already.
    Flow(SocketAddrV4, Reason, TrafficClass),
}

/// A segment from a balancer or another agent.
#[derive(Clone, Debug)]
pub struct Item {
    /// The head.
    pub segment: Segment,
    /// How it came.
    pub way: Way,
    /// The present moment.
    pub now: Moment,
}

/// What the agent knows of its flows and its upstream.
#[derive(Debug)]
pub struct Beliefs {
    /// The service of the upstream.
    pub target: Target,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The flows.
    pub table: Table,
    monitor: Mutex<Monitor>,
    backlog: Mutex<Backlog>,
    stopping: AtomicBool,
    /// The mean of the requests in progress, in hundredths.
    busy: AtomicU32,
}

/// Lets no new flow of another service pass: an address can serve another one by now.
struct Service(Arc<Beliefs>);

/// Decides from the flows that live here.
struct Ownership(Arc<Beliefs>);

/// Builds the chain.
pub fn new(beliefs: &Arc<Beliefs>) -> Chain<Item, Decision> {
    Chain::new(vec![Box::new(Service(beliefs.clone())), Box::new(Ownership(beliefs.clone()))])
}

impl Beliefs {
    /// Creates the beliefs of an agent that knows nothing yet.
    pub fn new(target: Target, incarnation: Incarnation, monitor: Monitor) -> Self {
        Self {
            target,
            incarnation,
            table: Table::new(),
            monitor: Mutex::new(monitor),
            backlog: Mutex::default(),
            stopping: AtomicBool::new(false),
            busy: AtomicU32::new(0),
        }
    }

    /// Returns the monitor of the upstream.
    pub fn monitor(&self) -> MutexGuard<'_, Monitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops taking new flows; those that live here stay.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns true once the agent takes no new flows because it ends.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns true when no upstream is known to live here.
    pub fn is_alone(&self) -> bool {
        let monitor = self.monitor();
        monitor.is_gone() || monitor.last_report().is_none()
    }

    /// Returns true when the agent takes new flows.
    pub fn is_accepting(&self) -> bool {
        !self.is_stopping() && self.monitor().is_accepting()
    }

    /// Returns the requests that the upstream gets at the same time: one more than it has slots, so
    /// that a slot that becomes free has work at once.
    pub fn room(&self) -> u32 {
        let slots = self.monitor().last_report().map(|report| report.slots.get().max(1));
        slots.map_or(u32::MAX, |slots| slots + SPARE_ROOM)
    }

    /// Returns the requests that are in progress or wait.
    pub fn active(&self) -> u32 {
        self.table.active_requests() + self.backlog().len() as u32
    }

    /// Adds the present number of requests to their mean. It is called once a tick.
    pub fn observe(&self) {
        let before = self.busy.load(Ordering::Relaxed);
        let sum = before * (BUSY_TICKS - 1) + self.active().min(MAX_BUSY) * 100;
        // Rounding up lets the mean reach the present value from below.
        self.busy.store(sum.div_ceil(BUSY_TICKS), Ordering::Relaxed);
    }

    /// Returns the mean of the requests in progress over the last second.
    pub fn busy(&self) -> Percent {
        Percent::new(self.busy.load(Ordering::Relaxed))
    }

    /// Returns the waiting requests.
    pub fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the agent or of its upstream, whichever is longer.
    pub fn age(&self, now: Moment) -> Span {
        now.since(Moment::default()).max(self.monitor().age(now))
    }

    /// Returns true when the upstream may hold flows that the agent does not know of, because they
    /// began before the agent did.
    pub fn is_unsure(&self, now: Moment) -> bool {
        let monitor = self.monitor();
        let older = monitor.may_hold_unknown_flows(self.incarnation);
        older && !monitor.is_gone() && now.since(Moment::default()) < INHERITANCE
    }
}

impl Filter<Item> for Service {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "service"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        match &item.way {
            Way::Open(target, offer, _) if *target != self.0.target => {
                Verdict::Done(handshake::pass_or_refuse(offer.clone()))
            }
            _ => Verdict::Continue,
        }
    }
}

impl Filter<Item> for Ownership {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "ownership"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let (table, segment, now) = (&self.0.table, &item.segment, item.now);
        Verdict::Done(match &item.way {
            Way::Open(_, offer, datagram) => {
                table.handle_opening(segment, datagram, offer.clone(), self.0.is_accepting(), now)
            }
            Way::Flow(origin, reason, _) => {
                let (unsure, room) = (self.0.is_unsure(now), self.0.room());
                table.handle_segment(segment, *origin, *reason, unsure, room, now)
            }
        })
    }
}
