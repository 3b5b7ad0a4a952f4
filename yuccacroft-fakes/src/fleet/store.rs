//! Simulated store of a fleet, with contracts, watches and a log of calls.

use {
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{Customer, Revision},
        time::Moment,
    },
};

/// The contracts in the store and the balancers that watch them.
#[derive(Debug, Default)]
pub struct ContractStore {
    pub(super) is_down: bool,
    history: BTreeMap<Revision, Arc<Contract<Accepted>>>,
    /// The balancers that watch, each with the number of the call that opened the watch.
    watches: BTreeMap<usize, u64>,
    calls: Vec<Moment>,
}

impl ContractStore {
    /// Returns the times of all calls; a watch counts as one.
    pub fn calls(&self) -> &[Moment] {
        &self.calls
    }

    /// Records a call and returns whether it succeeds.
    pub(super) fn call(&mut self, now: Moment) -> bool {
        self.calls.push(now);
        !self.is_down
    }

    pub(super) fn put(&mut self, contract: Arc<Contract<Accepted>>) {
        self.history.insert(contract.revision(), contract);
    }

    /// Returns the latest contract of each customer, and the revision of the store.
    pub(super) fn list(&self) -> (Vec<Arc<Contract<Accepted>>>, Revision) {
        let mut latest: BTreeMap<Customer, Arc<Contract<Accepted>>> = BTreeMap::new();
        for contract in self.history.values() {
            latest.insert(contract.customer().clone(), contract.clone());
        }
        let revision = self.history.keys().next_back().copied().unwrap_or_default();
        (latest.into_values().collect(), revision)
    }

    /// Returns the contract written with a revision.
    pub(super) fn contract_at(&self, revision: Revision) -> Option<Arc<Contract<Accepted>>> {
        self.history.get(&revision).cloned()
    }

    /// Returns the revisions from `from` on, inclusive.
    pub(super) fn since(&self, from: Revision) -> Vec<Revision> {
        self.history.range(from..).map(|(revision, _)| *revision).collect()
    }

    pub(super) fn begin_watch(&mut self, index: usize, call_number: u64) {
        self.watches.insert(index, call_number);
    }

    pub(super) fn end_watch(&mut self, index: usize) {
        self.watches.remove(&index);
    }

    /// Ends all watches and returns them.
    pub(super) fn end_watches(&mut self) -> BTreeMap<usize, u64> {
        std::mem::take(&mut self.watches)
    }

    pub(super) fn watches(&self) -> BTreeMap<usize, u64> {
        self.watches.clone()
    }
}
