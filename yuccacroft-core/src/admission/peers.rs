//! Selection of the sibling that a queued request is offered to, by the load that siblings report.

use {
    crate::{
        flow::AgentId,
        time::{Moment, Span},
        units::Slots,
    },
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
};

/// Time for which a reported load is used. A slot seldom changes hands within it; a longer time
/// leaves slots idle that have become free since the report.
const LOAD_TTL: Span = Span::from_millis(10);
/// Time for which a sibling that refused an offer gets no further one; a slot seldom becomes free
/// sooner.
const FULL_BACKOFF: Span = Span::from_millis(4);
/// Time for which a sibling that did not reply gets no further offer.
const SILENT_BACKOFF: Span = Span::from_secs(1);
const SAMPLED_PEERS: usize = 2;

/// The load of an agent, sent with every message between siblings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiblingLoad {
    /// Number of running requests.
    pub running: Slots,
    /// Number of queued requests.
    pub waiting: u32,
    /// The current concurrency limit.
    pub limit: Slots,
    /// Mean service time of the busiest route class, zero when unknown.
    pub service: Span,
}

/// The siblings of one agent, with their last reported loads.
#[derive(Debug)]
pub struct Peers<R> {
    peers: Vec<Peer>,
    random: R,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    agent_id: AgentId,
    load: Option<(SiblingLoad, Moment)>,
    avoid_until: Moment,
    pending_offers: u32,
}

impl SiblingLoad {
    fn free(&self) -> u32 {
        self.limit.get().saturating_sub(self.running.get() + self.waiting)
    }
}

impl<R: Rng> Peers<R> {
    /// Creates an empty set. `random` samples the siblings in [`Self::pick`].
    pub fn new(random: R) -> Self {
        Self { peers: Vec::new(), random }
    }

    /// Replaces the siblings with those of the latest announcement. Keeps the state of each one
    /// whose address and incarnation are unchanged.
    pub fn replace(&mut self, agent_ids: &[AgentId]) {
        let known = std::mem::take(&mut self.peers);
        self.peers.extend(agent_ids.iter().map(|&agent_id| {
            let kept = known.iter().find(|peer| peer.agent_id == agent_id).copied();
            kept.unwrap_or(Peer {
                agent_id,
                load: None,
                avoid_until: Moment::default(),
                pending_offers: 0,
            })
        }));
    }

    /// Samples two siblings that may have a free slot and returns the less loaded one. Pending
    /// offers count as load. Siblings in `tried` are skipped.
    pub fn pick(&mut self, tried: &[AgentId], now: Moment) -> Option<AgentId> {
        let usable = |peer: &Peer| peer.is_usable(now) && !tried.contains(&peer.agent_id);
        let mut usable: Vec<_> =
            (0..self.peers.len()).filter(|&i| usable(&self.peers[i])).collect();
        let count = usable.len().min(SAMPLED_PEERS);
        for index in 0..count {
            let other = self.random.random_range(index..usable.len());
            usable.swap(index, other);
        }
        let best = usable[..count].iter().copied().min_by_key(|&i| self.peers[i].cost(now))?;
        self.peers[best].pending_offers += 1;
        Some(self.peers[best].agent_id)
    }

    /// Records the load that a message of a sibling reported. `accepted` is false when the message
    /// refuses an offer.
    pub fn record_load(
        &mut self,
        agent_id: AgentId,
        load: SiblingLoad,
        accepted: bool,
        now: Moment,
    ) {
        if let Some(peer) = self.find_mut(agent_id) {
            peer.load = Some((load, now));
            peer.avoid_until = if accepted { now } else { now + FULL_BACKOFF };
        }
    }

    /// Records that an offer to a sibling is no longer pending.
    pub fn offer_ended(&mut self, agent_id: AgentId) {
        if let Some(peer) = self.find_mut(agent_id) {
            peer.pending_offers = peer.pending_offers.saturating_sub(1);
        }
    }

    /// Records that a sibling did not reply.
    pub fn record_silence(&mut self, agent_id: AgentId, now: Moment) {
        if let Some(peer) = self.find_mut(agent_id) {
            peer.avoid_until = now + SILENT_BACKOFF;
        }
    }

    /// Returns the number of siblings.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if there are no siblings.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns true if a sibling has this address and incarnation.
    pub fn contains(&self, agent_id: AgentId) -> bool {
        self.peers.iter().any(|peer| peer.agent_id == agent_id)
    }

    fn find_mut(&mut self, agent_id: AgentId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.agent_id == agent_id)
    }
}

impl Peer {
    fn is_usable(&self, now: Moment) -> bool {
        if now < self.avoid_until {
            return false;
        }
        self.recent_load(now).is_none_or(|load| load.free() > self.pending_offers)
    }

    fn recent_load(&self, now: Moment) -> Option<SiblingLoad> {
        let (load, received) = self.load?;
        (now.since(received) < LOAD_TTL).then_some(load)
    }

    /// Returns the cost of an offer: the service time divided by the free slots, plus the pending
    /// offers. A sibling without a recent load costs its pending offers only.
    fn cost(&self, now: Moment) -> u64 {
        let Some(load) = self.recent_load(now) else { return u64::from(self.pending_offers) };
        let free = u64::from(load.free().saturating_sub(self.pending_offers).max(1));
        load.service.as_micros() / free + u64::from(self.pending_offers)
    }
}
