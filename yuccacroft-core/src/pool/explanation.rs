//! Explains where a new flow would go and why: what the placement compares, and what the agents
//! would answer to the offer as far as the balancer knows their state.

use {
    super::{
        Cost, Exclusion, Member, Pool, Reachability,
        supply::{DomainOrder, Rank},
    },
    crate::{
        admission::workload::{Outlook, ServiceTime},
        flow::FlowKey,
        handshake::Turn,
        ids::{Domain, Instance},
        route::{Target, TrafficClass},
        spill_over::Plan,
        time::{Moment, Span},
        units::Connections,
    },
    serde::Serialize,
    std::{
        collections::HashMap,
        fmt::{Display, Formatter},
    },
};

/// A new flow, as a balancer sees it.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow<'a> {
    /// The service that its route names.
    pub target: Target,
    /// The class of its requests.
    pub class: TrafficClass,
    /// Its key.
    pub key: FlowKey,
    /// The failure domain of the balancer.
    pub domain: &'a Domain,
    /// The number of agents that it may be offered to.
    pub max_offers: usize,
}

/// Where a new flow would go, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The agent that would take the flow, or why there is none.
    pub outcome: Outcome,
    /// The side of the spill-over plan that the flow belongs to.
    pub side: Side,
    /// The spill-over plan of the service, if there is one.
    pub plan: Option<Plan>,
    /// The members that were compared, in the order of the placement.
    pub candidates: Vec<Candidate>,
    /// The members that get no new flow now, or not this one.
    pub excluded: Vec<Excluded>,
}

/// The result of the placement of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// This agent takes the flow.
    Placed(Instance),
    /// The flow would be offered to this agent, which does not answer.
    Unanswered(Instance),
    /// All agents that the flow is offered to pass it on or refuse it.
    Refused,
    /// The service has members, and all of them are in evacuated failure domains.
    Evacuated,
    /// No member of the service takes the flow.
    NoMember,
}

/// The failure domains that the placement tries first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// All domains are compared by cost.
    Any,
    /// The domain of the balancer.
    Home,
    /// The domains that receive the flows which the plan sends out.
    Receivers,
}

/// A member that was compared with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// The address of the agent.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it answers.
    pub reachability: Reachability,
    /// Whether it is on the side to which the plan sends the flow.
    pub is_on_side: bool,
    /// Its cost, part by part.
    pub cost: Cost,
    /// The sum of these parts.
    pub total: Span,
    /// What admission rests on there.
    pub expectation: Expectation,
    /// What the agent would answer to the offer.
    pub answer: Answer,
}

/// What a balancer knows about the admission of a request at one agent. The agent itself judges by
/// its own state, which is newer, and by the tail of its service times in place of their mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Expectation {
    /// The expected wait for a slot.
    pub wait: Span,
    /// The mean service time.
    pub service_time: Span,
    /// What the first request of the flow can expect.
    pub outlook: Outlook,
    /// The number of further flows that the upstream takes; `None` without a limit.
    pub room: Option<Connections>,
}

/// The answer of an agent to the offer of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It takes the flow.
    Takes,
    /// It passes the flow on to the next agent.
    PassesOn,
    /// It refuses the flow as the last of the agents.
    Refuses,
    /// It gets the offer and does not answer.
    None,
    /// The flow is not offered to it.
    NotOffered,
}

/// A member that does not get the flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Excluded {
    /// The address of the agent.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// Why it does not get the flow.
    pub cause: Exclusion,
}

impl Display for Answer {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Takes => "takes the flow",
            Self::PassesOn => "passes the flow on",
            Self::Refuses => "refuses the flow",
            Self::None => "does not answer",
            Self::NotOffered => "not offered",
        })
    }
}

