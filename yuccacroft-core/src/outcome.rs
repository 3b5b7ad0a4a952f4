//! The outcomes of the requests that an upstream gets.
//!
//! An upstream may fail requests although its health check succeeds, and one that fails them quickly
//! looks idle. Its agent sees the first bytes of each response and keeps the share of failures among
//! the latest requests. See `docs/design/outcomes.md`.

mod groups;

pub use self::groups::{Groups, MAX_GROUPS};

use crate::{
    flow::FlowKey,
    ids::Domain,
    rendezvous::digest,
    route::TrafficClass,
    segment::Response,
    time::{Moment, Span},
    units::Percent,
};

/// Number of latest requests that determine the share of failures.
const WINDOW_REQUESTS: f64 = 32.0;
/// Time after which an outcome counts half when the next one is recorded, so that the record of an
/// upstream that gets few requests follows its latest ones.
const HALF_LIFE: Span = Span::from_secs(2);
/// The weight, in requests, that the outcomes before a pause keep, so that it takes more than one
/// success to outweigh them.
const MIN_WEIGHT_REQUESTS: f64 = 1.0;
/// Number of successes that are assumed before the first outcome, so that a single failure does not
/// make up the whole share.
const ASSUMED_SUCCESSES: f64 = 4.0;
/// Time after a pause of the agent's own process in which the silence of the upstream is no evidence
/// against it: its responses may wait in the socket of the agent, and those of the requests that the
/// agent has delivered late are not due yet.
const PAUSE_GRACE_PERIOD: Span = Span::from_millis(400);

/// One in this many flows of a group goes to an upstream that fails the group, to show when it serves
/// the group again.
const PROBE_INTERVAL: u64 = 20;

/// The outcome of a request, or of the opening of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream processed the request.
    Success,
    /// The upstream answered that it failed.
    ServerError,
    /// The upstream answered that it did not run the request.
    NotExecuted,
    /// The upstream reset or closed the flow while the request was in progress.
    Reset,
    /// The upstream exited while the request was in progress.
    Lost,
    /// The upstream has been silent for longer than requests usually take.
    Overdue,
    /// The upstream refused to open the flow.
    OpeningRefused,
}

/// What the requests of a flow have in common with those of others, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Labels {
    /// The class of the requests.
    pub class: Option<TrafficClass>,
    /// The failure domain of the caller.
    pub domain: Option<Domain>,
}

/// A group of requests that an upstream fails, or serves again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupChange {
    /// The group: a class or a failure domain.
    pub labels: Labels,
    /// Whether the upstream fails it.
    pub is_failing: bool,
}

/// The outcomes at one upstream: of all its requests, and of those of each class and of the callers of
/// each failure domain. A group that the upstream fails while it serves others is not part of the whole,
/// because its new flows go elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    all: Record,
    classes: Groups<TrafficClass>,
    domains: Groups<Domain>,
    /// The end of the time in which silence is no evidence.
    silence_ignored_until: Moment,
}

/// The latest outcomes of some requests, the older ones with less weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    successes: f64,
    failures: f64,
    /// The requests without a response, which may still come.
    overdue: f64,
    updated_at: Moment,
}

impl Outcome {
    /// Returns the name of the outcome in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::ServerError => "server_error",
            Self::NotExecuted => "not_executed",
            Self::Reset => "reset",
            Self::Lost => "lost",
            Self::Overdue => "overdue",
            Self::OpeningRefused => "opening_refused",
        }
    }
}

impl From<Response> for Outcome {
    fn from(response: Response) -> Self {
        match response {
            Response::Success => Self::Success,
            Response::ServerError => Self::ServerError,
            Response::NotExecuted => Self::NotExecuted,
        }
    }
}

impl Outcomes {
    /// Records the outcome of one request. Returns the groups that the upstream fails or serves from now
    /// on.
    pub fn record(&mut self, labels: &Labels, outcome: Outcome, now: Moment) -> Vec<GroupChange> {
        if outcome == Outcome::Overdue && now < self.silence_ignored_until {
            return Vec::new();
        }
        let Labels { class, domain } = labels;
        let of_class = class.as_ref().and_then(|class| self.classes.record(class, outcome, now));
        let of_domain =
            domain.as_ref().and_then(|domain| self.domains.record(domain, outcome, now));
        // The failures that led to the judgement are not those of the groups that stay.
        if let (Some(true), Some(class)) = (of_class, class) {
            self.all = self.classes.others(class, now).limited();
        }
        if let (Some(true), Some(domain)) = (of_domain, domain) {
            self.all = self.domains.others(domain, now).limited();
        }
        if !self.fails(labels) {
            self.all.record(outcome, now);
        }
        let of_class = of_class.map(|is_failing| GroupChange {
            labels: Labels { class: *class, domain: None },
            is_failing,
        });
        let of_domain = of_domain.map(|is_failing| GroupChange {
            labels: Labels { class: None, domain: domain.clone() },
            is_failing,
        });
        of_class.into_iter().chain(of_domain).collect()
    }

