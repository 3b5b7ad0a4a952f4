//! The spill-over of the services of a pool: what the members of each failure domain offer, and the
//! present share of the flows that leaves the domain of this balancer.

use {
    super::{
        Pool,
        member::{Member, Reachability},
    },
    crate::{
        flow::FlowKey,
        ids::Domain,
        route::Target,
        spill_over::{Controller, Plan, Supply, Terms},
        time::{Moment, Span},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError, RwLock},
    },
};

/// The spill-over of all services of one balancer.
#[derive(Debug, Default)]
pub(super) struct SpillOver {
    controllers: Mutex<HashMap<Target, Controller>>,
    /// The decisions that the placement reads, replaced as a whole.
    plans: RwLock<Arc<HashMap<Target, Plan>>>,
}

/// The order of failure domains for one flow.
#[derive(Clone, Copy, Debug)]
pub(super) enum DomainOrder<'a> {
    /// All domains are compared by cost.
    ByCost,
    /// The flow stays at home if an upstream there takes it.
    HomeFirst,
    /// The flow leaves for these domains.
    ReceiversFirst(&'a [Domain]),
}

/// The position of a failure domain in the order of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    First,
    Second,
    Third,
}

/// The supplies of one service by failure domain.
#[derive(Debug, Default)]
struct ServiceSupplies(HashMap<Domain, DomainSum>);

/// The sum of the members of one failure domain that take flows.
#[derive(Debug, Default)]
struct DomainSum {
    slots: f64,
    busy: f64,
    /// The slots of the members that have reported a service time, and the sum of these times in
    /// microseconds, weighted by the slots.
    measured_slots: f64,
    service_time: f64,
    /// The sum of the waits in microseconds, weighted by the slots.
    wait: f64,
    round_trips: Vec<Span>,
}

impl<'a> DomainOrder<'a> {
    /// Returns the order for a flow under the plan of its service, if there is one.
    pub fn new(plan: Option<&'a Plan>, key: FlowKey) -> Self {
        match plan {
            None => Self::ByCost,
            // No domain has room, so the flow goes where it costs least.
            Some(plan) if plan.sends(key) && plan.receivers.is_empty() => Self::ByCost,
            Some(plan) if plan.sends(key) => Self::ReceiversFirst(&plan.receivers),
            Some(_) => Self::HomeFirst,
        }
    }

    /// Returns the rank of a failure domain for the balancer in the domain `home`.
    pub fn rank(&self, domain: &Domain, home: &Domain) -> Rank {
        match self {
            Self::ByCost => Rank::First,
            Self::HomeFirst if domain == home => Rank::First,
            Self::HomeFirst => Rank::Second,
            Self::ReceiversFirst(receivers) if receivers.contains(domain) => Rank::First,
            Self::ReceiversFirst(_) if domain == home => Rank::Second,
            Self::ReceiversFirst(_) => Rank::Third,
        }
    }
}

impl SpillOver {
    /// Returns the present decisions.
    pub fn plans(&self) -> Arc<HashMap<Target, Plan>> {
        self.plans.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Pool {
    /// Updates the spill-over of all services with routes from the members in this failure domain,
    /// and returns the previous decisions. It is called several times a second.
    pub fn update_spill_over(
        &self,
        own_domain: &Domain,
        terms: &HashMap<Target, Terms>,
        now: Moment,
    ) -> Arc<HashMap<Target, Plan>> {
        let previous = self.spill_over.plans();
        let surveys = self.survey(terms, now);
        let mut controllers =
            self.spill_over.controllers.lock().unwrap_or_else(PoisonError::into_inner);
        controllers.retain(|target, _| surveys.contains_key(target));
        let plans = surveys.iter().map(|(target, survey)| {
            let controller = controllers.entry(*target).or_default();
            (*target, survey.decide(controller, own_domain, &terms[target], now))
        });
        let plans = Arc::new(plans.collect());
        *self.spill_over.plans.write().unwrap_or_else(PoisonError::into_inner) = plans;
        previous
    }

    /// Sets the present spill-over of each service, until the next update.
    pub(super) fn set_spill_over_plans(&self, plans: HashMap<Target, Plan>) {
        *self.spill_over.plans.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(plans);
    }

    /// Returns the present spill-over of each service.
    pub fn spill_over_plans(&self) -> Arc<HashMap<Target, Plan>> {
        self.spill_over.plans()
    }

    fn survey(
        &self,
        terms: &HashMap<Target, Terms>,
        now: Moment,
    ) -> HashMap<Target, ServiceSupplies> {
        let mut surveys: HashMap<Target, ServiceSupplies> = HashMap::new();
        self.for_each(|member| {
            if terms.contains_key(&member.entry.target) {
                surveys.entry(member.entry.target).or_default().add(member, now);
            }
        });
        surveys
    }
}

impl ServiceSupplies {
    /// Adds a member that takes flows. One whose load is not known yet counts as idle, and its service
    /// time as that of the others in its domain.
    fn add(&mut self, member: &Member, now: Moment) {
        if member.exclusion().is_some() || member.reachability(now) != Reachability::Good {
            return;
        }
        let load = member.load.map(|(load, _)| load).unwrap_or_default();
        if !self.0.contains_key(&member.entry.domain) {
            self.0.insert(member.entry.domain.clone(), DomainSum::default());
        }
        let Some(sum) = self.0.get_mut(&member.entry.domain) else { return };
        let slots = member.effective_slots();
        sum.slots += slots;
        sum.busy += member.usage.mean(now).min(slots);
        if load.service_time > Span::ZERO {
            sum.measured_slots += slots;
            sum.service_time += slots * load.service_time.as_micros() as f64;
        }
        let wait = member.measured_wait(now).unwrap_or_default();
        sum.wait += slots * wait.as_micros() as f64;
        sum.round_trips.extend(member.answer.map(|answer| answer.delay));
    }

    fn decide(
        &self,
        controller: &mut Controller,
        own_domain: &Domain,
        terms: &Terms,
        now: Moment,
    ) -> Plan {
        let home = self.0.get(own_domain).map(DomainSum::supply);
        let others = self.0.iter().filter(|(domain, _)| *domain != own_domain);
        let others: Vec<_> = others.map(|(domain, sum)| (domain, sum.supply())).collect();
        controller.update(home.as_ref(), &others, terms, now)
    }
}

impl DomainSum {
    fn supply(&self) -> Supply {
        // A lost message makes a single answer late, so the median is taken.
        let mut round_trips = self.round_trips.clone();
        round_trips.sort_unstable();
        Supply {
            slots: self.slots,
            busy: self.busy,
            // Zero if no member has reported: the quotient is not a number then, which converts to zero.
            service_time: Span::from_micros((self.service_time / self.measured_slots) as u64),
            wait: Span::from_micros((self.wait / self.slots) as u64),
            round_trip: round_trips.get(round_trips.len() / 2).copied().unwrap_or_default(),
        }
    }
}
