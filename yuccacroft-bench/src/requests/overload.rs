//! A policy that the product does not use: tells a lasting overload from a burst, by the outlooks of
//! further requests.

use {
    std::collections::BTreeMap,
    yuccacroft_core::{
        admission::workload::Outlook,
        route::TrafficClass,
        time::{Moment, Span},
    },
};

/// The overload of one upstream, for each latency objective.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    periods: BTreeMap<Span, Period>,
}

/// A period in which no time as long as the objective passed without a request that would have been
/// late.
#[derive(Clone, Copy, Debug)]
struct Period {
    started: Moment,
    last: Moment,
}

impl Overload {
    /// Records the outlook of a further request of a class. Returns true if requests of the class would
    /// have been late again and again for longer than their objective: the queue then no longer absorbs
    /// a burst, and only makes requests late. A request on time does not end the overload, since refusals
    /// make room for some.
    pub fn is_lasting(&mut self, outlook: Outlook, class: &TrafficClass, now: Moment) -> bool {
        if outlook == Outlook::OnTime {
            return false;
        }
        let new_period = Period { started: now, last: now };
        let period = self.periods.entry(class.objective).or_insert(new_period);
        if now.since(period.last) >= class.objective {
            *period = new_period;
        }
        period.last = now;
        now.since(period.started) >= class.objective
    }
}
