//! The table of an agent's untagged flows and the decisions about untagged packets.

use {
    crate::{
        directory::{ClaimOutcome, Entries},
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{Incarnation, Instance},
        placement::{CandidateChain, ChainPosition, Homes},
        shards::Shards,
        siblings::{Siblings, Update},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering as CmpOrdering,
        sync::{
            PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
};

/// Time after the last untagged packet after which the entry of an untagged flow is removed.
const FLOW_IDLE_TIMEOUT: Span = Span::from_secs(60);
/// Time for which the reported load of another agent counts as current.
const LOAD_TTL: Span = Span::from_millis(50);
/// Time without an answer after which a second choice counts as dead: several times the round trip
/// between failure domains.
const QUERY_TIMEOUT: Span = Span::from_millis(20);
/// Time after which a second choice that did not answer is asked again.
const QUERY_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Maximum number of agents that one packet visits: all of the longest chain, the first choice for
/// a second time and two owners.
pub const MAX_HOPS: u8 = 12;

/// The number of open flows of an agent relative to its weight. Loads are compared as fractions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FlowLoad {
    open: Connections,
    weight: Weight,
}

/// An untagged packet and its routing information, as received by an agent.
#[derive(Clone, Copy, Debug)]
pub struct UntaggedPacket<'a> {
    /// The key of the packet's flow.
    pub key: FlowKey,
    /// The position of the packet in the flow.
    pub phase: FlowPhase,
    /// The candidate agents that the balancer chose.
    pub chain: &'a CandidateChain,
    /// The role in which this agent receives the packet.
    pub step: ChainPosition,
    /// The incarnation of this agent to which the sender addressed the packet.
    pub expected: Incarnation,
    /// The number of agents that the packet has visited before.
    pub hops: u8,
    /// The load of the agent that passed the packet, if the two choices compare their loads.
    pub load: Option<FlowLoad>,
}

/// The decision about a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver the packet: this agent owns the flow.
    Deliver,
    /// Accept the new flow: it has no other home at which to claim it. The agent calls
    /// [`OwnershipTable::claim_won`] next.
    Accept,
    /// Claim the new flow at its homes, and hold the packet until they have answered.
    Claim,
    /// Hold the packet until the pending claim of its flow ends.
    Wait,
    /// Pass the packet to another agent, which receives it in this role.
    Pass(AgentId, ChainPosition, Option<FlowLoad>),
    /// Send a reset to the caller: the owner or all homes of the key know that no agent owns the
    /// flow.
    Reset,
    /// Drop the packet for this cause. The caller retransmits it.
    Drop(&'static str),
}

/// The untagged flows of one agent.
#[derive(Debug)]
pub struct OwnershipTable {
    own: AgentId,
    limit: Connections,
    flow_timeout: Span,
    weight: AtomicU32,
    open: AtomicU32,
    pending_claims: AtomicU32,
    draining: AtomicBool,
    flows: Shards<FlowKey, Flow>,
    entries: Entries,
    siblings: RwLock<Siblings>,
    loads: Shards<Instance, (FlowLoad, Moment)>,
    asked_at: Shards<Instance, Moment>,
}

#[derive(Clone, Copy, Debug)]
enum Flow {
    Claimed,
    Owned(Moment),
}

impl FlowLoad {
    /// The load of an agent that takes no new flow.
    pub const FULL: Self = Self { open: Connections::new(u32::MAX), weight: Weight::new(0) };

    /// Creates the load of an agent. A weight of zero counts as full.
    pub fn new(open: Connections, weight: Weight) -> Self {
        if weight.get() == 0 { Self::FULL } else { Self { open, weight } }
    }

    /// Returns true if the agent takes no new flow.
    pub fn is_full(self) -> bool {
        self.weight.get() == 0
    }
}

impl Ord for FlowLoad {
    fn cmp(&self, other: &Self) -> CmpOrdering {
        let cross_product =
            |open: Connections, weight: Weight| u64::from(open.get()) * u64::from(weight.get());
        match (self.is_full(), other.is_full()) {
            (false, false) => {
                cross_product(self.open, other.weight).cmp(&cross_product(other.open, self.weight))
            }
            (own, other) => own.cmp(&other),
        }
    }
}

impl PartialOrd for FlowLoad {
    fn partial_cmp(&self, other: &Self) -> Option<CmpOrdering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for FlowLoad {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == CmpOrdering::Equal
    }
}

