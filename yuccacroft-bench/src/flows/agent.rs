//! An agent: its table, its claims and the packets that wait for them.

use {
    super::{balancer::View, world::Sent},
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        directory::ClaimController,
        flow::{Hop, Key},
        ownership::Table,
        placement::{Homes, ramp::Ramp},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
};

/// Flows without tags are remembered for the whole run; their front end reports their end.
const MEMORY: Span = Span::from_secs(3_600);

pub struct Agent {
    pub service: usize,
    pub table: Table,
    pub directory: ClaimController,
    pub held: BTreeMap<Key, Vec<Sent>>,
    pub view: View,
    pub homes: Arc<Homes>,
    pub ramp: Ramp,
    pub weight: Weight,
    pub version: u32,
    pub ticking: bool,
}

impl Agent {
    pub fn new(service: usize, own: Hop, ramp: Ramp, now: Moment) -> Self {
        let limit = Connections::new(super::script::CONNECTIONS);
        let weight = ramp.weight(now);
        Self {
            service,
            table: Table::new(own, limit, weight).with_flow_timeout(MEMORY),
            directory: ClaimController::new(own),
            held: BTreeMap::new(),
            view: View::default(),
            homes: Arc::default(),
            ramp,
            weight,
            version: 1,
            ticking: false,
        }
    }

    /// Takes the homes of the known members and returns the entries that new homes need.
    pub fn republish(&mut self) -> Vec<(Hop, Key)> {
        let after = Arc::new(Homes::new(&self.view.members()));
        let before = std::mem::replace(&mut self.homes, after);
        self.table.missing_entries(&before, &self.homes, Moment::default())
    }
}
