//! Sizes and planned events of the case.

use {
    rand::{RngExt, rngs::StdRng},
    yuccacroft_core::time::Span,
};

/// Length of a run in virtual time.
pub const LENGTH: Span = Span::from_secs(90);
/// Changes happen between these times; imbalance is sampled before and after.
pub const CHANGES_FROM: Span = Span::from_secs(25);
pub const CHANGES_TO: Span = Span::from_secs(70);
/// Samples of the imbalance are taken from these times on, until the changes and the end.
pub const SAMPLES: [Span; 2] = [Span::from_secs(15), Span::from_secs(82)];
/// Each balancer and agent learns a change after at most this time.
pub const MAX_LATENESS: Span = Span::from_secs(5);
/// Time from the loss of an upstream to the first balancer that drops it.
pub const SUSPICION: Span = Span::from_secs(3);
/// Time after which the callers of a draining upstream have moved.
pub const MOVE_AFTER: Span = Span::from_secs(8);
/// Time for which the fabric still sends packets to a lost balancer.
pub const FABRIC_LAG: Span = Span::from_millis(200);
/// One-way delay of every message, in microseconds.
pub const DELAY_MICROS: std::ops::RangeInclusive<u64> = 500..=3_000;
/// Connections of one upstream.
pub const CONNECTIONS: u32 = 2_000;
/// Warm-up of a new upstream.
pub const WARMUP: Span = Span::from_secs(10);
pub const BALANCERS_PER_CUSTOMER: usize = 3;

/// One service.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Weights of the upstreams.
    pub weights: &'static [u32],
    /// Open flows over all upstreams.
    pub open: f64,
}

/// The services of both customers at 1,000 flows per upstream: booking, packs, depth, maps.
pub const SERVICES: [Spec; 4] = [
    Spec { weights: &[100; 7], open: 7_000.0 },
    Spec { weights: &[60, 100, 140], open: 3_000.0 },
    Spec { weights: &[100; 7], open: 7_000.0 },
    Spec { weights: &[60, 100, 140], open: 3_000.0 },
];

/// Mean life of a short flow; one flow in twenty stays until its upstream drains or the run ends.
pub const SHORT_LIFE_SECS: f64 = 4.0;
pub const LONG_PART: f64 = 0.05;
/// Time between two packets of a flow, in microseconds.
pub const GAP_MICROS: std::ops::Range<u64> = 200_000..2_000_000;

/// A change of the system.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// An upstream drains and a new one takes its place.
    Replace(usize),
    /// An upstream is killed and a new one takes its place.
    Kill(usize),
    /// A balancer of a customer is lost; a new one joins a second later.
    Balancer(usize),
}

/// Returns the changes in the order of time: each service changes every few seconds.
pub fn changes(rng: &mut StdRng) -> Vec<(Span, Change)> {
    let mut list = Vec::new();
    for service in 0..SERVICES.len() {
        let mut at = CHANGES_FROM;
        let mut kills = 1;
        while at < CHANGES_TO {
            let kill = kills > 0 && rng.random_bool(0.2);
            kills -= u32::from(kill);
            list.push((at, if kill { Change::Kill(service) } else { Change::Replace(service) }));
            at = at + Span::from_millis(rng.random_range(3_000..9_000));
        }
    }
    for balancer in [0, 3, 1, 4] {
        let at = rng.random_range(CHANGES_FROM.as_millis()..CHANGES_TO.as_millis());
        list.push((Span::from_millis(at), Change::Balancer(balancer)));
    }
    list.sort_by_key(|(at, _)| *at);
    list
}
