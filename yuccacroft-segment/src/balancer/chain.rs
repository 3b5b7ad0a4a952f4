//! The filter chain of segments from callers: memory, route, placement.

use {
    std::sync::{Arc, PoisonError, RwLock},
    yuccacroft_core::{
        filter::{Chain, Filter, Verdict},
        flow::Key,
        ids::{Domain, Instance},
        pool::{Pool, Reach},
        route::{Route, RoutingTable as Routes, Target},
        segment::{Control, Segment},
        steering::{Record, Table},
        time::{Moment, Span},
    },
};

/// Agents that an opening segment names at most: all of a small service, so that one that nobody
/// takes has been offered to everybody.
const CANDIDATES: usize = 8;
/// Time within which an agent says that it took an opening segment.
const TAKE_TIMEOUT: Span = Span::from_millis(120);

/// A segment from a caller, without its bytes.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// The head of the segment.
    pub segment: Segment,
    /// The key of its flow.
    pub key: Key,
    /// The present moment.
    pub now: Moment,
    /// The service that the route of its address names, once the chain has found it.
    pub target: Option<Target>,
    /// The agent to be offered the flow first, when an earlier copy went there.
    first: Option<Instance>,
    /// The agent that did not take an earlier copy in time.
    avoid: Option<Instance>,
}

/// What becomes of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The agent is taken for the owner of the flow.
    Carry(Instance),
    /// The agents are offered the flow, in this order; there is at least one.
    Offer(Target, Box<[Instance]>),
    /// The owner is searched.
    Search,
    /// The caller is told that the flow does not exist.
    Reset(&'static str),
    /// The segment waits for what the balancer is about to learn.
    Wait(&'static str),
    /// The segment is dropped; the caller sends it again.
    Drop(&'static str),
}

/// The configuration in force, shared with the controller that replaces it.
pub type Current = RwLock<Option<Arc<Routes>>>;

/// Looks up what is known of the flow.
struct Memory {
    table: Arc<Table>,
    pool: Arc<Pool>,
}

/// Looks up the route of the address.
struct Address {
    current: Arc<Current>,
}

/// Chooses the agents that are offered a new flow.
struct Placement {
    pool: Arc<Pool>,
    domain: Domain,
}

/// Sends every other segment into a search.
struct Unknown;

impl Item {
    /// Begins the way of a segment.
    pub fn new(segment: Segment, now: Moment) -> Self {
        let key = segment.flow.key();
        Self { segment, key, now, target: None, first: None, avoid: None }
    }

    fn is_opening(&self) -> bool {
        self.segment.control == Control::Open
    }
}

/// Builds the chain.
pub fn new(
    table: Arc<Table>,
    pool: Arc<Pool>,
    current: Arc<Current>,
    domain: Domain,
) -> Chain<Item, Decision> {
    Chain::new(vec![
        Box::new(Memory { table, pool: pool.clone() }),
        Box::new(Address { current }),
        Box::new(Placement { pool, domain }),
        Box::new(Unknown),
    ])
}

/// Returns the configuration in force.
pub fn current(current: &Current) -> Option<Arc<Routes>> {
    current.read().unwrap_or_else(PoisonError::into_inner).clone()
}

impl Memory {
    /// An agent that is lost takes its flows with it, unless it is this balancer that is cut off.
    fn carry(&self, owner: Instance, now: Moment) -> Decision {
        let lost = self.pool.get(owner).is_some_and(|member| member.is_lost(now));
        if lost && !self.pool.is_isolated(now) {
            return Decision::Reset("owner lost");
        }
        Decision::Carry(owner)
    }
}

impl Filter<Item> for Memory {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "memory"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let record = self.table.touch(item.key, item.now);
        if item.is_opening() {
            match record {
                Some(Record::Offered { to, taken, at }) => {
                    if taken || item.now.since(at) < TAKE_TIMEOUT {
                        item.first = Some(to);
                    } else {
                        item.avoid = Some(to);
                    }
                }
                Some(Record::Owned { owner, .. }) => item.first = Some(owner.instance),
                Some(Record::Lost { .. }) | None => {}
            }
            return Verdict::Continue;
        }
        match record {
            Some(Record::Owned { owner, .. }) => {
                Verdict::Done(self.carry(owner.instance, item.now))
            }
            Some(Record::Offered { to, .. }) => Verdict::Done(Decision::Carry(to)),
            Some(Record::Lost { .. }) => Verdict::Done(Decision::Reset("flow lost")),
            None => Verdict::Continue,
        }
    }
}

impl Filter<Item> for Address {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "address"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let Some(routes) = current(&self.current) else {
            return Verdict::Done(Decision::Wait("no configuration"));
        };
        let route = routes.route(&item.segment.flow.address);
        item.target = route.and_then(|route: &Route| route.target(item.key.get()));
        if item.target.is_none() && item.is_opening() {
            return Verdict::Done(Decision::Drop("no route"));
        }
        Verdict::Continue
    }
}

impl Filter<Item> for Placement {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "placement"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let Some(target) = item.target.filter(|_| item.is_opening()) else {
            return Verdict::Continue;
        };
        let mut chosen = self.pool.choose(target, &self.domain, item.key, CANDIDATES, item.now);
        if let Some(first) = item.first
            && let Some(member) = self.pool.get(first)
            && member.reach(item.now) == Reach::Good
        {
            chosen.retain(|candidate| *candidate != first);
            chosen.insert(0, first);
        }
        if let Some(avoid) = item.avoid
            && let Some(position) = chosen.iter().position(|candidate| *candidate == avoid)
        {
            // It stays the last resort.
            chosen.remove(position);
            chosen.push(avoid);
        }
        if chosen.is_empty() {
            return Verdict::Done(Decision::Wait("no agent"));
        }
        Verdict::Done(Decision::Offer(target, chosen.into()))
    }
}

impl Filter<Item> for Unknown {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "unknown"
    }

    fn apply(&self, _: &mut Item) -> Verdict<Decision> {
        Verdict::Done(Decision::Search)
    }
}
