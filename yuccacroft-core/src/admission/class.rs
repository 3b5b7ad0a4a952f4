//! Route classes: how long the requests of a route take, learned from their answers.

use {
    crate::time::{Moment, Span},
    std::collections::HashMap,
};

/// Routes that are told apart. The rest shares one class, so that callers cannot fill the memory.
const MAX_CLASSES: usize = 64;
/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A class is long when its mean is this many times that of the busiest class. Less would call
/// the slower half of ordinary work long.
const LONG_FACTOR: f64 = 5.0;
/// Time over which the demand of short work is averaged.
const DEMAND_WINDOW: Span = Span::from_secs(1);
const SEGMENTS: usize = 1;

newtype! {
    /// A class of routes within one agent.
    Class(u32), "a class number"
}

/// The classes of one upstream.
#[derive(Debug)]
pub struct Classes {
    routes: HashMap<Box<str>, Class>,
    stats: Vec<Stat>,
    demand: f64,
    updated: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Stat {
    mean: Option<f64>,
    samples: u64,
    is_streaming: bool,
}

impl Classes {
    /// Creates the classes of an upstream of which nothing is known.
    pub fn new() -> Self {
        let stats = vec![Stat::default()];
        Self { routes: HashMap::new(), stats, demand: 0.0, updated: Moment::default() }
    }

    /// Returns the class of a request. Its route is the method and the first segment of the path,
    /// since later segments usually name single things.
    pub fn classify(&mut self, method: &str, path: &str) -> Class {
        let path = path.split('?').next().unwrap_or_default();
        let mut route = String::from(method);
        for segment in path.split('/').filter(|segment| !segment.is_empty()).take(SEGMENTS) {
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
        self.stats.push(Stat::default());
        self.routes.insert(route.into(), class);
        class
    }

    /// Learns from the service time of a request.
    pub fn learn(&mut self, class: Class, took: Span) {
        let sample = took.as_micros() as f64;
        let Some(stat) = self.stats.get_mut(class.get() as usize) else { return };
        // A mean without answers is only the age of a running request.
        let mean = stat.mean.filter(|_| stat.samples > 0).unwrap_or(sample);
        stat.mean = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
        stat.samples += 1;
    }

    /// Learns from a request that has run for `elapsed` without an answer: its class takes at
    /// least that long.
    pub fn learn_running(&mut self, class: Class, elapsed: Span) {
        let elapsed = elapsed.as_micros() as f64;
        let Some(stat) = self.stats.get_mut(class.get() as usize) else { return };
        if stat.samples == 0 && stat.mean.is_none_or(|mean| mean < elapsed) {
            stat.mean = Some(elapsed);
        }
    }

    /// Returns the mean service time of a class, `None` before the first answer.
    pub fn mean(&self, class: Class) -> Option<Span> {
        let mean = self.stats.get(class.get() as usize)?.mean?;
        Some(Span::from_micros(mean as u64))
    }

    /// Notes whether the answers of a class are feeds, which stay open without work.
    pub fn set_streaming(&mut self, class: Class, is_streaming: bool) {
        if let Some(stat) = self.stats.get_mut(class.get() as usize) {
            stat.is_streaming = is_streaming;
        }
    }

    /// Returns true when the answers of a class are feeds.
    pub fn is_streaming(&self, class: Class) -> bool {
        self.stats.get(class.get() as usize).is_some_and(|stat| stat.is_streaming)
    }

    /// Returns true when a request of the class was answered.
    pub fn is_answered(&self, class: Class) -> bool {
        self.stats.get(class.get() as usize).is_some_and(|stat| stat.samples > 0)
    }

    /// Returns true when requests of the class take much longer than those of the busiest one.
    pub fn is_long(&self, class: Class) -> bool {
        let Some(mean) = self.stats.get(class.get() as usize).and_then(|stat| stat.mean) else {
            return false;
        };
        mean > self.reference() * LONG_FACTOR
    }

    /// Returns the mean service time of the busiest class.
    pub fn usual(&self) -> Option<Span> {
        let mean = self.reference();
        mean.is_finite().then(|| Span::from_micros(mean as u64))
    }

    /// Notes that a request asked for a slot.
    pub fn asked(&mut self, class: Class, now: Moment) {
        self.decay(now);
        if let Some(mean) = self.mean(class)
            && !self.is_long(class)
        {
            self.demand += mean.as_micros() as f64;
        }
    }

    /// Returns the slots that short work would keep busy at its present rate.
    pub fn demand(&mut self, now: Moment) -> f64 {
        self.decay(now);
        self.demand / DEMAND_WINDOW.as_micros() as f64
    }

    fn reference(&self) -> f64 {
        let answered = self.stats.iter().filter(|stat| stat.samples > 0);
        let busiest = answered.max_by_key(|stat| stat.samples);
        busiest.and_then(|stat| stat.mean).unwrap_or(f64::INFINITY)
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_micros() as f64;
        self.demand *= (-elapsed / DEMAND_WINDOW.as_micros() as f64).exp();
        self.updated = now;
    }
}

impl Default for Classes {
    fn default() -> Self {
        Self::new()
    }
}
