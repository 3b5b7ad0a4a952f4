//! The cost of a new flow at a member, part by part, and why a member is left out.

use {
    super::member::{AgentLoad, AgentPhase, Member},
    crate::{
        admission::workload::Workload,
        flow::FlowKey,
        ids::Domain,
        placement::pair_hash,
        time::{Moment, Span},
    },
    serde::Serialize,
    std::fmt::{Display, Formatter},
};

/// Cost of a member in another failure domain, in percent of a member in the balancer's own domain.
const REMOTE_DOMAIN_COST_PERCENT: u64 = 115;
/// Limit of the round trip that counts as the cost of another failure domain. A longer one is due to
/// a lost message.
const MAX_CROSSING_TIME: Span = Span::from_millis(100);
/// Cost of a member whose upstream is warming up, in percent of one whose upstream is warm.
const WARMUP_COST_PERCENT: u64 = 160;
/// Factor by which the cost of a member grows when its upstream is always busy: the increase is
/// this many times the base cost.
const BUSY_COST_FACTOR: u64 = 6;
/// Service time that is assumed for a member that has not reported one.
const DEFAULT_SERVICE_TIME: Span = Span::from_millis(20);
/// Age up to which the measured wait of a member is used, since it follows bursts. The share of
/// failures changes slowly and is used at any age.
const WAIT_TTL: Span = Span::from_secs(1);
/// Number of hundredths by which the costs of one member differ from flow to flow, so that balancers
/// with the same information do not all choose the same member.
const SPREAD_PERCENT: u64 = 16;
/// Largest share of failures, in hundredths, that the cost of a member takes into account, so that the
/// cost stays finite.
const MAX_FAILURES_PERCENT: u64 = 90;
const HUNDRED: u64 = 100;

/// The flow and the balancer for which the costs of members are compared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Viewpoint<'a> {
    /// The failure domain of the balancer.
    pub domain: &'a Domain,
    /// The flow.
    pub key: FlowKey,
    /// The time of the comparison.
    pub now: Moment,
    /// Whether a plan decides which flows leave the domain. Then another domain costs its round trip
    /// only.
    pub is_spill_over_planned: bool,
}

/// The cost of a new flow at a member, as a sum of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Cost {
    /// The service time of a request among those in progress.
    pub work: Span,
    /// The expected wait for a slot, as measured by the agent.
    pub wait: Span,
    /// The expected use of the upstream by other flows.
    pub busy: Span,
    /// The expected further attempts of requests that the upstream fails. Without them an upstream
    /// that fails requests quickly looks idle.
    pub failures: Span,
    /// The disadvantage of a member in another failure domain.
    pub crossing: Span,
    /// The disadvantage of an upstream that is warming up.
    pub warmup: Span,
    /// The part that depends on flow and member.
    pub spread: Span,
}

/// Why a member gets no new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Exclusion {
    /// Its entry in the store names this phase.
    Phase(AgentPhase),
    /// Its agent reports that it takes no new flow.
    NotAccepting,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its upstream fails more requests than others, and the flow is none of its probes.
    Outlier,
}

impl Display for Exclusion {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Phase(phase) => write!(f, "its entry has the phase {phase:?}"),
            Self::NotAccepting => f.write_str("its agent takes no new flow"),
            Self::Evacuated => f.write_str("its failure domain is evacuated"),
            Self::Outlier => f.write_str("its upstream fails more requests than others"),
        }
    }
}

impl Cost {
    /// Returns the sum of all parts, by which members are compared.
    pub fn total(&self) -> Span {
        self.work
            + self.wait
            + self.busy
            + self.failures
            + self.crossing
            + self.warmup
            + self.spread
    }
}

impl Member {
    /// Returns why the member gets no new flow, or `None` if it may get one.
    pub fn exclusion(&self) -> Option<Exclusion> {
        if self.is_evacuated {
            return Some(Exclusion::Evacuated);
        }
        if self.entry.phase != AgentPhase::Ready {
            return Some(Exclusion::Phase(self.entry.phase));
        }
        let is_accepting = self.load.is_none_or(|(load, _)| load.accepting);
        (!is_accepting).then_some(Exclusion::NotAccepting)
    }

