//! Messages with which an agent claims its share of a contract's capacity from a balancer.

use {
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        capacity::{Claim, ClaimNumber},
        flow::AgentId,
        ids::{Customer, Service},
        units::Slots,
    },
};

/// The path of these messages at a balancer.
pub const CAPACITY_PATH: &str = "/v1/capacity";

/// A claim of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityQuery {
    /// The customer whose capacity is claimed.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The agent that claims.
    #[serde(rename = "hop")]
    pub agent_id: AgentId,
    /// The number of the claim within the agent's incarnation.
    pub number: ClaimNumber,
    /// The claim: hold slots or release them.
    pub claim: Claim,
}

/// The answer to a [`CapacityQuery`]. An agent that gets none does not know whether the record contains its
/// claim, and claims again under a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CapacityReply {
    /// The record grants this number of slots.
    Granted(Slots),
    /// The record contains a later incarnation or claim of the agent.
    Outdated,
}