impl Eq for FlowLoad {}

impl OwnershipTable {
    /// Creates the table of an agent that holds at most `limit` connections.
    pub fn new(own: AgentId, limit: Connections, weight: Weight) -> Self {
        Self {
            own,
            limit,
            flow_timeout: FLOW_IDLE_TIMEOUT,
            weight: AtomicU32::new(weight.get()),
            open: AtomicU32::new(0),
            pending_claims: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            flows: Shards::new(),
            entries: Entries::default(),
            siblings: RwLock::new(Siblings::new(own)),
            loads: Shards::new(),
            asked_at: Shards::new(),
        }
    }

    /// Sets the idle time after which a flow is removed, for front ends without tags.
    pub fn with_flow_timeout(self, flow_timeout: Span) -> Self {
        Self { flow_timeout, ..self }
    }

    /// Decides about one packet.
    pub fn decide(&self, packet: &UntaggedPacket<'_>, now: Moment) -> Decision {
        self.record_sender_load(packet, now);
        if let Some(decision) = self.decide_known(packet.key, now) {
            return decision;
        }
        if packet.hops >= MAX_HOPS {
            return Decision::Drop("hops");
        }
        match self.entries.find(packet.key, now) {
            Some(owner) if owner.instance != self.own.instance => {
                return Decision::Pass(owner, ChainPosition::Owner, None);
            }
            _ => {}
        }
        match packet.phase {
            FlowPhase::First => self.decide_first(packet, now),
            FlowPhase::Middle => self.search_homes(packet, now),
        }
    }

