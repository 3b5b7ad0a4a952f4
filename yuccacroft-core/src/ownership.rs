//! What an agent does with an untagged packet, from its own true state.

use {
    crate::{
        directory::{Entries, Outcome},
        flow::{Hop, Key, Phase},
        ids::{Incarnation, Instance},
        placement::{Chain, Homes, Step},
        shards::Shards,
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering as Compared,
        sync::atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

/// Time for which an untagged flow is remembered after its last untagged packet.
const MEMORY: Span = Span::from_secs(60);
/// Time for which the load of another agent is taken to be true.
const LOAD_MEMORY: Span = Span::from_millis(50);
/// Time without an answer after which a second choice is taken to be dead: several times the round
/// trip between failure domains.
const PASS_TIMEOUT: Span = Span::from_millis(20);
/// Time after which a second choice that did not answer is tried again.
const PASS_RETRY: Span = Span::from_millis(500);
/// Agents that one packet may visit: all of the longest chain, the way back to the first choice
/// and two owners.
pub const MAX_HOPS: u8 = 12;

/// The open flows of an agent relative to its weight. Loads compare as fractions.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Load {
    open: Connections,
    weight: Weight,
}

/// A packet as an agent sees it.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// The key of its flow.
    pub key: Key,
    /// Its part in the flow.
    pub phase: Phase,
    /// The candidates that its balancer named.
    pub chain: &'a Chain,
    /// The part in which this agent receives it.
    pub step: Step,
    /// The life of this agent that the sender meant.
    pub expected: Incarnation,
    /// The agents that it visited before.
    pub hops: u8,
    /// The load of the agent that passed it, when it compares loads.
    pub load: Option<Load>,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The flow lives here.
    Deliver,
    /// The flow begins here, and there is no home to ask. [`Table::claim_won`] follows.
    Accept,
    /// The flow begins here if its homes agree; the packet waits for their answers.
    Claim,
    /// The claim of the flow is still open; the packet waits for its end.
    Wait,
    /// Another agent is asked, in this part.
    Pass(Hop, Step, Option<Load>),
    /// Nobody owns the flow; the caller is told.
    Reset,
    /// The packet is dropped for this cause; the caller tries again.
    Drop(&'static str),
}

/// The untagged flows of one agent.
#[derive(Debug)]
pub struct Table {
    own: Hop,
    limit: Connections,
    memory: Span,
    weight: AtomicU32,
    open: AtomicU32,
    pending: AtomicU32,
    draining: AtomicBool,
    flows: Shards<Key, Flow>,
    entries: Entries,
    loads: Shards<Instance, (Load, Moment)>,
    asked: Shards<Instance, Moment>,
}

#[derive(Clone, Copy, Debug)]
enum Flow {
    Claimed,
    Owned(Moment),
}

impl Load {
    /// The load of an agent that takes no flow at all.
    pub const FULL: Self = Self { open: Connections::new(u32::MAX), weight: Weight::new(0) };

    /// Builds the load of an agent; a weight of zero counts as full.
    pub fn new(open: Connections, weight: Weight) -> Self {
        if weight.get() == 0 { Self::FULL } else { Self { open, weight } }
    }

    /// Returns true when the agent takes no flow at all.
    pub fn is_full(self) -> bool {
        self.weight.get() == 0
    }
}

impl Ord for Load {
    fn cmp(&self, other: &Self) -> Compared {
        let scaled =
            |open: Connections, weight: Weight| u64::from(open.get()) * u64::from(weight.get());
        match (self.is_full(), other.is_full()) {
            (false, false) => scaled(self.open, other.weight).cmp(&scaled(other.open, self.weight)),
            (own, other) => own.cmp(&other),
        }
    }
}

impl PartialOrd for Load {
    fn partial_cmp(&self, other: &Self) -> Option<Compared> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Load {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Compared::Equal
    }
}

impl Eq for Load {}

impl Table {
    /// Creates the table of an agent that holds at most `limit` connections.
    pub fn new(own: Hop, limit: Connections, weight: Weight) -> Self {
        Self {
            own,
            limit,
            memory: MEMORY,
            weight: AtomicU32::new(weight.get()),
            open: AtomicU32::new(0),
            pending: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            flows: Shards::new(),
            entries: Entries::default(),
            loads: Shards::new(),
            asked: Shards::new(),
        }
    }

    /// Sets the time for which a silent flow is remembered, for front ends without tags.
    pub fn with_flow_timeout(self, memory: Span) -> Self {
        Self { memory, ..self }
    }

    /// Decides about one packet.
    pub fn decide(&self, packet: &Packet<'_>, now: Moment) -> Decision {
        self.note_load(packet, now);
        if let Some(decision) = self.known(packet.key, now) {
            return decision;
        }
        if packet.hops >= MAX_HOPS {
            return Decision::Drop("hops");
        }
        match self.entries.find(packet.key, now) {
            Some(owner) if owner.instance != self.own.instance => {
                return Decision::Pass(owner, Step::Owner, None);
            }
            _ => {}
        }
        match packet.phase {
            Phase::First => self.place(packet, now),
            Phase::Middle => self.search(packet, now),
        }
    }

    /// Notes that the claim of a key was won.
    pub fn claim_won(&self, key: Key, now: Moment) {
        self.flows.insert(key, Flow::Owned(now));
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes that the claim of a key was lost and who owns it.
    pub fn claim_lost(&self, key: Key, winner: Hop, now: Moment) {
        self.flows.remove(&key);
        self.pending.fetch_sub(1, Ordering::Relaxed);
        self.entries.record(key, winner, self.own, now);
    }

    /// Answers the claim of an agent, which may be this one.
    pub fn answer_claim(&self, key: Key, claimant: Hop, now: Moment) -> Outcome {
        let owned = self.flows.read(&key, |flow| matches!(flow, Some(Flow::Owned(_))));
        if owned && claimant.instance != self.own.instance {
            return Outcome::Held(self.own);
        }
        self.entries.claim(key, claimant, now)
    }

    /// Takes an entry that another agent published.
    pub fn record_entry(&self, key: Key, owner: Hop, from: Hop, now: Moment) {
        self.entries.record(key, owner, from, now);
    }

    /// Returns true while the claim of a key is open.
    pub fn is_claiming(&self, key: Key) -> bool {
        self.flows.read(&key, |flow| matches!(flow, Some(Flow::Claimed)))
    }

    /// Returns the entries that homes need when the members changed from `before` to `after`, for
    /// flows that were used at `since` or later. An empty `before` returns all of them.
    pub fn missing_entries(&self, before: &Homes, after: &Homes, since: Moment) -> Vec<(Hop, Key)> {
        self.flows.fold(Vec::new(), |mut list, &key, flow| {
            if matches!(flow, Flow::Owned(seen) if *seen >= since) {
                let added = after.of(key).filter(|home| home.instance != self.own.instance);
                let added = added.filter(|home| !before.of(key).any(|known| known == *home));
                list.extend(added.map(|home| (home, key)));
            }
            list
        })
    }

    /// Notes the load of another agent.
    pub fn record_load(&self, instance: Instance, load: Load, now: Moment) {
        self.asked.remove(&instance);
        self.loads.insert(instance, (load, now));
    }

    /// Returns the load of this agent.
    pub fn load(&self) -> Load {
        let open = self.open.load(Ordering::Relaxed) + self.pending.load(Ordering::Relaxed);
        if self.is_draining() || open >= self.limit.get() {
            return Load::FULL;
        }
        Load::new(Connections::new(open), Weight::new(self.weight.load(Ordering::Relaxed)))
    }

    /// Sets the weight, which grows while the upstream warms up.
    pub fn set_weight(&self, weight: Weight) {
        self.weight.store(weight.get(), Ordering::Relaxed);
    }

    /// Counts a connection that was opened.
    pub fn count_opened(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that ended.
    pub fn count_closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Forgets a flow that ended.
    pub fn remove(&self, key: Key) {
        self.flows.remove(&key);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> Connections {
        Connections::new(self.open.load(Ordering::Relaxed))
    }

    /// Stops accepting flows; the ones that live here stay.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns true when no new flow is accepted.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Forgets untagged flows that were silent for long, and entries of agents that are gone.
    pub fn expire(&self, is_gone: impl Fn(Hop) -> bool, now: Moment) {
        self.flows.retain(|_, flow| match flow {
            Flow::Claimed => true,
            Flow::Owned(seen) => now.since(*seen) < self.memory,
        });
        self.entries.retain(is_gone, now);
        self.loads.retain(|_, (_, seen)| now.since(*seen) < LOAD_MEMORY);
    }

    /// Returns the address and life of the agent.
    pub fn own_hop(&self) -> Hop {
        self.own
    }

    /// Returns the agent that is registered here as the owner of a key.
    pub fn registered_owner(&self, key: Key, now: Moment) -> Option<Hop> {
        self.entries.find(key, now)
    }

    /// Returns the number of entries that are kept as a home.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn known(&self, key: Key, now: Moment) -> Option<Decision> {
        match self.flows.get(&key)? {
            Flow::Claimed => Some(Decision::Wait),
            Flow::Owned(_) => {
                self.flows.insert(key, Flow::Owned(now));
                Some(Decision::Deliver)
            }
        }
    }

    fn note_load(&self, packet: &Packet<'_>, now: Moment) {
        let sender = match packet.step {
            Step::Second => packet.chain.first(),
            Step::Settled => packet.chain.second(),
            _ => None,
        };
        if let (Some(sender), Some(load)) = (sender, packet.load) {
            self.record_load(sender.instance, load, now);
        }
    }

    /// Decides where a flow begins.
    fn place(&self, packet: &Packet<'_>, now: Moment) -> Decision {
        let stale = packet.expected != self.own.incarnation;
        let own = if stale { Load::FULL } else { self.load() };
        match packet.step {
            Step::First => match self.rival(packet.chain, own, now) {
                Some(next) => Decision::Pass(next, Step::Second, Some(own)),
                None => self.accept(packet, own, 0),
            },
            Step::Second => match (packet.load, packet.chain.first()) {
                (Some(load), Some(first)) if !load.is_full() && load <= own => {
                    Decision::Pass(first, Step::Settled, Some(own))
                }
                _ => self.accept(packet, own, 0),
            },
            Step::Settled | Step::Owner => self.accept(packet, own, 0),
            Step::Home(position) => self.accept(packet, own, usize::from(position) + 1),
        }
    }

    /// Returns the second choice unless its load is known not to be below the own one.
    fn rival(&self, chain: &Chain, own: Load, now: Moment) -> Option<Hop> {
        let next = chain.second().filter(|next| next.instance != self.own.instance)?;
        let known = self.loads.get(&next.instance);
        let fresh = known.filter(|(_, seen)| now.since(*seen) < LOAD_MEMORY);
        match fresh {
            Some((load, _)) if !own.is_full() && own <= load => None,
            _ => self.may_ask(next.instance, now).then_some(next),
        }
    }

    /// Returns false for an agent that owes an answer, and notes that it is asked otherwise.
    fn may_ask(&self, instance: Instance, now: Moment) -> bool {
        self.asked.update(instance, |asked| {
            let waited = now.since(*asked.get_or_insert(now));
            if waited >= PASS_RETRY {
                *asked = Some(now);
            }
            !(PASS_TIMEOUT..PASS_RETRY).contains(&waited)
        })
    }

    /// Begins the flow, or passes its packet to a home from `position` on.
    fn accept(&self, packet: &Packet<'_>, own: Load, position: usize) -> Decision {
        if own.is_full() {
            let next = self.next_home(packet.chain, position);
            return next.unwrap_or(Decision::Drop("room"));
        }
        let alone = packet.chain.homes().all(|home| home.instance == self.own.instance);
        let begun = self.flows.update(packet.key, |flow| {
            let begun = flow.is_none();
            flow.get_or_insert(Flow::Claimed);
            begun
        });
        if !begun {
            return Decision::Wait;
        }
        self.pending.fetch_add(1, Ordering::Relaxed);
        if alone { Decision::Accept } else { Decision::Claim }
    }

    /// Looks for the owner of a flow that must exist already: at all homes, from any one of them
    /// on, so that a dead home does not hold up every packet.
    fn search(&self, packet: &Packet<'_>, now: Moment) -> Decision {
        let count = packet.chain.homes().count();
        if packet.step == Step::Owner || count == 0 || usize::from(packet.hops) >= count {
            return Decision::Reset;
        }
        let start = match packet.step {
            Step::Home(position) => usize::from(position) + 1,
            _ => now.get() as usize,
        };
        let mut positions = (start..start + count).map(|position| position % count);
        let foreign = |home: Hop| home.instance != self.own.instance;
        let next = positions.find(|&at| packet.chain.home(at).is_some_and(foreign));
        let home = next.and_then(|at| packet.chain.home(at).map(|home| (at, home)));
        home.map_or(Decision::Reset, |(at, home)| Decision::Pass(home, Step::Home(at as u8), None))
    }

    fn next_home(&self, chain: &Chain, from: usize) -> Option<Decision> {
        let mut homes = chain.homes().enumerate().skip(from);
        let (position, home) = homes.find(|(_, home)| home.instance != self.own.instance)?;
        Some(Decision::Pass(home, Step::Home(position as u8), None))
    }
}
