//! Flow keys, packet classes and agent ids, shared by all front ends.

use {
    crate::{
        ids::{Incarnation, Instance},
        tag::Owner,
    },
    serde::{Deserialize, Serialize},
};

newtype! {
    /// The key of a flow whose packets carry no owner tag: a keyed hash of the packet fields that
    /// are the same in all untagged packets of the flow.
    FlowKey(u64), "a flow key"
}

/// The position of a packet in its flow, as far as a front end can determine it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowPhase {
    /// The packet may open a flow.
    First,
    /// The packet belongs to an existing flow and never opens one.
    Middle,
}

/// The classification of a packet, on which a balancer bases its choice of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketClass {
    /// The packet carries a valid owner tag of the service.
    Tagged(Owner),
    /// The packet carries no valid owner tag.
    Untagged {
        /// The key of the packet's flow.
        key: FlowKey,
        /// The position of the packet in the flow.
        phase: FlowPhase,
    },
}

/// An agent process, identified by its address and incarnation: a candidate for or the owner of a
/// flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentId {
    /// The address of the agent.
    pub instance: Instance,
    /// The incarnation of the agent, which changes with each restart.
    pub incarnation: Incarnation,
}

impl From<Owner> for AgentId {
    fn from(owner: Owner) -> Self {
        Self { instance: owner.instance, incarnation: owner.incarnation }
    }
}
