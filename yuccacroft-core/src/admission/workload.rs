//! The work that goes before a further request at one upstream, and what follows for that request.
//!
//! The request front end uses it when a request asks for a slot, the segment front end when a flow is
//! offered. `docs/design/admission.md` describes the latter.

use {
    crate::{
        route::TrafficClass,
        time::{Moment, Span},
        units::Slots,
    },
    serde::Serialize,
    std::collections::VecDeque,
};

/// Time from the acceptance of a flow to its first request: a round trip to the caller.
const FIRST_REQUEST_DELAY: Span = Span::from_millis(10);

/// The work that has to be done before a slot is free for a further request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Workload {
    /// The slots of the upstream.
    pub slots: Slots,
    /// The sum of the service times of the requests that have to end first.
    pub ahead: Span,
}

/// The service time of one request, as measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    /// The mean.
    pub mean: Span,
    /// The time that few requests exceed.
    pub tail: Span,
}

/// What a request of a class can expect if it is accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outlook {
    /// Its response is expected within the objective.
    OnTime,
    /// Its response is expected within the timeout.
    Late,
    /// Its response is expected after the timeout, when its caller has given up.
    PastTimeout,
}

impl Outlook {
    /// Returns the outlook as text for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::Late => "late",
            Self::PastTimeout => "past timeout",
        }
    }
}

impl Workload {
    /// Creates the workload of an upstream with this number of requests in progress or waiting.
    pub fn new(slots: Slots, requests: u32, mean: Span) -> Self {
        let before = requests.saturating_add(1).saturating_sub(slots.get().max(1));
        Self { slots, ahead: mean.saturating_mul(before.into()) }
    }

    /// Returns the expected time until a slot is free.
    pub fn wait(&self) -> Span {
        Span::from_micros(self.ahead.as_micros() / u64::from(self.slots.get().max(1)))
    }

    /// Returns the outlook of a further request. Whether it is on time is judged by the tail of the
    /// service time, and whether it is worth the upstream's time by the mean.
    pub fn outlook(&self, class: &TrafficClass, service: ServiceTime) -> Outlook {
        let wait = self.wait();
        if wait + service.mean > class.timeout {
            Outlook::PastTimeout
        } else if wait + service.tail > class.objective {
            Outlook::Late
        } else {
            Outlook::OnTime
        }
    }
}

/// Flows that were accepted less than [`FIRST_REQUEST_DELAY`] ago. Their first requests have not
/// arrived, so no other count includes them.
#[derive(Clone, Debug, Default)]
pub struct AcceptedFlows {
    accepted: VecDeque<Moment>,
}

impl AcceptedFlows {
    /// Records that a flow was accepted.
    pub fn record(&mut self, now: Moment) {
        self.accepted.push_back(now);
        self.expire(now);
    }

    /// Returns the number of flows whose first request is on the way.
    pub fn count(&mut self, now: Moment) -> u32 {
        self.expire(now);
        self.accepted.len() as u32
    }

    fn expire(&mut self, now: Moment) {
        let has_arrived = |at: &Moment| now.since(*at) >= FIRST_REQUEST_DELAY;
        while self.accepted.front().is_some_and(has_arrived) {
            self.accepted.pop_front();
        }
    }
}
