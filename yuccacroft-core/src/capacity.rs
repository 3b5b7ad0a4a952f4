//! The capacity of a service, divided among its agents in one record of the store.
//!
//! The record is changed by compare-and-swap only, and a grant has no term. The sum of all grants
//! therefore never exceeds the contract's share, whatever is paused, lost or cut off, and an outage
//! of the store changes nothing. Short terms from a chosen allocator were rejected: two allocators
//! that each believe they are the one break the sum. See `docs/design.md`, section 3.

pub mod absence;
pub mod holder;

use {
    crate::{
        errors::{Error, Result},
        flow::Hop,
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
    /// The agent, in one life.
    pub hop: Hop,
    /// The slots.
    pub slots: Slots,
    /// The claim that brought the grant.
    pub claim: ClaimNumber,
}

newtype! {
    /// Counts the claims of one life of an agent, so that a claim that was held up on its way
    /// cannot undo a later one.
    ClaimNumber(u32), "a claim number"
}

/// What an agent asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It wants to use up to this many slots. It must use no more than the lower of this and its
    /// present grant while it asks.
    Hold(Slots),
    /// It stops and will use none of its slots any more.
    Release,
}

/// What a claim leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The record stays as it is.
    Keep(Slots),
    /// The new record has to be written by compare-and-swap; only then the slots are granted.
    Write(Record, Slots),
    /// A later life or a later claim of the agent is in the record. This claim grants nothing.
    Outdated,
}

/// The grants of one service, at most one per agent address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    grants: BTreeMap<Instance, Grant>,
}

impl Record {
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

    /// Works out a claim of `hop` under a contract that shares out `share` slots. The grants of
    /// agents in `gone` are freed; the caller must know that these stopped using them.
    pub fn decide(
        &self,
        hop: Hop,
        number: ClaimNumber,
        claim: Claim,
        share: Slots,
        gone: &BTreeSet<Instance>,
    ) -> ClaimDecision {
        let known = self.grants.get(&hop.instance);
        let place = (hop.incarnation, number);
        if known.is_some_and(|known| (known.hop.incarnation, known.claim) > place) {
            return ClaimDecision::Outdated;
        }
        let mut next = self.clone();
        next.grants.retain(|instance, _| *instance == hop.instance || !gone.contains(instance));
        next.grants.remove(&hop.instance);
        let granted = match claim {
            Claim::Release => Slots::default(),
            Claim::Hold(want) => Slots::new(want.get().min(next.free(share))),
        };
        // An empty grant stays in the record, since its number still outdates earlier claims.
        if claim != Claim::Release {
            let grant = Grant { hop, slots: granted, claim: number };
            next.grants.insert(hop.instance, grant);
        }
        if next == *self {
            ClaimDecision::Keep(granted)
        } else {
            ClaimDecision::Write(next, granted)
        }
    }

    fn free(&self, share: Slots) -> u32 {
        share.get().saturating_sub(self.total().get())
    }
}

/// Writes one line per grant: address, incarnation, claim number, slots.
impl Display for Record {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for Grant { hop, slots, claim } in self.grants() {
            writeln!(f, "{} {} {claim} {slots}", hop.instance, hop.incarnation)?;
        }
        Ok(())
    }
}

impl FromStr for Record {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut record = Self::new();
        for line in text.lines() {
            let grant = parse_grant(line)?;
            if record.grants.insert(grant.hop.instance, grant).is_some() {
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
    let hop = Hop { instance: instance.parse()?, incarnation: incarnation.parse()? };
    Ok(Grant { hop, slots: slots.parse()?, claim: claim.parse()? })
}

/// Returns the part of a share that one of `upstreams_max` agents asks for. Rounding up lets
/// the first agents take the remainder; the record still bounds the sum.
pub fn share_per_agent(share: Slots, upstreams_max: u32) -> Slots {
    Slots::new(share.get().div_ceil(upstreams_max.max(1)))
}