    /// Records that the claim of a key was won.
    pub fn claim_won(&self, key: FlowKey, now: Moment) {
        self.flows.insert(key, Flow::Owned(now));
        self.pending_claims.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the claim of a key was lost to its owner.
    pub fn claim_lost(&self, key: FlowKey, winner: AgentId, now: Moment) {
        self.flows.remove(&key);
        self.pending_claims.fetch_sub(1, Ordering::Relaxed);
        self.entries.record(key, winner, self.own, now);
    }

    /// Answers the claim of an agent, which may be this agent itself.
    pub fn answer_claim(&self, key: FlowKey, claimant: AgentId, now: Moment) -> ClaimOutcome {
        let is_owned = self.flows.read(&key, |flow| matches!(flow, Some(Flow::Owned(_))));
        if is_owned && claimant.instance != self.own.instance {
            return ClaimOutcome::Held(self.own);
        }
        self.entries.claim(key, claimant, now)
    }

    /// Stores an entry that another agent published.
    pub fn record_entry(&self, key: FlowKey, owner: AgentId, from: AgentId, now: Moment) {
        self.entries.record(key, owner, from, now);
    }

    /// Sets the siblings that balancers list, and removes the entries of agents that are gone.
    pub fn update_siblings(&self, siblings: &[AgentId], now: Moment) -> Update {
        let update = self.write_siblings(|known| known.update(siblings, now));
        let known = self.siblings.read().unwrap_or_else(PoisonError::into_inner);
        self.expire(|owner| known.is_gone(owner, now), now);
        update
    }

    /// Keeps the siblings while no balancer answers, and returns the publications that are due.
    pub fn keep_siblings(&self, now: Moment) -> Update {
        self.write_siblings(|known| known.keep(now))
    }

    /// Records a message of a sibling.
    pub fn record_message(&self, from: AgentId, now: Moment) {
        let known = self.siblings.read().unwrap_or_else(PoisonError::into_inner);
        let needs_record = known.needs_record(from, now);
        drop(known);
        if needs_record {
            self.write_siblings(|known| known.record_message(from, now));
        }
    }

    /// Records that a sibling has published its flows to this home.
    pub fn record_publication(&self, from: AgentId, now: Moment) {
        self.write_siblings(|known| known.record_publication(from, now));
    }

    /// Returns true while the claim of a key is pending.
    pub fn is_claiming(&self, key: FlowKey) -> bool {
        self.flows.read(&key, |flow| matches!(flow, Some(Flow::Claimed)))
    }

    /// Returns the entries to publish to new homes after the members have changed from `before` to
    /// `after`, for flows that were used at `since` or later. An empty `before` returns the entries
    /// for all homes.
    pub fn missing_entries(
        &self,
        before: &Homes,
        after: &Homes,
        since: Moment,
    ) -> Vec<(AgentId, FlowKey)> {
        self.flows.fold(Vec::new(), |mut missing, &key, flow| {
            if matches!(flow, Flow::Owned(last_used) if *last_used >= since) {
                let added = after.of(key).filter(|home| home.instance != self.own.instance);
                let added = added.filter(|home| !before.of(key).any(|known| known == *home));
                missing.extend(added.map(|home| (home, key)));
            }
            missing
        })
    }

    /// Records the reported load of another agent.
    pub fn record_load(&self, instance: Instance, load: FlowLoad, now: Moment) {
        self.asked_at.remove(&instance);
        self.loads.insert(instance, (load, now));
    }

    /// Returns the load of this agent, including pending claims.
    pub fn load(&self) -> FlowLoad {
        let open = self.open.load(Ordering::Relaxed) + self.pending_claims.load(Ordering::Relaxed);
        if self.is_draining() || open >= self.limit.get() {
            return FlowLoad::FULL;
        }
        FlowLoad::new(Connections::new(open), Weight::new(self.weight.load(Ordering::Relaxed)))
    }

    /// Sets the weight, which grows while the upstream warms up.
    pub fn set_weight(&self, weight: Weight) {
        self.weight.store(weight.get(), Ordering::Relaxed);
    }

    /// Increments the number of open connections.
    pub fn count_opened(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Decrements the number of open connections.
    pub fn count_closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Removes a flow that has ended.
    pub fn remove(&self, key: FlowKey) {
        self.flows.remove(&key);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> Connections {
        Connections::new(self.open.load(Ordering::Relaxed))
    }

    /// Stops accepting new flows. Existing flows stay.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns true after [`OwnershipTable::drain`], when the agent accepts no new flow.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Removes idle untagged flows, expired loads, and directory entries that have expired or
    /// belong to agents for which `is_gone` returns true.
    pub fn expire(&self, is_gone: impl Fn(AgentId) -> bool, now: Moment) {
        self.flows.retain(|_, flow| match flow {
            Flow::Claimed => true,
            Flow::Owned(last_used) => now.since(*last_used) < self.flow_timeout,
        });
        self.entries.retain(is_gone, now);
        self.loads.retain(|_, (_, received_at)| now.since(*received_at) < LOAD_TTL);
    }

    /// Returns the address and incarnation of this agent.
    pub fn own_id(&self) -> AgentId {
        self.own
    }

    /// Returns the agent that is registered at this home as the owner of a key.
    pub fn registered_owner(&self, key: FlowKey, now: Moment) -> Option<AgentId> {
        self.entries.find(key, now)
    }

    /// Returns the number of directory entries that this agent stores as a home.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn decide_known(&self, key: FlowKey, now: Moment) -> Option<Decision> {
        match self.flows.get(&key)? {
            Flow::Claimed => Some(Decision::Wait),
            Flow::Owned(_) => {
                self.flows.insert(key, Flow::Owned(now));
                Some(Decision::Deliver)
            }
        }
    }

    fn record_sender_load(&self, packet: &UntaggedPacket<'_>, now: Moment) {
        let sender = match packet.step {
            ChainPosition::Second => packet.chain.first(),
            ChainPosition::Settled => packet.chain.second(),
            _ => None,
        };
        if let (Some(sender), Some(load)) = (sender, packet.load) {
            self.record_load(sender.instance, load, now);
        }
    }

    /// Decides about the first packet of a flow.
    fn decide_first(&self, packet: &UntaggedPacket<'_>, now: Moment) -> Decision {
        let is_stale = packet.expected != self.own.incarnation;
        let own = if is_stale { FlowLoad::FULL } else { self.load() };
        match packet.step {
            ChainPosition::First => match self.second_choice_to_ask(packet.chain, own, now) {
                Some(next) => Decision::Pass(next, ChainPosition::Second, Some(own)),
                None => self.accept_or_pass(packet, own, 0),
            },
            ChainPosition::Second => match (packet.load, packet.chain.first()) {
                (Some(load), Some(first)) if !load.is_full() && load <= own => {
                    Decision::Pass(first, ChainPosition::Settled, Some(own))
                }
                _ => self.accept_or_pass(packet, own, 0),
            },
            ChainPosition::Settled | ChainPosition::Owner => self.accept_or_pass(packet, own, 0),
            ChainPosition::Home(position) | ChainPosition::UncertainHome(position) => {
                self.accept_or_pass(packet, own, usize::from(position) + 1)
            }
        }
    }

    /// Returns the second choice, unless its load is known to be no lower than this agent's or it
    /// does not answer.
    fn second_choice_to_ask(
        &self,
        chain: &CandidateChain,
        own: FlowLoad,
        now: Moment,
    ) -> Option<AgentId> {
        let next = chain.second().filter(|next| next.instance != self.own.instance)?;
        let known = self.loads.get(&next.instance);
        let recent = known.filter(|(_, received_at)| now.since(*received_at) < LOAD_TTL);
        match recent {
            Some((load, _)) if !own.is_full() && own <= load => None,
            _ => self.may_query(next.instance, now).then_some(next),
        }
    }

    /// Returns false for an agent whose answer is overdue. Otherwise records that it is asked.
    fn may_query(&self, instance: Instance, now: Moment) -> bool {
        self.asked_at.update(instance, |asked_at| {
            let waiting_time = now.since(*asked_at.get_or_insert(now));
            if waiting_time >= QUERY_RETRY_INTERVAL {
                *asked_at = Some(now);
            }
            !(QUERY_TIMEOUT..QUERY_RETRY_INTERVAL).contains(&waiting_time)
        })
    }

    /// Accepts or claims the flow. A full agent passes the packet to the next home from `position`
    /// on.
    fn accept_or_pass(
        &self,
        packet: &UntaggedPacket<'_>,
        own: FlowLoad,
        position: usize,
    ) -> Decision {
        if own.is_full() {
            let next = self.pass_to_home(packet.chain, position);
            return next.unwrap_or(Decision::Drop("room"));
        }
        let has_no_other_home = packet.chain.homes().all(|home| home.instance == self.own.instance);
        let is_new = self.flows.update(packet.key, |flow| {
            let is_new = flow.is_none();
            flow.get_or_insert(Flow::Claimed);
            is_new
        });
        if !is_new {
            return Decision::Wait;
        }
        self.pending_claims.fetch_add(1, Ordering::Relaxed);
        if has_no_other_home { Decision::Accept } else { Decision::Claim }
    }

    /// Passes a packet of an existing flow to its homes in turn until the owner is found. The first
    /// home varies with the time, so that a dead home does not block every packet. When no home
    /// knows the owner, the flow is reset only if all of them would know it.
    fn search_homes(&self, packet: &UntaggedPacket<'_>, now: Moment) -> Decision {
        let end = |is_certain: bool| {
            if is_certain { Decision::Reset } else { Decision::Drop("owner_unknown") }
        };
        let (start, is_certain) = match packet.step {
            // The registered owner knows its own flows, and that those of earlier processes at its
            // address have ended.
            ChainPosition::Owner => return end(packet.expected <= self.own.incarnation),
            ChainPosition::Home(at) => (usize::from(at) + 1, self.is_complete(packet.key, now)),
            ChainPosition::UncertainHome(at) => (usize::from(at) + 1, false),
            _ => (now.get() as usize, true),
        };
        let count = packet.chain.homes().count();
        let mut positions = (start..start + count).map(|position| position % count);
        let is_other = |home: AgentId| home.instance != self.own.instance;
        let next = positions.find(|&at| packet.chain.home(at).is_some_and(is_other));
        let Some((at, home)) = next.and_then(|at| Some((at, packet.chain.home(at)?))) else {
            // This agent is the only home, or balancers know none.
            return end(count > 0 && is_certain && self.is_complete(packet.key, now));
        };
        if usize::from(packet.hops) >= count {
            return end(is_certain);
        }
        let position = at as u8;
        let step = if is_certain {
            ChainPosition::Home(position)
        } else {
            ChainPosition::UncertainHome(position)
        };
        Decision::Pass(home, step, None)
    }

    /// Returns true if this home would know the owner of a key.
    fn is_complete(&self, key: FlowKey, now: Moment) -> bool {
        self.siblings.read().unwrap_or_else(PoisonError::into_inner).is_complete(key, now)
    }

    fn write_siblings<R>(&self, change: impl FnOnce(&mut Siblings) -> R) -> R {
        change(&mut self.siblings.write().unwrap_or_else(PoisonError::into_inner))
    }

    fn pass_to_home(&self, chain: &CandidateChain, from: usize) -> Option<Decision> {
        let mut homes = chain.homes().enumerate().skip(from);
        let (position, home) = homes.find(|(_, home)| home.instance != self.own.instance)?;
        Some(Decision::Pass(home, ChainPosition::Home(position as u8), None))
    }
}
