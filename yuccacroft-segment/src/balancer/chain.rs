//! The filter chain for segments from callers: flow lookup, route lookup, placement, search.

use {
    std::sync::{Arc, PoisonError, RwLock},
    yuccacroft_core::{
        filter::{Filter, FilterChain, Verdict},
        flow::FlowKey,
        ids::{Domain, Instance},
        pool::{Exclusion, Pool, Reachability},
        route::{Route, RoutingTable as Routes, Target},
        segment::{Control, Segment},
        steering::{CachedFlow, SteeringTable},
        time::{Moment, Span},
    },
};

/// Limit of agents that one opening segment is offered to. It covers all agents of a small service,
/// so that a flow that no agent takes has been offered to all of them.
pub const MAX_CANDIDATES: usize = 8;
/// Time within which an agent confirms that it took an opening segment.
const TAKE_TIMEOUT: Span = Span::from_millis(120);

/// A segment from a caller, without its data.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedSegment {
    /// The decoded segment.
    pub segment: Segment,
    /// The key of its flow.
    pub key: FlowKey,
    /// The earliest time at which the segment may have arrived.
    pub arrived_at: Moment,
    /// The time of the decision.
    pub now: Moment,
    /// The service of the flow, chosen by the route of its address; `None` until the chain has
    /// found the route.
    pub target: Option<Target>,
    /// The agent that was offered the flow or owned it before, if this balancer knew one.
    pub last_agent: Option<Instance>,
    /// The agent that is offered the flow first, since it was sent an earlier copy of the segment.
    preferred: Option<Instance>,
    /// The agent that is offered the flow last, since it did not take an earlier copy in time.
    avoided: Option<Instance>,
}

