//! The state of an agent: its table, its claims and the packets held until they are answered.

use {
    super::{balancer::KnownMembers, simulation::RoutedPacket},
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        directory::ClaimController,
        flow::{AgentId, FlowKey},
        ownership::OwnershipTable,
        placement::{Homes, ramp::Ramp},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
};

/// The idle time after which an untagged flow is removed. It is longer than a run, since callers report
/// the end of each flow.
const FLOW_TIMEOUT: Span = Span::from_secs(3_600);

/// An agent of a service.
pub struct Agent {
    pub service: usize,
    pub table: OwnershipTable,
    pub directory: ClaimController,
    /// The packets that wait for the claim of their flow.
    pub held: BTreeMap<FlowKey, Vec<RoutedPacket>>,
    /// The members of the service that the agent knows.
    pub known_members: KnownMembers,
    /// The homes among the known members.
    pub homes: Arc<Homes>,
    pub ramp: Ramp,
    pub weight: Weight,
    /// The version of its member entry.
    pub version: u32,
    /// Whether a tick of the claims is scheduled.
    pub is_ticking: bool,
}

impl Agent {
    /// Creates an agent without flows.
    pub fn new(service: usize, own: AgentId, ramp: Ramp, now: Moment) -> Self {
        let limit = Connections::new(super::script::CONNECTIONS);
        let weight = ramp.weight(now);
        Self {
            service,
            table: OwnershipTable::new(own, limit, weight).with_flow_timeout(FLOW_TIMEOUT),
            directory: ClaimController::new(own),
            held: BTreeMap::new(),
            known_members: KnownMembers::default(),
            homes: Arc::default(),
            ramp,
            weight,
            version: 1,
            is_ticking: false,
        }
    }

    /// Recomputes the homes from the known members. Returns the entries to publish to new homes.
    pub fn update_homes(&mut self) -> Vec<(AgentId, FlowKey)> {
        let after = Arc::new(Homes::new(&self.known_members.members()));
        let before = std::mem::replace(&mut self.homes, after);
        self.table.missing_entries(&before, &self.homes, Moment::default())
    }
}
