//! Division of a service's capacity among its agents, kept in one record of the store.
//!
//! The record is changed by compare-and-swap only, and a grant does not expire. The sum of all
//! grants therefore never exceeds the contract's share, whichever processes are paused, lost or
//! partitioned, and an outage of the store leaves the grants unchanged. Short-lived grants from an
//! elected allocator were rejected: with two allocators that both consider themselves elected, the
//! sum can exceed the share. See `docs/design.md`, section 3.

pub mod absence;
pub mod holder;

use {
    crate::{
        errors::{Error, Result},
        flow::AgentId,
        ids::Instance,
        units::Slots,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{Display, Formatter},
        str::FromStr,
    },
};

/// The slots that one agent may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The address and incarnation of the agent.
    #[serde(rename = "hop")]
    pub agent_id: AgentId,
    /// The number of granted slots.
    pub slots: Slots,
    /// The number of the claim that the grant answers.
    pub claim: ClaimNumber,
}

newtype! {
    /// The sequence number of a claim within one incarnation of an agent. It keeps a delayed claim
    /// from overriding a later one.
    ClaimNumber(u32), "a claim number"
}

/// A claim of an agent on the capacity of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The agent claims up to this many slots. While the claim is pending, it must use no more than
    /// the lower of this number and its present grant.
    Hold(Slots),
    /// The agent stops and no longer uses any of its slots.
    Release,
}

/// The result of a claim; see [`GrantRecord::decide`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The record already reflects the claim and is not written. This many slots are granted.
    Keep(Slots),
    /// The new record must be written by compare-and-swap. The slots are granted only after the
    /// write succeeds.
    Write(GrantRecord, Slots),
    /// The record contains a later incarnation or a later claim of the agent. Nothing is granted.
    Outdated,
}

/// The grants of one service, at most one per agent address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantRecord {
    grants: BTreeMap<Instance, Grant>,
}

impl GrantRecord {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all grants.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values()
    }

    /// Returns the sum of all grants.
    pub fn total(&self) -> Slots {
        let sum = self.grants().fold(0u32, |sum, grant| sum.saturating_add(grant.slots.get()));
        Slots::new(sum)
    }

    /// Decides on a claim of `agent_id` under a contract with `share` slots. The grants of the agents in
    /// `expired_holders` are freed; the caller must be certain that these agents no longer use
    /// them.
    pub fn decide(
        &self,
        agent_id: AgentId,
        number: ClaimNumber,
        claim: Claim,
        share: Slots,
        expired_holders: &BTreeSet<Instance>,
    ) -> ClaimDecision {
        let previous = self.grants.get(&agent_id.instance);
        let claim_order = (agent_id.incarnation, number);
        if previous
            .is_some_and(|previous| (previous.agent_id.incarnation, previous.claim) > claim_order)
        {
            return ClaimDecision::Outdated;
        }
        let mut next = self.clone();
        next.grants.retain(|instance, _| {
            *instance == agent_id.instance || !expired_holders.contains(instance)
        });
        next.grants.remove(&agent_id.instance);
        let granted = match claim {
            Claim::Release => Slots::default(),
            Claim::Hold(wanted) => Slots::new(wanted.get().min(next.unclaimed(share))),
        };
        // A grant of zero slots is kept, since its claim number still supersedes earlier claims.
        if claim != Claim::Release {
            let grant = Grant { agent_id, slots: granted, claim: number };
            next.grants.insert(agent_id.instance, grant);
        }
        if next == *self {
            ClaimDecision::Keep(granted)
        } else {
            ClaimDecision::Write(next, granted)
        }
    }

    fn unclaimed(&self, share: Slots) -> u32 {
        share.get().saturating_sub(self.total().get())
    }
}

/// Formats one line per grant: address, incarnation, claim number, slots.
impl Display for GrantRecord {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for Grant { agent_id, slots, claim } in self.grants() {
            writeln!(f, "{} {} {claim} {slots}", agent_id.instance, agent_id.incarnation)?;
        }
        Ok(())
    }
}

impl FromStr for GrantRecord {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut record = Self::new();
        for line in text.lines() {
            let grant = parse_grant(line)?;
            if record.grants.insert(grant.agent_id.instance, grant).is_some() {
                return Err(Error::expected("one grant per address", line));
            }
        }
        Ok(record)
    }
}

fn parse_grant(line: &str) -> Result<Grant> {
    let parts: Vec<_> = line.split(' ').collect();
    let [instance, incarnation, claim, slots] = parts[..] else {
        return Err(Error::expected("address, incarnation, claim number and slots", line));
    };
    let agent_id = AgentId { instance: instance.parse()?, incarnation: incarnation.parse()? };
    Ok(Grant { agent_id, slots: slots.parse()?, claim: claim.parse()? })
}

/// Returns the number of slots that each of `upstreams_max` agents claims. The quotient is rounded
/// up, so the first agents receive the remainder; the record still bounds the sum.
pub fn share_per_agent(share: Slots, upstreams_max: u32) -> Slots {
    Slots::new(share.get().div_ceil(upstreams_max.max(1)))
}