    /// Records that an overdue request has another outcome.
    pub fn withdraw_overdue(&mut self, labels: &Labels, now: Moment) {
        if let Some(class) = &labels.class {
            self.classes.withdraw_overdue(class, now);
        }
        if let Some(domain) = &labels.domain {
            self.domains.withdraw_overdue(domain, now);
        }
        if !self.fails(labels) {
            self.all.withdraw_overdue(now);
        }
    }

    /// Records that the process of the agent was paused or runs late, which delays all responses.
    pub fn record_pause(&mut self, now: Moment) {
        self.silence_ignored_until = now + PAUSE_GRACE_PERIOD;
    }

    /// Returns the share of the latest requests that failed, without the groups that go elsewhere.
    pub fn failures(&self) -> Percent {
        self.all.failures()
    }

    /// Returns true if a new flow should go to another upstream, since this one fails the flow's group
    /// and the flow is no probe.
    pub fn diverts(&self, labels: &Labels, key: FlowKey) -> bool {
        self.fails(labels) && !digest(&key).is_multiple_of(PROBE_INTERVAL)
    }

    fn fails(&self, labels: &Labels) -> bool {
        labels.class.is_some_and(|class| self.classes.is_failing(&class))
            || labels.domain.as_ref().is_some_and(|domain| self.domains.is_failing(domain))
    }
}

impl Record {
    /// Records the outcome of one request.
    pub fn record(&mut self, outcome: Outcome, now: Moment) {
        *self = self.decayed(now);
        let kept = 1.0 - 1.0 / WINDOW_REQUESTS;
        self.scale(kept);
        match outcome {
            Outcome::Success => self.successes += 1.0,
            Outcome::Overdue => self.overdue += 1.0,
            _ => self.failures += 1.0,
        }
    }

    /// Records that a request which has been recorded as overdue has another outcome now. A response
    /// is no failure, since few requests take much longer than the others, and a reset counts instead.
    pub fn withdraw_overdue(&mut self, now: Moment) {
        *self = self.decayed(now);
        self.overdue = (self.overdue - 1.0).max(0.0);
    }

    /// Returns the share of the latest requests that failed, in hundredths. It stays as it is until the
    /// next outcome: time alone does not show that an upstream works.
    pub fn failures(&self) -> Percent {
        let Self { successes, failures, overdue, .. } = *self;
        let failed = failures + overdue;
        let share = failed / (failed + successes + ASSUMED_SUCCESSES);
        Percent::new((share * 100.0).round() as u32)
    }

    fn decayed(&self, now: Moment) -> Self {
        let mut record = self.faded(HALF_LIFE, now);
        let min_weight = MIN_WEIGHT_REQUESTS.min(self.weight());
        if record.weight() < min_weight {
            record = Self { updated_at: now, ..*self };
            record.scale(min_weight / self.weight());
        }
        record
    }

    /// Returns the record with less weight, which is halved in each half-life since its last outcome.
    fn faded(&self, half_life: Span, now: Moment) -> Self {
        let idle = now.since(self.updated_at).as_micros() as f64;
        let mut record = Self { updated_at: now, ..*self };
        record.scale((-idle / half_life.as_micros() as f64).exp2());
        record
    }

    /// Returns the number of requests that the record rests on.
    fn weight(&self) -> f64 {
        self.successes + self.failures + self.overdue
    }

    /// Returns the record with the weight of one window at most.
    fn limited(mut self) -> Self {
        self.scale((WINDOW_REQUESTS / self.weight()).min(1.0));
        self
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
            overdue: self.overdue + other.overdue,
            updated_at: self.updated_at.max(other.updated_at),
        }
    }

    fn scale(&mut self, factor: f64) {
        self.successes *= factor;
        self.failures *= factor;
        self.overdue *= factor;
    }
}
