//! What an agent does with a packet, from its own true state.

use {
    crate::{
        flow::{Hop, Key, Phase},
        placement::Chain,
        shards::Shards,
        time::{Moment, Span},
        units::Connections,
    },
    std::sync::atomic::{AtomicBool, AtomicU32, Ordering},
};

/// Time for which an untagged flow is remembered after its last untagged packet.
const MEMORY: Span = Span::from_secs(60);

/// A packet as an agent sees it.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// The key of its flow.
    pub key: Key,
    /// Its part in the flow.
    pub phase: Phase,
    /// The candidates that its balancer named.
    pub chain: &'a Chain,
    /// Its position on the chain.
    pub position: usize,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The flow lives here.
    Deliver,
    /// The flow begins here.
    Accept,
    /// The next agent on the chain is asked.
    Pass(Hop),
    /// Nobody owns the flow; the caller is told.
    Reset,
    /// Nobody can take the flow now; the caller tries again.
    Drop,
}

/// The untagged flows of one agent.
#[derive(Debug)]
pub struct Book {
    own: Hop,
    limit: Connections,
    open: AtomicU32,
    draining: AtomicBool,
    flows: Shards<Key, Moment>,
}

impl Book {
    /// Creates the book of an agent that holds at most `limit` connections.
    pub fn new(own: Hop, limit: Connections) -> Self {
        Self {
            own,
            limit,
            open: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            flows: Shards::new(),
        }
    }

    /// Decides about one packet.
    pub fn decide(&self, packet: &Packet<'_>, now: Moment) -> Decision {
        let known = self.flows.update(packet.key, |seen| {
            if let Some(last) = seen {
                *last = now;
            }
            seen.is_some()
        });
        if known {
            return Decision::Deliver;
        }
        let next = packet.chain.get(packet.position + 1);
        match packet.phase {
            Phase::First if self.has_room() => {
                self.flows.insert(packet.key, now);
                Decision::Accept
            }
            Phase::First => next.map_or(Decision::Drop, Decision::Pass),
            Phase::Middle => next.map_or(Decision::Reset, Decision::Pass),
        }
    }

    /// Counts a connection that was opened.
    pub fn opened(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that ended.
    pub fn closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> Connections {
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

    /// Forgets untagged flows that were silent for long.
    pub fn expire(&self, now: Moment) {
        self.flows.retain(|_, last| now.since(*last) < MEMORY);
    }

    /// Returns the address and life of the agent.
    pub fn own(&self) -> Hop {
        self.own
    }

    fn has_room(&self) -> bool {
        !self.is_draining() && self.open() < self.limit
    }
}
