//! Flows and the packets that belong to them, whatever the front end.

use {
    crate::{
        ids::{Incarnation, Instance},
        tag::Owner,
    },
    serde::{Deserialize, Serialize},
};

newtype! {
    /// The key of a flow that carries no tag: a keyed hash of what stays the same in all its
    /// untagged packets.
    Key(u64), "a flow key"
}

/// The part that a packet plays in its flow, as far as a front end can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The packet may open a flow.
    First,
    /// The packet belongs to a flow that must exist already.
    Middle,
}

/// What a balancer knows of a packet before it chooses where to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Packet {
    /// The packet carries a valid tag of the service.
    Tagged(Owner),
    /// The packet carries none.
    Untagged {
        /// The key of its flow.
        key: Key,
        /// Its part in the flow.
        phase: Phase,
    },
}

/// One life of an agent, as a candidate or owner of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hop {
    /// The address of the agent.
    pub instance: Instance,
    /// The life of it that is meant.
    pub incarnation: Incarnation,
}

impl From<Owner> for Hop {
    fn from(owner: Owner) -> Self {
        Self { instance: owner.instance, incarnation: owner.incarnation }
    }
}