    /// Returns the cost of a new flow at this member, or why it gets none.
    pub(super) fn cost(&self, viewpoint: &Viewpoint<'_>) -> Result<Cost, Exclusion> {
        if let Some(exclusion) = self.exclusion() {
            return Err(exclusion);
        }
        if !self.standing.admits(viewpoint.key, self.entry.agent_id.instance) {
            return Err(Exclusion::Outlier);
        }
        let load = self.load.map(|(load, _)| load).unwrap_or_default();
        let work = self.work(&load);
        let busy = self.busy(&load, work);
        let wait = self.measured_wait(viewpoint.now).unwrap_or_default();
        let mut cost = Cost { work, wait, busy, ..Cost::default() };
        if !self.standing.is_probe(viewpoint.key, self.entry.agent_id.instance) {
            cost.failures = self.failures(cost.total());
        }
        if self.entry.domain != *viewpoint.domain {
            cost.crossing = self.crossing(&cost, viewpoint);
        }
        if load.warmup > Span::ZERO {
            cost.warmup = increase(cost.total(), WARMUP_COST_PERCENT - HUNDRED);
        }
        let spread = pair_hash(viewpoint.key, self.entry.agent_id.instance) % SPREAD_PERCENT;
        cost.spread = increase(cost.total(), spread);
        Ok(cost)
    }

    /// Returns the expected wait for a slot that the agent has measured, unless it is outdated.
    pub(super) fn measured_wait(&self, now: Moment) -> Option<Span> {
        let measures = self.measures.filter(|(_, at)| now.since(*at) < WAIT_TTL);
        measures.map(|(measures, _)| measures.wait)
    }

    /// Returns the work before a further request at the upstream: the measured wait, or else the
    /// requests of the latest load.
    pub(super) fn workload(&self, now: Moment) -> Workload {
        let load = self.load.map(|(load, _)| load).unwrap_or_default();
        let workload = Workload::new(self.entry.slots, load.active, service_time(&load));
        match self.measured_wait(now) {
            Some(wait) => Workload { ahead: wait.saturating_mul(self.slots()), ..workload },
            None => workload,
        }
    }

    /// Returns the mean service time of the upstream.
    pub(super) fn service_time(&self) -> Span {
        service_time(&self.load.map(|(load, _)| load).unwrap_or_default())
    }

    fn work(&self, load: &AgentLoad) -> Span {
        let service_time = service_time(load);
        let slots = self.slots();
        let pending_work = u64::from(load.active) + self.pending_offers.len() as u64 + 1;
        Span::from_micros(service_time.as_micros().saturating_mul(slots + pending_work) / slots)
    }

    /// A flow lasts for many requests, so the mean utilization of the upstream counts more than its
    /// momentary work. The cost grows with the square of the utilization.
    fn busy(&self, load: &AgentLoad, work: Span) -> Span {
        let utilization = u64::from(load.busy.get()) / self.slots();
        let factor = BUSY_COST_FACTOR.saturating_mul(utilization.saturating_mul(utilization));
        Span::from_micros(work.as_micros().saturating_mul(factor) / (HUNDRED * HUNDRED))
    }

    /// Returns the cost of the attempts after the first one until a request succeeds.
    fn failures(&self, attempt: Span) -> Span {
        let failures = self.measures.map(|(measures, _)| u64::from(measures.failures.get()));
        let failures = failures.unwrap_or_default().min(MAX_FAILURES_PERCENT);
        Span::from_micros(attempt.as_micros().saturating_mul(failures) / (HUNDRED - failures))
    }

    /// Under a plan only members on the same side are compared, so the longer way is what differs.
    fn crossing(&self, cost: &Cost, viewpoint: &Viewpoint<'_>) -> Span {
        if viewpoint.is_spill_over_planned {
            return self.answer.map_or(Span::ZERO, |answer| answer.delay.min(MAX_CROSSING_TIME));
        }
        increase(cost.total(), REMOTE_DOMAIN_COST_PERCENT - HUNDRED)
    }

    /// Returns the slots of the upstream, fewer while it warms up.
    pub(super) fn effective_slots(&self) -> f64 {
        let slots = self.slots() as f64;
        let is_warming_up = self.load.is_some_and(|(load, _)| load.warmup > Span::ZERO);
        if is_warming_up { slots * HUNDRED as f64 / WARMUP_COST_PERCENT as f64 } else { slots }
    }

    pub(super) fn slots(&self) -> u64 {
        u64::from(self.entry.slots.get().max(1))
    }
}

fn service_time(load: &AgentLoad) -> Span {
    let is_known = load.service_time > Span::ZERO;
    if is_known { load.service_time } else { DEFAULT_SERVICE_TIME }
}

/// Returns the part of a cost that has this number of hundredths of it.
fn increase(cost: Span, hundredths: u64) -> Span {
    Span::from_micros(cost.as_micros().saturating_mul(hundredths) / HUNDRED)
}
