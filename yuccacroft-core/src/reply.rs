//! The choice of the balancer that returns a reply to its caller.

use {
    crate::{
        shards::Shards,
        time::{Moment, Span},
    },
    std::net::SocketAddrV4,
};

/// Silence after which a balancer counts as lost while others speak.
const SILENCE: Span = Span::from_secs(1);
/// Age from which the time of the latest packet is written again; it keeps most packets from
/// taking a write lock.
const REFRESH: Span = Span::from_millis(50);
/// Time after which a silent balancer is forgotten.
const MEMORY: Span = Span::from_secs(60);

/// The balancers whose packets one agent received.
#[derive(Debug, Default)]
pub struct Balancers {
    heard: Shards<SocketAddrV4, Moment>,
}

impl Balancers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an authenticated packet of a balancer.
    pub fn record_packet(&self, balancer: SocketAddrV4, now: Moment) {
        let fresh = |seen: &Moment| now.since(*seen) < REFRESH;
        if !self.heard.read(&balancer, |seen| seen.is_some_and(fresh)) {
            self.heard.insert(balancer, now);
        }
    }

    /// Returns the balancer for a reply: `latest`, which delivered the latest packet of the caller,
    /// unless it is silent while another one speaks.
    pub fn choose(&self, latest: SocketAddrV4, now: Moment) -> SocketAddrV4 {
        let speaks = |seen: Moment| now.since(seen) <= SILENCE;
        if self.heard.get(&latest).is_some_and(speaks) {
            return latest;
        }
        let newest = self.heard.fold(None, |best: Option<(Moment, SocketAddrV4)>, at, seen| {
            best.max(Some((*seen, *at)))
        });
        newest.filter(|(seen, _)| speaks(*seen)).map_or(latest, |(_, balancer)| balancer)
    }

    /// Forgets balancers that were silent for long.
    pub fn expire(&self, now: Moment) {
        self.heard.retain(|_, seen| now.since(*seen) < MEMORY);
    }
}
