//! Placement of untagged flows: weighted Maglev tables, home agents and candidate chains.
//!
//! `docs/flows.md` describes the mechanism and the rejected alternatives.

pub mod history;
pub mod homes;
pub mod ramp;
pub mod table;
pub mod tenure;

pub use {history::History, homes::Homes, table::PlacementTable, tenure::Tenure};

use {
    crate::{
        flow::{AgentId, FlowKey},
        ids::Instance,
        units::Weight,
    },
    serde::{Deserialize, Serialize},
};

/// Maximum number of homes on a chain: those of the current members and two of earlier members.
pub const MAX_HOMES: usize = homes::HOMES_PER_KEY + 2;
/// Interval, in packets, at which a packet is sent to a home first.
const HOME_TURN_INTERVAL: usize = 8;
/// The increment of SplitMix64. It is also the salt of the hash that yields the second choice.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A member of a service. A member of weight zero receives no new flows but still serves as a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Candidate {
    /// The address and incarnation of the agent.
    #[serde(rename = "hop")]
    pub agent_id: AgentId,
    /// The relative share of new flows.
    pub weight: Weight,
}

/// The agents that a packet may be sent to: two choices for a new flow, and the homes at which the
/// owner of the key is registered. All balancers order the homes of a key in the same way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateChain {
    choices: [Option<AgentId>; 2],
    homes: [Option<AgentId>; MAX_HOMES],
}

/// The position on the chain at which an agent receives an untagged packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainPosition {
    /// The agent is the first choice.
    First,
    /// The agent is the second choice. The first one was more loaded, or could not compare their
    /// loads.
    Second,
    /// The agent is the first choice and receives the packet again, since the second one is at
    /// least as loaded.
    Settled,
    /// The agent is the home at this position.
    Home(u8),
    /// Another agent considers this agent the owner of the flow.
    Owner,
    /// The agent is the home at this position, and a home that was asked before may lack entries:
    /// if no home knows the owner, that is no evidence that the flow has none.
    UncertainHome(u8),
}

impl CandidateChain {
    /// Creates a chain with two choices and no homes.
    pub fn new(first: Option<AgentId>, second: Option<AgentId>) -> Self {
        Self { choices: [first, second], homes: [None; MAX_HOMES] }
    }

    /// Returns the first choice.
    pub fn first(&self) -> Option<AgentId> {
        self.choices[0]
    }

    /// Returns the second choice, which equals the first when only one agent takes new flows.
    pub fn second(&self) -> Option<AgentId> {
        self.choices[1]
    }

    /// Returns the chain with its first agent chosen by `turn`, a counter that the balancer
    /// increments per packet: every other packet starts at the second choice, every eighth at one
    /// of the homes. A retry of a caller then does not reach the same dead agent again.
    pub fn rotated(mut self, turn: usize) -> Self {
        let count = self.homes().count();
        if turn % HOME_TURN_INTERVAL == HOME_TURN_INTERVAL - 1 && count > 0 {
            self.choices = [self.homes[turn / HOME_TURN_INTERVAL % count], self.choices[0]];
        } else if turn % 2 == 1 && self.choices[1].is_some() {
            self.choices.swap(0, 1);
        }
        self
    }

    /// Uses the first home as first choice when no member takes new flows, since the owners of
    /// existing flows must still be found.
    fn with_fallback(mut self) -> Self {
        self.choices[0] = self.choices[0].or(self.homes[0]);
        self
    }

    /// Returns the home at a position.
    pub fn home(&self, position: usize) -> Option<AgentId> {
        self.homes.get(position).copied().flatten()
    }

    /// Returns the homes in the order in which ownership is claimed at them.
    pub fn homes(&self) -> impl Iterator<Item = AgentId> + '_ {
        self.homes.iter().flatten().copied()
    }

    /// Inserts a home at its rank for the key. Has no effect when the instance is already a home or
    /// the chain is full.
    pub fn add_home(&mut self, key: FlowKey, agent_id: AgentId) {
        let count = self.homes().count();
        if count == MAX_HOMES || self.homes().any(|home| home.instance == agent_id.instance) {
            return;
        }
        let rank = homes::rank(key, agent_id.instance);
        let before = |home: &AgentId| homes::rank(key, home.instance) > rank;
        let position = self.homes().take_while(before).count();
        self.homes.copy_within(position..count, position + 1);
        self.homes[position] = Some(agent_id);
    }
}

/// Hashes a value with the finalizer of SplitMix64. It is unkeyed, since all balancers must compute
/// the same value; the flow key itself is a keyed hash.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(GOLDEN_GAMMA);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of a pair of a flow key and an agent.
pub fn pair_hash(key: FlowKey, instance: Instance) -> u64 {
    mix(mix_instance(instance) ^ key.get())
}

fn mix_instance(instance: Instance) -> u64 {
    mix(instance.to_bits())
}
