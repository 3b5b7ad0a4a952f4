//! Messages by which an agent claims its part of a contract's capacity through a balancer.

use {
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        capacity::{Claim, ClaimNumber},
        flow::Hop,
        ids::{Customer, Service},
        units::Slots,
    },
};

/// The path of these messages at a balancer.
pub const PATH: &str = "/v1/capacity";

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The customer whose capacity is claimed.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The agent that claims.
    pub hop: Hop,
    /// The number of the claim in the agent's life.
    pub number: ClaimNumber,
    /// What it wants.
    pub claim: Claim,
}

/// The answer. Without one the agent does not know what is in the record and claims again under
/// a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The record grants this many slots.
    Granted(Slots),
    /// A later life or claim of the agent is in the record.
    Outdated,
}
