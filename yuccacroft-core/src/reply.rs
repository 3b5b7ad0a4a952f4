//! Selection of the balancer through which an agent returns a reply to its caller.

use {
    crate::{
        shards::Shards,
        time::{Moment, Span},
    },
    std::net::SocketAddrV4,
};

/// Time without packets after which a balancer counts as lost while others are active.
const SILENCE_TIMEOUT: Span = Span::from_secs(1);
/// Minimum age of a recorded packet time before it is updated. Most packets then need no write
/// lock.
const REFRESH_AGE: Span = Span::from_millis(50);
/// Time without packets after which a balancer is removed.
const RETENTION: Span = Span::from_secs(60);

/// The balancers that one agent receives packets from, with the time of the last packet.
#[derive(Debug, Default)]
pub struct RecentBalancers {
    last_packets: Shards<SocketAddrV4, Moment>,
}

impl RecentBalancers {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an authenticated packet from a balancer.
    pub fn record_packet(&self, balancer: SocketAddrV4, now: Moment) {
        let is_recent = |seen: &Moment| now.since(*seen) < REFRESH_AGE;
        if !self.last_packets.read(&balancer, |seen| seen.is_some_and(is_recent)) {
            self.last_packets.insert(balancer, now);
        }
    }

    /// Returns the balancer for a reply: `latest`, which delivered the caller's latest packet,
    /// unless it is silent while another one is active.
    pub fn choose(&self, latest: SocketAddrV4, now: Moment) -> SocketAddrV4 {
        let is_active = |seen: Moment| now.since(seen) <= SILENCE_TIMEOUT;
        if self.last_packets.get(&latest).is_some_and(is_active) {
            return latest;
        }
        let newest =
            self.last_packets.fold(None, |best: Option<(Moment, SocketAddrV4)>, at, seen| {
                best.max(Some((*seen, *at)))
            });
        newest.filter(|(seen, _)| is_active(*seen)).map_or(latest, |(_, balancer)| balancer)
    }

    /// Removes balancers that have been silent for longer than the retention time.
    pub fn expire(&self, now: Moment) {
        self.last_packets.retain(|_, seen| now.since(*seen) < RETENTION);
    }
}
