//! Arrivals: the same list drives the policy and all baselines of one run.

use {
    rand::{RngExt, rngs::StdRng},
    yuccacroft_core::time::{Moment, Span},
};

/// Mean work of a short request, at speed 1.
pub const MEAN_WORK: Span = Span::from_millis(40);
/// Part of the work that every request has; the rest is exponential.
const FIXED_WORK: f64 = 0.25;
/// Work of a long request in short ones.
pub const LONG_FACTOR: f64 = 50.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Moment,
    /// Its service time at speed 1.
    pub work: Span,
    /// Whether it is a long one, on a route of its own.
    pub long: bool,
    /// The agent that its connection belongs to.
    pub agent: usize,
}

/// The upstreams of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The speed of each upstream.
    pub speeds: Vec<f64>,
    /// The slots of each upstream.
    pub slots: u32,
}

/// Demand as a multiple of capacity over time: pieces of (length, demand at begin, at end).
pub type Shape = [(Span, f64, f64)];

impl Fleet {
    /// Seven upstreams whose speeds lie evenly from 1 to 4.
    pub fn new(slots: u32) -> Self {
        Self { speeds: (0..7).map(|index| 1.0 + f64::from(index) * 0.5).collect(), slots }
    }

    /// Returns the work that all upstreams do in a second, in seconds at speed 1.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Draws short requests that ask for the shape's multiple of capacity. Connections are spread
    /// evenly, whatever the speed of an upstream.
    pub fn arrivals(&self, shape: &Shape, random: &mut StdRng) -> Vec<Arrival> {
        let full = self.capacity() / (MEAN_WORK.as_micros() as f64 / 1e6);
        let (mut list, mut begin) = (Vec::new(), 0.0);
        for &(length, from, to) in shape {
            let length = length.as_micros() as f64 / 1e6;
            let mut at = 0.0;
            loop {
                let demand = from + (to - from) * at / length;
                at += exponential(random) / (full * demand);
                if at >= length {
                    break;
                }
                list.push(self.arrival(begin + at, random));
            }
            begin += length;
        }
        list
    }

    /// Adds long requests, `share` of the number of all, among the short ones.
    pub fn with_long(&self, short: &[Arrival], share: f64, random: &mut StdRng) -> Vec<Arrival> {
        let mut list = Vec::with_capacity(short.len());
        for &arrival in short {
            list.push(arrival);
            if random.random_bool(share / (1.0 - share)) {
                let mut long = self.arrival(arrival.at.get() as f64 / 1e6, random);
                long.work = Span::from_micros((long.work.as_micros() as f64 * LONG_FACTOR) as u64);
                long.long = true;
                list.push(long);
            }
        }
        list
    }

    fn arrival(&self, at: f64, random: &mut StdRng) -> Arrival {
        let factor = FIXED_WORK + (1.0 - FIXED_WORK) * exponential(random);
        Arrival {
            at: Moment::new((at * 1e6) as u64),
            work: Span::from_micros((MEAN_WORK.as_micros() as f64 * factor) as u64),
            long: false,
            agent: random.random_range(0..self.speeds.len()),
        }
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
