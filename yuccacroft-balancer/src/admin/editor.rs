//! Reads and changes of contracts. A change is a compare-and-swap in the store whose outcome is
//! determined by reading back, or reported as unknown.

use {
    crate::controllers::{CONTRACT_KEY_PREFIX, Controllers, Submission},
    std::sync::Arc,
    yuccacroft_core::{
        contract::{Accepted, Checked, Contract, change::StoredContract, writer::WriteOutcome},
        ids::{ChangeId, Customer, Revision},
    },
    yuccacroft_rpc::admin::{ErrorResponse, failure},
    yuccacroft_store::{
        errors::Error as StoreError,
        store::{KeyValue, Store},
    },
    yuccacroft_wire::admin::{ContractStatus, Problem, ProblemKind, PutContract, Source},
};

type Result<T> = std::result::Result<T, ErrorResponse>;

/// Reads and writes contracts in the store on behalf of operators.
pub struct Editor<S> {
    store: S,
    controllers: Arc<Controllers>,
}

impl<S: Store> Editor<S> {
    /// Creates an editor. Accepted changes are in force on this balancer at once.
    pub fn new(store: S, controllers: Arc<Controllers>) -> Self {
        Self { store, controllers }
    }

    /// Reads a contract from the store, or returns the one in force on this balancer when the store
    /// does not answer.
    pub async fn read(&self, customer: &Customer) -> Result<ContractStatus> {
        match self.store.get(&contract_key(customer)).await {
            Ok(Some(item)) => self.parse_item(&item),
            Ok(None) => Err(failure(ProblemKind::NotFound, &format!("{customer} has no contract"))),
            Err(error) => match self.controllers.contract(customer) {
                Some(contract) => Ok(self.stored_contract(&contract, Source::Balancer)),
                None => Err(unavailable(&error)),
            },
        }
    }

    /// Changes a contract. A change that has already taken effect is not made again; the answer
    /// then contains the current contract, which may be a later one.
    pub async fn write(
        &self,
        customer: &Customer,
        put: &PutContract,
        change: ChangeId,
    ) -> Result<ContractStatus> {
        let base = put.base.ok_or_else(|| {
            failure(
                ProblemKind::BaseMissing,
                "If-Match or base must state the revision of the change",
            )
        })?;
        let contract = parse_checked(customer, &put.contract)?;
        self.check_addresses(&contract).await?;
        let submission =
            Submission { contract: contract.clone(), base: Some(base), change, force: put.force };
        match self.controllers.submit(&self.store, submission).await {
            WriteOutcome::Accepted { revision, latest: true } => {
                Ok(self.stored_contract(&contract.accept(revision, change), Source::Store))
            }
            WriteOutcome::Accepted { .. } => self.read(customer).await,
            outcome => Err(self.write_failure(outcome, base)),
        }
    }

    fn write_failure(&self, outcome: WriteOutcome, base: Revision) -> ErrorResponse {
        match outcome {
            WriteOutcome::Conflict(present) => self.conflict_failure(base, present.as_deref()),
            WriteOutcome::RemovesServices(services) => {
                let names: Vec<_> = services.iter().map(ToString::to_string).collect();
                let names = names.join(", ");
                let detail = format!("the change removes service {names} and is not forced");
                failure(ProblemKind::RemovesService, &detail)
            }
            WriteOutcome::Unknown(change) => {
                let detail = format!(
                    "the store's answer was lost and reading back failed; change {change} may be \
                     in force, read the contract again before you repeat it"
                );
                failure(ProblemKind::Unknown, &detail)
            }
            WriteOutcome::Accepted { .. } | WriteOutcome::Unavailable => {
                failure(ProblemKind::Unavailable, "nothing was changed: the store does not answer")
            }
        }
    }

    /// Rejects a contract with an address of another customer: the destination address alone
    /// determines the customer of a packet.
    async fn check_addresses(&self, contract: &Contract<Checked>) -> Result<()> {
        let own_key = contract_key(contract.customer());
        let listing =
            self.store.list(CONTRACT_KEY_PREFIX).await.map_err(|error| unavailable(&error))?;
        let mut others = listing.items.iter().filter(|item| *item.key != *own_key);
        others.try_for_each(|item| reject_shared_address(item, contract))
    }

    fn conflict_failure(&self, base: Revision, present: Option<&StoredContract>) -> ErrorResponse {
        let current = present.map_or(Revision::default(), |value| value.contract.revision());
        let detail = format!("the change is based on revision {base}, but {current} is accepted");
        let present = present.map(|value| self.stored_contract(&value.contract, Source::Store));
        ErrorResponse(Problem::new(ProblemKind::Conflict, &detail).with_present(present))
    }

    fn parse_item(&self, item: &KeyValue) -> Result<ContractStatus> {
        let value = StoredContract::parse(&item.key, &item.value, item.revision)
            .map_err(|error| failure(ProblemKind::Invalid, &error.to_string()))?;
        Ok(self.stored_contract(&value.contract, Source::Store))
    }

    fn stored_contract(&self, contract: &Contract<Accepted>, source: Source) -> ContractStatus {
        let in_force = self.controllers.contract(contract.customer());
        ContractStatus {
            customer: contract.customer().clone(),
            revision: contract.revision(),
            change: contract.change(),
            in_force: in_force.map(|contract| contract.revision()).unwrap_or_default(),
            source,
            contract: contract.text().into(),
        }
    }
}

fn contract_key(customer: &Customer) -> String {
    format!("{CONTRACT_KEY_PREFIX}{customer}")
}

fn unavailable(error: &StoreError) -> ErrorResponse {
    failure(ProblemKind::Unavailable, &format!("nothing was changed: {error}"))
}

fn parse_checked(customer: &Customer, text: &str) -> Result<Contract<Checked>> {
    let invalid =
        |error: yuccacroft_core::errors::Error| failure(ProblemKind::Invalid, &error.to_string());
    let contract = Contract::parse("contract", text).map_err(invalid)?;
    let contract = contract.check("contract").map_err(invalid)?;
    if contract.customer() != customer {
        let detail = format!("contract: [customer] name: expected {customer}, as in the path");
        return Err(failure(ProblemKind::Invalid, &detail));
    }
    Ok(contract)
}

fn reject_shared_address(other: &KeyValue, contract: &Contract<Checked>) -> Result<()> {
    let Ok(other) = StoredContract::parse(&other.key, &other.value, other.revision) else {
        return Ok(());
    };
    let is_taken =
        |address| other.contract.terms().iter().any(|terms| terms.addresses.contains(address));
    for terms in contract.terms() {
        if let Some(address) = terms.addresses.iter().find(|address| is_taken(address)) {
            let section = &terms.service;
            let detail = format!(
                "contract: [service {section}] addresses: {address} belongs to another customer"
            );
            return Err(failure(ProblemKind::Invalid, &detail));
        }
    }
    Ok(())
}
