//! Route classes with their mean service times, learned from answered requests.

use {
    crate::time::{Moment, Span},
    std::collections::HashMap,
};

/// Maximum number of classes. Further routes share one class, so that callers cannot exhaust
/// memory.
const MAX_CLASSES: usize = 64;
/// Weight of a new sample in the moving average of a service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A class is long when its mean service time exceeds this multiple of the busiest class's. A lower
/// factor would classify the slower half of ordinary requests as long.
const LONG_FACTOR: f64 = 5.0;
/// Time constant of the exponential decay of the demand.
const DEMAND_WINDOW: Span = Span::from_secs(1);
const ROUTE_SEGMENTS: usize = 1;

newtype! {
    /// The number of a route class, local to one agent.
    Class(u32), "a class number"
}

/// The route classes of one upstream and the demand of its short requests.
#[derive(Debug)]
pub struct Classes {
    routes: HashMap<Box<str>, Class>,
    stats: Vec<ClassStats>,
    demand: f64,
    updated_at: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassStats {
    mean: Option<f64>,
    samples: u64,
    is_streaming: bool,
}

impl Classes {
    /// Creates the classes of an upstream, with only the shared default class.
    pub fn new() -> Self {
        let stats = vec![ClassStats::default()];
        Self { routes: HashMap::new(), stats, demand: 0.0, updated_at: Moment::default() }
    }

    /// Returns the class of a request. A route is the method and the first path segment, since
    /// later segments usually identify single resources.
    pub fn classify(&mut self, method: &str, path: &str) -> Class {
        let path = path.split('?').next().unwrap_or_default();
        let mut route = String::from(method);
        for segment in path.split('/').filter(|segment| !segment.is_empty()).take(ROUTE_SEGMENTS) {
            route.push('/');
            route.push_str(segment);
        }
        if let Some(&class) = self.routes.get(&*route) {
            return class;
        }
        if self.stats.len() >= MAX_CLASSES {
            return Class::default();
        }
        let class = Class::new(self.stats.len() as u32);
        self.stats.push(ClassStats::default());
        self.routes.insert(route.into(), class);
        class
    }

    /// Adds the service time of an answered request to the mean of its class.
    pub fn record_service_time(&mut self, class: Class, service_time: Span) {
        let sample = service_time.as_micros() as f64;
        let Some(stat) = self.stats.get_mut(class.get() as usize) else { return };
        // Without an answered request, the mean is only the age of a running one.
        let mean = stat.mean.filter(|_| stat.samples > 0).unwrap_or(sample);
        stat.mean = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        stat.samples += 1;
    }

    /// Raises the mean of a class without answers to `elapsed`, the time that one of its requests
    /// has been running.
    pub fn record_running(&mut self, class: Class, elapsed: Span) {
        let elapsed = elapsed.as_micros() as f64;
        let Some(stat) = self.stats.get_mut(class.get() as usize) else { return };
        if stat.samples == 0 && stat.mean.is_none_or(|mean| mean < elapsed) {
            stat.mean = Some(elapsed);
        }
    }

    /// Returns the mean service time of a class, `None` while nothing is known. Before the first
    /// answer it is the age of the longest-running request.
    pub fn mean(&self, class: Class) -> Option<Span> {
        let mean = self.stats.get(class.get() as usize)?.mean?;
        Some(Span::from_micros(mean as u64))
    }

    /// Sets whether responses of a class are streaming: they stay open without occupying the
    /// upstream.
    pub fn set_streaming(&mut self, class: Class, is_streaming: bool) {
        if let Some(stat) = self.stats.get_mut(class.get() as usize) {
            stat.is_streaming = is_streaming;
        }
    }

    /// Returns true if responses of a class are streaming.
    pub fn is_streaming(&self, class: Class) -> bool {
        self.stats.get(class.get() as usize).is_some_and(|stat| stat.is_streaming)
    }

    /// Returns true if at least one request of the class was answered.
    pub fn is_answered(&self, class: Class) -> bool {
        self.stats.get(class.get() as usize).is_some_and(|stat| stat.samples > 0)
    }

    /// Returns true if the mean service time of the class exceeds `LONG_FACTOR` times that of the
    /// busiest class.
    pub fn is_long(&self, class: Class) -> bool {
        let Some(mean) = self.stats.get(class.get() as usize).and_then(|stat| stat.mean) else {
            return false;
        };
        mean > self.typical_mean() * LONG_FACTOR
    }

    /// Returns the mean service time of the busiest class, `None` before the first answer.
    pub fn typical_service_time(&self) -> Option<Span> {
        let mean = self.typical_mean();
        mean.is_finite().then(|| Span::from_micros(mean as u64))
    }

    /// Adds a request to the demand, unless its class is long or unknown.
    pub fn record_arrival(&mut self, class: Class, now: Moment) {
        self.decay(now);
        if let Some(mean) = self.mean(class)
            && !self.is_long(class)
        {
            self.demand += mean.as_micros() as f64;
        }
    }

    /// Returns the number of slots that short requests would keep busy at their present rate.
    pub fn demand(&mut self, now: Moment) -> f64 {
        self.decay(now);
        self.demand / DEMAND_WINDOW.as_micros() as f64
    }

    fn typical_mean(&self) -> f64 {
        let answered = self.stats.iter().filter(|stat| stat.samples > 0);
        let busiest = answered.max_by_key(|stat| stat.samples);
        busiest.and_then(|stat| stat.mean).unwrap_or(f64::INFINITY)
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_micros() as f64;
        self.demand *= (-elapsed / DEMAND_WINDOW.as_micros() as f64).exp();
        self.updated_at = now;
    }
}

impl Default for Classes {
    fn default() -> Self {
        Self::new()
    }
}
