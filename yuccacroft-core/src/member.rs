//! Members: the upstreams that announced themselves, as balancers see them.

pub mod membership;

use {
    crate::{
        flow::Hop,
        ids::{Customer, Domain, Incarnation, Instance, Service},
        units::Weight,
    },
    serde::{Deserialize, Serialize},
};

/// What an upstream is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It takes new flows.
    Serving,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// It is gone. The entry stays for a while so that older news cannot bring it back.
    Left,
}

/// The entry of one upstream, written by its agent only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The customer whose contract the agent proved to know.
    pub customer: Customer,
    /// The service that the upstream runs.
    pub service: Service,
    /// The address of the agent.
    pub instance: Instance,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Counts the changes of this entry within one incarnation.
    pub version: u32,
    /// The failure domain of the upstream.
    pub domain: Domain,
    /// Its share of new flows.
    pub weight: Weight,
    /// What it is ready for.
    pub phase: Phase,
}

impl Entry {
    /// Returns true when `self` replaces `other`, an entry of the same instance. An agent's own
    /// later word goes before its earlier one, and a later life before all of an earlier one.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }

    /// Returns the share of new flows, which is none unless the upstream serves.
    pub fn share(&self) -> Weight {
        if self.phase == Phase::Serving { self.weight } else { Weight::new(0) }
    }

    /// Returns the address and life that a capsule names.
    pub fn hop(&self) -> Hop {
        Hop { instance: self.instance, incarnation: self.incarnation }
    }
}

/// Longest step back of the wall clock between two lives of an agent that the later one makes up
/// for. Control messages already need clocks that differ by less than a minute.
const MAX_STEP_BACK_MILLIS: u64 = 3_600_000;

/// Chooses the incarnation of a starting agent at whose address balancers know the life `known`.
/// The wall clock may have stepped back since then; a lower incarnation would be taken for news
/// of the earlier life. `None` means that the step is too long to be one of a clock.
pub fn next_incarnation(own: Incarnation, known: Incarnation) -> Option<Incarnation> {
    if known < own {
        return Some(own);
    }
    let step = known.get() - own.get();
    (step <= MAX_STEP_BACK_MILLIS).then(|| Incarnation::new(known.get() + 1))
}

/// What balancers think of a process. The order is the one in which a standing may get worse
/// without a word of the process itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It is heard from.
    Trusted = 0,
    /// It was not heard from for a while and gets little new work.
    Suspected = 1,
    /// It was not heard from for long and gets none.
    Lost = 2,
}

/// An entry together with its standing. A new version of the entry starts as trusted again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry as its agent wrote it.
    pub entry: Entry,
    /// What the registrars think of the agent.
    pub standing: Standing,
}

/// The state of a whole failure domain. Its loss is this one record instead of one a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// The failure domain.
    pub domain: Domain,
    /// Counts the changes; the domain is lost while the number is odd.
    pub epoch: u64,
}

impl Outage {
    /// Returns true while the failure domain is lost.
    pub fn is_lost(&self) -> bool {
        self.epoch % 2 == 1
    }
}
