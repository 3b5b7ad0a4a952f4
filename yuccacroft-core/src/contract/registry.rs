//! The controller that keeps the contracts in force.

use {
    super::{Accepted, Contract},
    crate::{controller::Controller, ids::Customer, time::Moment},
    std::{collections::BTreeMap, sync::Arc},
};

/// The input of the registry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A contract was received from the store or a peer. It may be outdated.
    Learned(Arc<Contract<Accepted>>),
}

/// The output of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Put a contract in force.
    Apply {
        /// The contract that is now in force.
        contract: Arc<Contract<Accepted>>,
        /// The contract that it replaces.
        replaced: Option<Arc<Contract<Accepted>>>,
    },
}

/// The contracts in force in one process. A contract is replaced only by one of a higher revision,
/// whether it comes from the store or a peer.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    contracts: BTreeMap<Customer, Arc<Contract<Accepted>>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the contract in force of a customer.
    pub fn get(&self, customer: &Customer) -> Option<&Arc<Contract<Accepted>>> {
        self.contracts.get(customer)
    }

    /// Returns all contracts in force.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Contract<Accepted>>> {
        self.contracts.values()
    }
}

impl Controller for Registry {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, _now: Moment) -> Vec<Action> {
        let Event::Learned(contract) = event;
        let known = self.contracts.get(contract.customer());
        if known.is_some_and(|known| known.revision() >= contract.revision()) {
            return Vec::new();
        }
        let customer = contract.customer().clone();
        let replaced = self.contracts.insert(customer, contract.clone());
        vec![Action::Apply { contract, replaced }]
    }
}
