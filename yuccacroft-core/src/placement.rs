//! Placement of untagged flows: weighted Maglev tables, homes and candidate chains.
//!
//! The mechanism and the rejected alternatives are described in `docs/flows.md`.

pub mod history;
pub mod homes;
pub mod ramp;
pub mod table;

pub use {history::History, homes::Homes, table::Table};

use {
    crate::{
        flow::{Hop, Key},
        ids::Instance,
        units::Weight,
    },
    serde::{Deserialize, Serialize},
};

/// Homes on a chain: those of the current members and two that earlier members had.
pub const MAX_HOMES: usize = homes::HOMES_PER_KEY + 2;
/// One packet in this many begins at a home.
const HOME_TURN: usize = 8;
const SECOND_CHOICE: u64 = 0x9e37_79b9_7f4a_7c15;

/// A member of a service. One of weight zero takes no new flows but still serves as a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Candidate {
    /// The address and life of the agent.
    pub hop: Hop,
    /// Its share of new flows.
    pub weight: Weight,
}

/// The agents that a packet may go to: two choices for a new flow, and the homes where the owner
/// of the key is registered. All balancers order the homes of a key in the same way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    choices: [Option<Hop>; 2],
    homes: [Option<Hop>; MAX_HOMES],
}

/// The part in which an agent receives an untagged packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// It is the first choice.
    First,
    /// It is the second choice; the first one was more loaded, or could not compare.
    Second,
    /// It is the first choice again; the second one is at least as loaded.
    Settled,
    /// It is the home at this position.
    Home(u8),
    /// Another agent takes it for the owner.
    Owner,
}

impl Chain {
    /// Creates a chain with its two choices and no home.
    pub fn new(first: Option<Hop>, second: Option<Hop>) -> Self {
        Self { choices: [first, second], homes: [None; MAX_HOMES] }
    }

    /// Returns the first choice.
    pub fn first(&self) -> Option<Hop> {
        self.choices[0]
    }

    /// Returns the second choice, which equals the first when there is only one.
    pub fn second(&self) -> Option<Hop> {
        self.choices[1]
    }

    /// Returns the chain with another agent in front, depending on `turn`, which a balancer counts
    /// per packet. A caller's next try then does not end at the same dead agent: every other packet
    /// begins at the second choice, and every eighth at one of the homes.
    pub fn rotated(mut self, turn: usize) -> Self {
        let count = self.homes().count();
        if turn % HOME_TURN == HOME_TURN - 1 && count > 0 {
            self.choices = [self.homes[turn / HOME_TURN % count], self.choices[0]];
        } else if turn % 2 == 1 && self.choices[1].is_some() {
            self.choices.swap(0, 1);
        }
        self
    }

    /// Puts a home in front when no member takes new flows: flows that exist still have to be found.
    fn with_front(mut self) -> Self {
        self.choices[0] = self.choices[0].or(self.homes[0]);
        self
    }

    /// Returns the home at a position.
    pub fn home(&self, position: usize) -> Option<Hop> {
        self.homes.get(position).copied().flatten()
    }

    /// Returns the homes in the order in which claims are made.
    pub fn homes(&self) -> impl Iterator<Item = Hop> + '_ {
        self.homes.iter().flatten().copied()
    }

    /// Adds a home at its place in the order of the key. An instance is added once, and nothing
    /// is added to a full chain.
    pub fn add_home(&mut self, key: Key, hop: Hop) {
        let count = self.homes().count();
        if count == MAX_HOMES || self.homes().any(|home| home.instance == hop.instance) {
            return;
        }
        let rank = homes::rank(key, hop.instance);
        let before = |home: &Hop| homes::rank(key, home.instance) > rank;
        let position = self.homes().take_while(before).count();
        self.homes.copy_within(position..count, position + 1);
        self.homes[position] = Some(hop);
    }
}

/// Hashes without a secret: all balancers must agree, and the key itself is a keyed hash. The
/// function is the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(SECOND_CHOICE);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a number that differs for each pair of a key and an agent.
pub fn pair_hash(key: Key, instance: Instance) -> u64 {
    mix(mix_instance(instance) ^ key.get())
}

fn mix_instance(instance: Instance) -> u64 {
    mix(instance.to_bits())
}