impl Pool {
    /// Explains the choice of [`Pool::choose`] for a new flow, and what the agents would answer. It
    /// changes nothing.
    pub fn explain(&self, flow: &NewFlow<'_>, now: Moment) -> Explanation {
        let plans = self.spill_over_plans();
        let plan = plans.get(&flow.target);
        let mut compared: HashMap<Instance, Candidate> = HashMap::new();
        let mut excluded = Vec::new();
        let ranked = self.rank(flow.target, flow.domain, flow.key, plan, now, |member, cost| {
            let instance = member.entry.agent_id.instance;
            match cost {
                Ok(cost) => {
                    compared.insert(instance, Candidate::new(member, cost, &flow.class, now));
                }
                Err(cause) => {
                    let domain = member.entry.domain.clone();
                    excluded.push(Excluded { instance, domain, cause });
                }
            }
        });
        let mut candidates: Vec<Candidate> = ranked
            .into_iter()
            .filter_map(|((_, rank, _), instance)| {
                let candidate = compared.remove(&instance)?;
                Some(Candidate { is_on_side: rank == Rank::First, ..candidate })
            })
            .collect();
        excluded.sort_by_key(|member| member.instance);
        let outcome = self.offer(flow, &mut candidates);
        Explanation {
            outcome,
            side: Side::new(plan, flow.key),
            plan: plan.cloned(),
            candidates,
            excluded,
        }
    }

    /// Fills in the answers of the agents that the flow is offered to, and returns the outcome.
    fn offer(&self, flow: &NewFlow<'_>, candidates: &mut [Candidate]) -> Outcome {
        if candidates.is_empty() {
            let is_evacuated = self.is_evacuated(flow.target);
            return if is_evacuated { Outcome::Evacuated } else { Outcome::NoMember };
        }
        let offers = candidates.len().min(flow.max_offers);
        let is_judged = self.requirements().health;
        for (hops, candidate) in candidates.iter_mut().take(offers).enumerate() {
            let turn = Turn::new(hops as u8, offers - hops - 1);
            candidate.answer = candidate.expectation.answer(turn, is_judged);
            if candidate.reachability != Reachability::Good {
                candidate.answer = Answer::None;
            }
            match candidate.answer {
                Answer::Takes => return Outcome::Placed(candidate.instance),
                Answer::None => return Outcome::Unanswered(candidate.instance),
                Answer::Refuses => break,
                Answer::PassesOn | Answer::NotOffered => {}
            }
        }
        Outcome::Refused
    }
}

impl Candidate {
    /// Creates a candidate on the flow's side that is not offered the flow.
    fn new(member: &Member, cost: Cost, class: &TrafficClass, now: Moment) -> Self {
        Self {
            instance: member.entry.agent_id.instance,
            domain: member.entry.domain.clone(),
            reachability: member.reachability(now),
            is_on_side: true,
            cost,
            total: cost.total(),
            expectation: Expectation::new(member, class, now),
            answer: Answer::NotOffered,
        }
    }
}

impl Expectation {
    fn new(member: &Member, class: &TrafficClass, now: Moment) -> Self {
        let (workload, mean) = (member.workload(now), member.service_time());
        let service = ServiceTime { mean, tail: mean };
        Self {
            wait: workload.wait(),
            service_time: mean,
            outlook: workload.outlook(class, service),
            room: member.measures.and_then(|(measures, _)| measures.room),
        }
    }

    /// Returns the answer of an agent at this turn. Without the requirement `health` agents do not
    /// judge the wait.
    fn answer(&self, turn: Turn, is_judged: bool) -> Answer {
        let has_room = self.room.is_none_or(|room| room.get() > 0);
        let service = ServiceTime { mean: self.service_time, tail: self.service_time };
        if has_room && (!is_judged || turn.takes(self.outlook, self.wait, service)) {
            Answer::Takes
        } else if turn.is_last() {
            Answer::Refuses
        } else {
            Answer::PassesOn
        }
    }
}

impl Side {
    fn new(plan: Option<&Plan>, key: FlowKey) -> Self {
        match DomainOrder::new(plan, key) {
            DomainOrder::ByCost => Self::Any,
            DomainOrder::HomeFirst => Self::Home,
            DomainOrder::ReceiversFirst(_) => Self::Receivers,
        }
    }
}
