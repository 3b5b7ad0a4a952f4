//! The limits of a service on the flows of each upstream, and the agent's count against them.
//!
//! An upstream that warms up takes only so many requests a second. Its agent alone sees all of them,
//! so the agent counts, and balancers learn how many more flows it takes. A new flow takes the room
//! of its first request. See `docs/design/cold-upstreams.md`.

use {
    crate::{
        errors::{Error, Result},
        time::{Moment, Span},
        units::{Connections, Percent},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        fmt::{Display, Formatter},
        str::FromStr,
    },
};

/// Length of the window over which requests are counted: a second, and the time by which a segment
/// to the upstream may be late.
const WINDOW: Span = Span::from_millis(1_050);
/// Number of requests in one window up to which they are counted, so that the memory is bounded.
const MAX_COUNTED: usize = 4_096;
const HUNDRED: u64 = 100;

quantity! {
    /// Requests per second, in hundredths. As text it carries its unit, for example `2.50/s`.
    FlowRate(u32)
}

/// The limits of a service on each of its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// The number of flows that an upstream holds; `None` without a limit.
    pub max_flows: Option<Connections>,
    /// The requests that an upstream takes per second while it warms up; `None` without a limit.
    pub warmup_rate: Option<FlowRate>,
}

/// By how much requests may exceed the rate of an upstream that warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The factor on the rate.
    pub factor: Percent,
    /// The requests in addition to that, in hundredths.
    pub slack: Percent,
}

/// Counts the new flows and the requests of one upstream against the limits of its service.
#[derive(Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    /// The limits, once a balancer has told them.
    limits: Option<ServiceLimits>,
    /// The times of the latest requests, and of the latest new flows without one, oldest first.
    counted: VecDeque<Moment>,
    /// The highest number of them in one window since it was last taken.
    most_counted: usize,
}

/// The state of the upstream on which its limits depend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamState {
    /// Whether the upstream reports that it warms up; `None` before its first report.
    pub is_warming_up: Option<bool>,
    /// Whether an earlier process of the agent may have sent it flows.
    pub had_earlier_agent: bool,
    /// The number of its flows, with those that may open.
    pub held: Connections,
    /// The number of requests on its flows that wait at the agent.
    pub waiting: u32,
}

impl FlowRate {
    /// Creates a rate from hundredths of a request per second.
    pub const fn from_hundredths(hundredths: u32) -> Self {
        Self(hundredths)
    }
}

impl Display for FlowRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:02}/s", self.0 / 100, self.0 % 100)
    }
}

impl FromStr for FlowRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number: Option<f64> = text.strip_suffix("/s").and_then(|number| number.parse().ok());
        let is_valid = |rate: &f64| (0.0..=f64::from(u32::MAX / 100)).contains(rate);
        let rate = number.filter(is_valid).map(|rate| Self((rate * 100.0).round() as u32));
        rate.ok_or_else(|| Error::expected("a rate such as 2.50/s", text))
    }
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { factor: Percent::new(100), slack: Percent::new(100) }
    }
}

impl Tolerance {
    /// Returns the number of requests that an upstream with this rate may get in one second.
    fn allowance(&self, rate: FlowRate) -> usize {
        let scaled = u64::from(rate.0) * u64::from(self.factor.get()) / HUNDRED;
        let flows = (scaled + u64::from(self.slack.get())) / HUNDRED;
        usize::try_from(flows).map_or(MAX_COUNTED, |flows| flows.min(MAX_COUNTED))
    }
}

impl Limiter {
    /// Creates a limiter that knows no limits yet.
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, limits: None, counted: VecDeque::new(), most_counted: 0 }
    }

    /// Sets the limits. Returns true if they have changed.
    pub fn set_limits(&mut self, limits: ServiceLimits) -> bool {
        self.limits.replace(limits) != Some(limits)
    }

    /// Returns the limits, or `None` while no balancer has told them.
    pub fn limits(&self) -> Option<ServiceLimits> {
        self.limits
    }

    /// Counts a new flow, or a request, that goes to the upstream whether it has room or not.
    pub fn record(&mut self, now: Moment) {
        while self.counted.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.counted.pop_front();
        }
        if self.counted.len() == MAX_COUNTED {
            self.counted.pop_front();
        }
        self.counted.push_back(now);
        self.most_counted = self.most_counted.max(self.counted.len());
    }

    /// Counts a new flow if the upstream has room for it. Returns false if it has none.
    pub fn take_opening(&mut self, upstream: UpstreamState, now: Moment) -> bool {
        let has_room = self.room(upstream, now) != Some(Connections::new(0));
        if has_room {
            self.record(now);
        }
        has_room
    }

    /// Counts a request on a flow if the upstream has room for it. Returns false if it has none. The
    /// first request of a flow that was counted at `opened_at` takes the room of its flow, unless it
    /// comes so late that this room has been given to others.
    ///
    /// Before the first report of the upstream any request has room: unlike a new flow it cannot go to
    /// another upstream, and most restarts of agents find a warm one.
    pub fn take_request(
        &mut self,
        upstream: UpstreamState,
        opened_at: Option<Moment>,
        now: Moment,
    ) -> bool {
        let is_reserved = opened_at.is_some_and(|at| now.since(at) < WINDOW && self.release(at));
        let is_unknown = upstream.is_warming_up.is_none();
        let has_room = is_reserved || is_unknown || self.warmup_room(upstream, now) != Some(0);
        if has_room {
            self.record(now);
        }
        has_room
    }

    /// No longer counts a flow or request that was counted at this time, since it did not go to the
    /// upstream. Returns false if none was.
    pub fn release(&mut self, at: Moment) -> bool {
        let index = self.counted.iter().rposition(|counted| *counted == at);
        index.and_then(|index| self.counted.remove(index)).is_some()
    }

    /// Returns the highest number of requests in one window since the last call, for logs.
    pub fn take_most_counted(&mut self) -> usize {
        std::mem::take(&mut self.most_counted)
    }

    /// Returns the number of further flows that the upstream takes now; `None` without a limit.
    /// Requests that wait on open flows go first.
    pub fn room(&self, upstream: UpstreamState, now: Moment) -> Option<Connections> {
        let max_flows = self.limits.and_then(|limits| limits.max_flows);
        let free = max_flows.map(|max| max.get().saturating_sub(upstream.held.get()));
        let warmup_room = self.warmup_room(upstream, now);
        let after_waiting = warmup_room.map(|room| room.saturating_sub(upstream.waiting));
        let room = free.into_iter().chain(after_waiting).min();
        room.map(Connections::new)
    }

    fn warmup_room(&self, upstream: UpstreamState, now: Moment) -> Option<u32> {
        let rate = match (upstream.is_warming_up, self.limits) {
            (Some(false), _) => return None,
            // Without limits and a report the upstream is taken for warm, as it is at most restarts of
            // its agent.
            (None, None) => return None,
            // Any rate allows the slack.
            (Some(true), None) => FlowRate::default(),
            (_, Some(limits)) => limits.warmup_rate?,
        };
        // The earlier process may have used up its allowance just before its end.
        if upstream.had_earlier_agent && now.since(Moment::default()) < WINDOW {
            return Some(0);
        }
        let counted = self.counted.iter().rev().take_while(|at| now.since(**at) < WINDOW).count();
        let room = self.tolerance.allowance(rate).saturating_sub(counted);
        Some(u32::try_from(room).unwrap_or(u32::MAX))
    }
}