/// The decision about a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward the segment to the agent that is expected to own the flow.
    Carry(Instance),
    /// Offer the flow to the agents in this order. The list is not empty.
    Offer(Target, Box<[Instance]>),
    /// Search for the owner of the flow.
    Search,
    /// Refuse to open the flow for this cause: no agent was offered this copy of the opening segment.
    Refuse(&'static str),
    /// Reset the flow towards the caller, for this cause.
    Reset(&'static str),
    /// Keep the segment until the balancer has a configuration or an agent, which this cause names.
    Wait(&'static str),
    /// Drop the segment for this cause. The caller retransmits it.
    Drop(&'static str),
}

/// The configuration in force, shared with the controller that replaces it.
pub type CurrentRoutes = RwLock<Option<Arc<Routes>>>;

/// Decides about segments of known flows. For an opening segment it only derives the preferred and
/// the avoided agent from earlier offers.
struct FlowLookup {
    table: Arc<SteeringTable>,
    pool: Arc<Pool>,
}

/// Looks up the route of the flow's address.
struct RouteLookup {
    routes: Arc<CurrentRoutes>,
}

/// Chooses the agents that are offered a new flow.
struct Placement {
    pool: Arc<Pool>,
    domain: Domain,
}

/// Starts an owner search for every other segment.
struct SearchFallback;

impl ReceivedSegment {
    /// Creates the input of the chain for a segment.
    pub fn new(segment: Segment, now: Moment) -> Self {
        let key = segment.flow.key();
        let arrived_at = now;
        Self {
            segment,
            key,
            arrived_at,
            now,
            target: None,
            last_agent: None,
            preferred: None,
            avoided: None,
        }
    }

    /// Sets the earliest time at which the segment may have arrived, if that is before the
    /// decision.
    pub fn with_arrival(self, arrived_at: Moment) -> Self {
        Self { arrived_at, ..self }
    }

    fn is_opening(&self) -> bool {
        self.segment.control == Control::Open
    }
}

/// Builds the chain.
pub fn build_chain(
    table: Arc<SteeringTable>,
    pool: Arc<Pool>,
    routes: Arc<CurrentRoutes>,
    domain: Domain,
) -> FilterChain<ReceivedSegment, Decision> {
    FilterChain::new(vec![
        Box::new(FlowLookup { table, pool: pool.clone() }),
        Box::new(RouteLookup { routes }),
        Box::new(Placement { pool, domain }),
        Box::new(SearchFallback),
    ])
}

/// Returns the configuration in force.
pub fn current_routes(routes: &CurrentRoutes) -> Option<Arc<Routes>> {
    routes.read().unwrap_or_else(PoisonError::into_inner).clone()
}

impl FlowLookup {
    fn takes_flows(&self, agent: Instance) -> bool {
        self.pool.get(agent).is_some_and(|member| member.takes_flows())
    }

    /// Returns the decision for a flow with a known owner. The flows of a lost agent are reset,
    /// unless its silence may be due to the link of this balancer. The owner is checked again for
    /// each segment, so that its flows are forwarded as soon as it answers.
    fn decide_owned(&self, owner: Instance, now: Moment) -> Decision {
        let Some(member) = self.pool.get(owner) else { return Decision::Carry(owner) };
        // The timeout depends on all members, so it is computed for a silent owner only.
        let is_silent = member.reachability(now) != Reachability::Good;
        if is_silent && member.is_lost(self.pool.loss_timeout(now), now) {
            return Decision::Reset("owner lost");
        }
        Decision::Carry(owner)
    }
}

impl Filter<ReceivedSegment> for FlowLookup {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "memory"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        let record = self.table.touch(received.key, &received.segment, received.now);
        if received.is_opening() {
            match record {
                Some(CachedFlow::Offered { to, taken, at }) => {
                    if taken || received.now.since(at) < TAKE_TIMEOUT {
                        received.preferred = Some(to);
                    } else {
                        received.avoided = Some(to);
                    }
                }
                Some(CachedFlow::Owned { owner, .. }) if self.takes_flows(owner.instance) => {
                    received.preferred = Some(owner.instance);
                }
                // A copy of the opening segment has no use any more, and a new flow from the same port
                // goes to an agent that takes it.
                Some(CachedFlow::Owned { .. }) => {}
                Some(CachedFlow::Lost(_)) | None => {}
            }
            return Verdict::Continue;
        }
        match record {
            Some(flow @ CachedFlow::Owned { owner, .. }) => {
                let decision = self.decide_owned(owner.instance, received.now);
                if matches!(decision, Decision::Reset(_)) && flow.is_other_flow(&received.segment) {
                    // The failed agent owned an earlier flow between the same addresses.
                    self.table.remove(received.key);
                    received.last_agent = Some(owner.instance);
                    return Verdict::Continue;
                }
                Verdict::Done(decision)
            }
            Some(CachedFlow::Offered { to, .. }) => Verdict::Done(Decision::Carry(to)),
            Some(CachedFlow::Lost(verdict))
                if verdict.applies_to(&received.segment, self.pool.evidence_version()) =>
            {
                Verdict::Done(Decision::Reset("flow lost"))
            }
            Some(CachedFlow::Lost(_)) | None => Verdict::Continue,
        }
    }
}

impl Filter<ReceivedSegment> for RouteLookup {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "address"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        let Some(routes) = current_routes(&self.routes) else {
            return Verdict::Done(Decision::Wait("no configuration"));
        };
        let route = routes.route(&received.segment.flow.address);
        received.target = route.and_then(|route: &Route| route.target(received.key.get()));
        if received.target.is_none() && received.is_opening() {
            return Verdict::Done(Decision::Drop("no route"));
        }
        Verdict::Continue
    }
}

impl Filter<ReceivedSegment> for Placement {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "placement"
    }

    fn apply(&self, received: &mut ReceivedSegment) -> Verdict<Decision> {
        let Some(target) = received.target.filter(|_| received.is_opening()) else {
            return Verdict::Continue;
        };
        let mut candidates =
            self.pool.choose(target, &self.domain, received.key, MAX_CANDIDATES, received.now);
        if let Some(preferred) = received.preferred
            && let Some(member) = self.pool.get(preferred)
            && member.reachability(received.now) == Reachability::Good
            && member.exclusion() != Some(Exclusion::Evacuated)
        {
            candidates.retain(|candidate| *candidate != preferred);
            candidates.insert(0, preferred);
        }
        if let Some(avoided) = received.avoided
            && let Some(position) = candidates.iter().position(|candidate| *candidate == avoided)
        {
            // The agent stays in the list as the last candidate.
            candidates.remove(position);
            candidates.push(avoided);
        }
        if candidates.is_empty() && self.pool.is_evacuated(target) {
            return Verdict::Done(Decision::Refuse("all domains evacuated"));
        }
        if candidates.is_empty() {
            return Verdict::Done(Decision::Wait("no agent"));
        }
        Verdict::Done(Decision::Offer(target, candidates.into()))
    }
}

impl Filter<ReceivedSegment> for SearchFallback {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "unknown"
    }

    fn apply(&self, _: &mut ReceivedSegment) -> Verdict<Decision> {
        Verdict::Done(Decision::Search)
    }
}
