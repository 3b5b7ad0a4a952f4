//! The sizes and the scripted changes of the case.

use {
    rand::{RngExt, rngs::StdRng},
    yuccacroft_core::time::Span,
};

/// The length of a run in virtual time.
pub const LENGTH: Span = Span::from_secs(90);
/// The time span of the changes. The imbalance is sampled before and after it.
pub const CHANGES_FROM: Span = Span::from_secs(25);
pub const CHANGES_TO: Span = Span::from_secs(70);
/// The times from which the imbalance is sampled: from the first until the changes begin, and from the
/// second until the end.
pub const SAMPLES_FROM: [Span; 2] = [Span::from_secs(15), Span::from_secs(82)];
/// The longest time until a balancer or an agent learns of a change.
pub const MAX_PROPAGATION_TIME: Span = Span::from_secs(5);
/// The time from the loss of an upstream until the first balancer removes it.
pub const DETECTION_TIME: Span = Span::from_secs(3);
/// The time after which the callers of a draining upstream move to new flows.
pub const DRAIN_TIME: Span = Span::from_secs(8);
/// The time for which the fabric keeps sending packets to a lost balancer.
pub const FABRIC_DELAY: Span = Span::from_millis(200);
/// The one-way delay of a message, in microseconds.
pub const DELAY_MICROS: std::ops::RangeInclusive<u64> = 500..=3_000;
/// The maximum number of connections of one upstream.
pub const CONNECTIONS: u32 = 2_000;
/// The warm-up time of a new upstream.
pub const WARMUP: Span = Span::from_secs(10);
pub const BALANCERS_PER_CUSTOMER: usize = 3;

/// The size of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpec {
    /// The weights of its upstreams.
    pub weights: &'static [u32],
    /// The number of open flows, summed over all upstreams.
    pub open_flows: f64,
}

/// The services booking, packs, depth and maps, two per customer, with 1,000 flows per upstream.
pub const SERVICES: [ServiceSpec; 4] = [
    ServiceSpec { weights: &[100; 7], open_flows: 7_000.0 },
    ServiceSpec { weights: &[60, 100, 140], open_flows: 3_000.0 },
    ServiceSpec { weights: &[100; 7], open_flows: 7_000.0 },
    ServiceSpec { weights: &[60, 100, 140], open_flows: 3_000.0 },
];

/// The mean lifetime of a short flow.
pub const MEAN_SHORT_LIFETIME_SECS: f64 = 4.0;
/// The share of long flows, which stay until their upstream drains or the run ends.
pub const LONG_SHARE: f64 = 0.05;
/// The time between two packets of a flow, in microseconds.
pub const PACKET_GAP_MICROS: std::ops::Range<u64> = 200_000..2_000_000;

/// A change of the members or balancers.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// An upstream of this service drains and a new one replaces it.
    Replace(usize),
    /// An upstream of this service is killed and a new one replaces it.
    Kill(usize),
    /// This balancer is lost and a new one joins a second later.
    LoseBalancer(usize),
}

/// Returns random changes ordered by time. Each service changes every few seconds, with at most one
/// kill, and four balancers are lost.
pub fn changes(rng: &mut StdRng) -> Vec<(Span, Change)> {
    let mut list = Vec::new();
    for service in 0..SERVICES.len() {
        let mut at = CHANGES_FROM;
        let mut remaining_kills = 1;
        while at < CHANGES_TO {
            let is_kill = remaining_kills > 0 && rng.random_bool(0.2);
            remaining_kills -= u32::from(is_kill);
            list.push((at, if is_kill { Change::Kill(service) } else { Change::Replace(service) }));
            at = at + Span::from_millis(rng.random_range(3_000..9_000));
        }
    }
    for balancer in [0, 3, 1, 4] {
        let at = rng.random_range(CHANGES_FROM.as_millis()..CHANGES_TO.as_millis());
        list.push((Span::from_millis(at), Change::LoseBalancer(balancer)));
    }
    list.sort_by_key(|(at, _)| *at);
    list
}
