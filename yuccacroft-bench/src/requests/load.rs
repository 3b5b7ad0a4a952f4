//! Arrivals of requests. The policy and all baselines of one measurement use the same arrivals.

use {
    rand::{RngExt, rngs::StdRng},
    yuccacroft_core::time::{Moment, Span},
};

/// The mean work of a short request, as service time at speed 1.
pub const MEAN_WORK: Span = Span::from_millis(40);
/// The share of the mean work that every request has. The rest is exponentially distributed.
const FIXED_WORK_SHARE: f64 = 0.25;
/// The work of a long request as a multiple of that of a short one.
pub const LONG_FACTOR: f64 = 50.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The time of arrival.
    pub at: Moment,
    /// The service time at speed 1.
    pub work: Span,
    /// Whether it is a long request. Long requests have a route of their own.
    pub is_long: bool,
    /// The agent to which its connection belongs.
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

/// The demand over time as a multiple of the capacity: periods of a length, with the demands at their
/// start and end, between which it changes linearly.
pub type LoadProfile = [(Span, f64, f64)];

impl Fleet {
    /// Creates seven upstreams with evenly spaced speeds from 1 to 4.
    pub fn new(slots: u32) -> Self {
        Self { speeds: (0..7).map(|index| 1.0 + f64::from(index) * 0.5).collect(), slots }
    }

    /// Returns the work that all upstreams can do per second, as seconds of service time at speed 1.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Generates short requests with the demand of the profile. Connections are spread evenly over the
    /// agents, regardless of the speed of their upstreams.
    pub fn generate_arrivals(&self, profile: &LoadProfile, rng: &mut StdRng) -> Vec<Arrival> {
        let capacity_rate = self.capacity() / (MEAN_WORK.as_micros() as f64 / 1e6);
        let (mut arrivals, mut start) = (Vec::new(), 0.0);
        for &(length, start_demand, end_demand) in profile {
            let length = length.as_micros() as f64 / 1e6;
            let mut at = 0.0;
            loop {
                let demand = start_demand + (end_demand - start_demand) * at / length;
                at += sample_exponential(rng) / (capacity_rate * demand);
                if at >= length {
                    break;
                }
                arrivals.push(self.draw_arrival(start + at, rng));
            }
            start += length;
        }
        arrivals
    }

    /// Adds long requests among the short ones, so that they make up `share` of all requests.
    pub fn with_long_requests(
        &self,
        short: &[Arrival],
        share: f64,
        rng: &mut StdRng,
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::with_capacity(short.len());
        for &arrival in short {
            arrivals.push(arrival);
            if rng.random_bool(share / (1.0 - share)) {
                let mut long = self.draw_arrival(arrival.at.get() as f64 / 1e6, rng);
                long.work = Span::from_micros((long.work.as_micros() as f64 * LONG_FACTOR) as u64);
                long.is_long = true;
                arrivals.push(long);
            }
        }
        arrivals
    }

    fn draw_arrival(&self, at: f64, rng: &mut StdRng) -> Arrival {
        let factor = FIXED_WORK_SHARE + (1.0 - FIXED_WORK_SHARE) * sample_exponential(rng);
        Arrival {
            at: Moment::new((at * 1e6) as u64),
            work: Span::from_micros((MEAN_WORK.as_micros() as f64 * factor) as u64),
            is_long: false,
            agent: rng.random_range(0..self.speeds.len()),
        }
    }
}

/// Returns a sample of the exponential distribution with mean 1.
fn sample_exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
