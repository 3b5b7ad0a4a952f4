//! Siblings that may take a queued request, chosen by the load that their replies carried.

use {
    crate::{
        flow::Hop,
        time::{Moment, Span},
        units::Slots,
    },
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
};

/// Time for which a reported load decides. Within it a slot seldom changes hands; longer memory
/// leaves slots idle that have become free since.
const FRESH: Span = Span::from_millis(10);
/// Time for which a full sibling is not asked again; a slot seldom frees sooner.
const FULL: Span = Span::from_millis(4);
/// Time for which a sibling that did not reply is not asked again.
const SILENT: Span = Span::from_secs(1);
const CHOICES: usize = 2;

/// The load of an agent, carried by every message between siblings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: Slots,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run.
    pub limit: Slots,
    /// The usual service time, zero when unknown.
    pub service: Span,
}

/// The siblings of one agent.
#[derive(Debug)]
pub struct Peers<R> {
    peers: Vec<Peer>,
    random: R,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    hop: Hop,
    load: Option<(Load, Moment)>,
    avoid: Moment,
    offered: u32,
}

impl Load {
    fn free(&self) -> u32 {
        self.limit.get().saturating_sub(self.running.get() + self.waiting)
    }
}

impl<R: Rng> Peers<R> {
    /// Creates an empty set. `random` draws the choices.
    pub fn new(random: R) -> Self {
        Self { peers: Vec::new(), random }
    }

    /// Takes the siblings of the latest announcement and keeps what is known of the ones that
    /// stay in the same life.
    pub fn replace(&mut self, hops: &[Hop]) {
        let known = std::mem::take(&mut self.peers);
        self.peers.extend(hops.iter().map(|&hop| {
            let kept = known.iter().find(|peer| peer.hop == hop).copied();
            kept.unwrap_or(Peer { hop, load: None, avoid: Moment::default(), offered: 0 })
        }));
    }

    /// Draws two siblings that may have a free slot and returns the better one. Offers that are
    /// under way count as load.
    pub fn pick(&mut self, tried: &[Hop], now: Moment) -> Option<Hop> {
        let usable = |peer: &Peer| peer.is_usable(now) && !tried.contains(&peer.hop);
        let mut usable: Vec<_> =
            (0..self.peers.len()).filter(|&i| usable(&self.peers[i])).collect();
        let count = usable.len().min(CHOICES);
        for index in 0..count {
            let other = self.random.random_range(index..usable.len());
            usable.swap(index, other);
        }
        let best = usable[..count].iter().copied().min_by_key(|&i| self.peers[i].cost(now))?;
        self.peers[best].offered += 1;
        Some(self.peers[best].hop)
    }

    /// Notes the load that a sibling's message carried. `room` is false when it refused an offer.
    pub fn record_load(&mut self, hop: Hop, load: Load, room: bool, now: Moment) {
        if let Some(peer) = self.find(hop) {
            peer.load = Some((load, now));
            peer.avoid = if room { now } else { now + FULL };
        }
    }

    /// Notes that an offer has ended.
    pub fn offer_ended(&mut self, hop: Hop) {
        if let Some(peer) = self.find(hop) {
            peer.offered = peer.offered.saturating_sub(1);
        }
    }

    /// Notes that a sibling did not reply.
    pub fn record_silence(&mut self, hop: Hop, now: Moment) {
        if let Some(peer) = self.find(hop) {
            peer.avoid = now + SILENT;
        }
    }

    /// Returns the number of siblings.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns true when there is no sibling.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Finds a sibling by its address and life.
    pub fn contains(&self, hop: Hop) -> bool {
        self.peers.iter().any(|peer| peer.hop == hop)
    }

    fn find(&mut self, hop: Hop) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.hop == hop)
    }
}

impl Peer {
    fn is_usable(&self, now: Moment) -> bool {
        if now < self.avoid {
            return false;
        }
        self.fresh(now).is_none_or(|load| load.free() > self.offered)
    }

    fn fresh(&self, now: Moment) -> Option<Load> {
        let (load, heard) = self.load?;
        (now.since(heard) < FRESH).then_some(load)
    }

    /// Orders by service time over free slots; a sibling without news comes between a free and a
    /// crowded one.
    fn cost(&self, now: Moment) -> u64 {
        let Some(load) = self.fresh(now) else { return u64::from(self.offered) };
        let free = u64::from(load.free().saturating_sub(self.offered).max(1));
        load.service.as_micros() / free + u64::from(self.offered)
    }
}
