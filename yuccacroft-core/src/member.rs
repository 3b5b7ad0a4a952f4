//! Members: upstreams that are announced to the balancers by their agents.

pub mod membership;

use {
    crate::{
        flow::AgentId,
        ids::{Customer, Domain, Incarnation, Instance, Service},
        units::Weight,
    },
    serde::{Deserialize, Serialize},
};

/// The life-cycle phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberPhase {
    /// The upstream accepts new flows.
    Serving,
    /// The upstream completes its flows and accepts no new ones.
    Draining,
    /// The upstream has left. The entry is kept as a tombstone for a while, so that an older entry
    /// cannot restore it.
    Left,
}

/// The entry of one upstream. Only its agent changes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The customer, whose secret the agent has proved to know.
    pub customer: Customer,
    /// The service that the upstream runs.
    pub service: Service,
    /// The address of the agent.
    pub instance: Instance,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The number of changes of this entry within the incarnation.
    pub version: u32,
    /// The failure domain of the upstream.
    pub domain: Domain,
    /// Its relative share of new flows.
    pub weight: Weight,
    /// Its phase.
    pub phase: MemberPhase,
}

impl MemberEntry {
    /// Returns true if `self` is newer than `other`, an entry of the same instance: if it has a
    /// higher incarnation, or a higher version within the same incarnation.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }

    /// Returns the weight, or zero if the upstream is not serving.
    pub fn effective_weight(&self) -> Weight {
        if self.phase == MemberPhase::Serving { self.weight } else { Weight::new(0) }
    }

    /// Returns the address and incarnation with which capsules identify the agent.
    pub fn agent_id(&self) -> AgentId {
        AgentId { instance: self.instance, incarnation: self.incarnation }
    }
}

/// Maximum backward step of the wall clock between two incarnations of an agent for which the later
/// one compensates. Control messages already require clocks that differ by less than a minute.
const MAX_CLOCK_STEP_MILLIS: u64 = 3_600_000;

/// Returns the incarnation of a starting agent at whose address the balancers know the incarnation
/// `known`. If the wall clock has stepped back since then, `own` is too low and the balancers would
/// ignore its entries as outdated. Returns `None` if the difference is too large for a clock step.
pub fn next_incarnation(own: Incarnation, known: Incarnation) -> Option<Incarnation> {
    if known < own {
        return Some(own);
    }
    let step = known.get() - own.get();
    (step <= MAX_CLOCK_STEP_MILLIS).then(|| Incarnation::new(known.get() + 1))
}

/// The health of a process as judged by the balancers. Without a newer entry by the process itself,
/// it only changes to a later variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// The process is responsive.
    Trusted = 0,
    /// The process has been silent for a while and gets less new work.
    Suspected = 1,
    /// The process has been silent for longer and gets no new work.
    Lost = 2,
}

/// An entry with its liveness. A new version of the entry is trusted again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The entry, as written by its agent.
    pub entry: MemberEntry,
    /// The liveness of the agent, as judged by its registrars.
    pub standing: Liveness,
}

/// The state of a whole failure domain. Its loss is spread as this single record instead of one
/// record per member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The failure domain.
    pub domain: Domain,
    /// The number of state changes. The domain is lost while it is odd.
    pub epoch: u64,
}

impl Outage {
    /// Returns true if the failure domain is lost.
    pub fn is_lost(&self) -> bool {
        self.epoch % 2 == 1
    }
}
