//! The controller of the contracts in force.

use {
    super::{Accepted, Contract},
    crate::{controller::Controller, ids::Customer, time::Moment},
    std::{collections::BTreeMap, sync::Arc},
};

/// News about contracts, from the store or a peer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A contract as the store holds it or held it.
    Learned(Arc<Contract<Accepted>>),
}

/// What follows for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The contract is now in force and replaces the earlier one.
    Apply {
        /// The contract in force.
        contract: Arc<Contract<Accepted>>,
        /// The one that it replaces.
        replaced: Option<Arc<Contract<Accepted>>>,
    },
}

/// The contracts in force in one process. A lower revision never replaces a higher one, from
/// whatever source it comes.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    contracts: BTreeMap<Customer, Arc<Contract<Accepted>>>,
}

impl Registry {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the contract of a customer.
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
