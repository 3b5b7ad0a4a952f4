//! The evacuation of failure domains: operators ask that no new flow goes to the upstreams of a domain.

use {
    crate::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// What a balancer tells an agent about the evacuation of the agent's failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The revision of the store that the notice rests on. A later one replaces it.
    pub revision: Revision,
    /// Whether the domain is evacuated.
    pub is_evacuated: bool,
}
