//! Changes of contracts: a compare-and-swap in the store whose outcome is always settled, or
//! reported as unknown.

use {
    crate::control::{CONTRACTS, Control},
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        contract::{
            Accepted, Checked, Contract,
            stored::{self, History},
        },
        ids::{Change, Customer, Revision},
    },
    yuccacroft_platform::{
        errors::Error as StoreError,
        store::{Item, Outcome, Store},
    },
    yuccacroft_rpc::admin::{Failure, failure},
    yuccacroft_wire::admin::{Kind, Problem, Put, Source, Stored},
};

/// Attempts to settle a write whose answer was lost.
const SETTLE_ATTEMPTS: u32 = 3;
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

type Result<T> = std::result::Result<T, Failure>;

/// Reads and writes contracts in the store on behalf of operators.
pub struct Editor<S> {
    store: S,
    control: Arc<Control>,
}

impl<S: Store> Editor<S> {
    /// Creates an editor; accepted changes are in force on this balancer at once.
    pub fn new(store: S, control: Arc<Control>) -> Self {
        Self { store, control }
    }

    /// Reads a contract from the store, or the one in force here when the store does not answer.
    pub async fn read(&self, customer: &Customer) -> Result<Stored> {
        match self.store.get(&key(customer)).await {
            Ok(Some(item)) => self.describe(&item),
            Ok(None) => Err(failure(Kind::NotFound, &format!("{customer} has no contract"))),
            Err(error) => match self.control.contract(customer) {
                Some(contract) => Ok(self.stored(&contract, Source::Balancer)),
                None => Err(unavailable(&error)),
            },
        }
    }

    /// Changes a contract. A change that took effect before is not made again; the answer then
    /// shows the present contract, which may already be a later one.
    pub async fn write(&self, customer: &Customer, put: &Put, change: Change) -> Result<Stored> {
        let base = put.base.ok_or_else(|| {
            failure(Kind::BaseMissing, "If-Match or base must state the revision of the change")
        })?;
        let contract = checked(customer, &put.contract)?;
        let present = self.present(&contract).await?;
        let revision = present.as_ref().map_or(Revision::default(), |item| item.revision);
        if let Some(item) = &present
            && includes(item, change)
        {
            return self.describe(item);
        }
        if revision != base {
            return Err(self.conflict(base, present.as_ref()));
        }
        if let Some(item) = &present
            && !put.force
        {
            refuse_removal(item, &contract)?;
        }
        let history = present.map(|item| History::read(&item.value)).unwrap_or_default();
        let value = stored::encode(&contract, &history.with_change(change));
        let revision = self.settle(customer, &value, base, change).await?;
        let accepted = Arc::new(contract.accept(revision, change));
        self.control.learn(accepted.clone());
        Ok(self.stored(&accepted, Source::Store))
    }

    /// Reads the present contract and refuses one that takes an address of another customer: the
    /// destination address alone decides whose packet it is.
    async fn present(&self, contract: &Contract<Checked>) -> Result<Option<Item>> {
        let own = key(contract.customer());
        let listing = self.store.list(CONTRACTS).await.map_err(|error| unavailable(&error))?;
        let mut present = None;
        for item in listing.items {
            if *item.key == *own {
                present = Some(item);
            } else {
                refuse_shared_address(&item, contract)?;
            }
        }
        Ok(present)
    }

    /// Writes the value. A write with a lost answer is repeated with the same base, which cannot
    /// take effect twice, until reading shows the change id or another change.
    async fn settle(
        &self,
        customer: &Customer,
        value: &str,
        base: Revision,
        change: Change,
    ) -> Result<Revision> {
        let key = key(customer);
        let mut lost = false;
        for attempt in 0..SETTLE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
            match self.store.put(&key, value, base).await {
                Ok(Outcome::Accepted(revision)) => return Ok(revision),
                Ok(Outcome::Conflict(Some(item))) if lost && includes(&item, change) => {
                    return Ok(item.revision);
                }
                Ok(Outcome::Conflict(item)) => return Err(self.conflict(base, item.as_ref())),
                Err(StoreError::Uncertain(_)) => lost = true,
                Err(error) if lost => drop(error),
                Err(error) => return Err(unavailable(&error)),
            }
            if let Ok(Some(item)) = self.store.get(&key).await
                && includes(&item, change)
            {
                return Ok(item.revision);
            }
        }
        let detail = format!(
            "the store's answer was lost and reading back failed; change {change} may be in \
             force, read the contract again before you repeat it"
        );
        Err(failure(Kind::Unknown, &detail))
    }

    fn conflict(&self, base: Revision, present: Option<&Item>) -> Failure {
        let current = present.map_or(Revision::default(), |item| item.revision);
        let detail = format!("the change is based on revision {base}, but {current} is accepted");
        let present = present.and_then(|item| self.describe(item).ok());
        Failure(Problem::new(Kind::Conflict, &detail).with_present(present))
    }

    fn describe(&self, item: &Item) -> Result<Stored> {
        let contract = stored::decode(&item.key, &item.value, item.revision)
            .map_err(|error| failure(Kind::Invalid, &error.to_string()))?;
        Ok(self.stored(&contract, Source::Store))
    }

    fn stored(&self, contract: &Contract<Accepted>, source: Source) -> Stored {
        let in_force = self.control.contract(contract.customer());
        Stored {
            customer: contract.customer().clone(),
            revision: contract.revision(),
            change: contract.change(),
            in_force: in_force.map(|contract| contract.revision()).unwrap_or_default(),
            source,
            contract: contract.text().into(),
        }
    }
}

fn key(customer: &Customer) -> String {
    format!("{CONTRACTS}{customer}")
}

fn includes(item: &Item, change: Change) -> bool {
    History::read(&item.value).contains(change)
}

fn unavailable(error: &StoreError) -> Failure {
    failure(Kind::Unavailable, &format!("nothing was changed: {error}"))
}

fn checked(customer: &Customer, text: &str) -> Result<Contract<Checked>> {
    let invalid =
        |error: yuccacroft_core::errors::Error| failure(Kind::Invalid, &error.to_string());
    let contract = Contract::parse("contract", text).map_err(invalid)?;
    let contract = contract.check("contract").map_err(invalid)?;
    if contract.customer() != customer {
        let detail = format!("contract: [customer] name: expected {customer}, as in the path");
        return Err(failure(Kind::Invalid, &detail));
    }
    Ok(contract)
}

fn refuse_removal(present: &Item, contract: &Contract<Checked>) -> Result<()> {
    // A present value that nobody can read has no service that could be removed.
    let Ok(present) = stored::decode(&present.key, &present.value, present.revision) else {
        return Ok(());
    };
    let removed = present.terms().iter().find(|terms| contract.service(&terms.service).is_none());
    removed.map_or(Ok(()), |terms| {
        let detail = format!("the change removes service {} and is not forced", terms.service);
        Err(failure(Kind::RemovesService, &detail))
    })
}

fn refuse_shared_address(other: &Item, contract: &Contract<Checked>) -> Result<()> {
    let Ok(other) = stored::decode(&other.key, &other.value, other.revision) else {
        return Ok(());
    };
    let taken = |address| other.terms().iter().any(|terms| terms.addresses.contains(address));
    for terms in contract.terms() {
        if let Some(address) = terms.addresses.iter().find(|address| taken(address)) {
            let section = &terms.service;
            let detail = format!(
                "contract: [service {section}] addresses: {address} belongs to another customer"
            );
            return Err(failure(Kind::Invalid, &detail));
        }
    }
    Ok(())
}
