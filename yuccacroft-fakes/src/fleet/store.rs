//! The store of a fleet: contracts, watches and a count of calls.

use {
    std::{collections::BTreeMap, sync::Arc},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{Customer, Revision},
        time::Moment,
    },
};

/// What the store holds and who watches it.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) down: bool,
    history: BTreeMap<Revision, Arc<Contract<Accepted>>>,
    watches: BTreeMap<usize, u64>,
    calls: Vec<Moment>,
}

impl Ledger {
    /// Returns the moments of all calls; a watch is one.
    pub fn calls(&self) -> &[Moment] {
        &self.calls
    }

    pub(super) fn call(&mut self, now: Moment) -> bool {
        self.calls.push(now);
        !self.down
    }

    pub(super) fn put(&mut self, contract: Arc<Contract<Accepted>>) {
        self.history.insert(contract.revision(), contract);
    }

    pub(super) fn list(&self) -> (Vec<Arc<Contract<Accepted>>>, Revision) {
        let mut latest: BTreeMap<Customer, Arc<Contract<Accepted>>> = BTreeMap::new();
        for contract in self.history.values() {
            latest.insert(contract.customer().clone(), contract.clone());
        }
        let revision = self.history.keys().next_back().copied().unwrap_or_default();
        (latest.into_values().collect(), revision)
    }

    pub(super) fn at(&self, revision: Revision) -> Option<Arc<Contract<Accepted>>> {
        self.history.get(&revision).cloned()
    }

    pub(super) fn since(&self, from: Revision) -> Vec<Revision> {
        self.history.range(from..).map(|(revision, _)| *revision).collect()
    }

    pub(super) fn begin_watch(&mut self, index: usize, turn: u64) {
        self.watches.insert(index, turn);
    }

    pub(super) fn end_watch(&mut self, index: usize) {
        self.watches.remove(&index);
    }

    pub(super) fn end_watches(&mut self) -> BTreeMap<usize, u64> {
        std::mem::take(&mut self.watches)
    }

    pub(super) fn watches(&self) -> BTreeMap<usize, u64> {
        self.watches.clone()
    }
}
