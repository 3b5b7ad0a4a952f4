//! Messages of the administration interface, encoded as JSON.
//!
//! Identifying numbers are encoded as text, since JSON readers may lose the precision of 64-bit
//! integers.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DisplayFromStr, serde_as},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{ChangeId, Customer, Domain, Incarnation, Instance, Process, Revision, Service},
        member::{MemberEntry, MemberPhase},
        time::Span,
        units::{Connections, Count, Slots, Weight},
    },
};

/// A contract with its text and its state on the answering balancer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractStatus {
    /// The customer.
    pub customer: Customer,
    /// The revision that the store assigned to it; the next change names it as its base.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: Revision,
    /// The id of the change that created this revision.
    pub change: ChangeId,
    /// The revision in force on the answering balancer.
    #[serde_as(as = "DisplayFromStr")]
    pub in_force: Revision,
    /// Where the contract was read.
    pub source: Source,
    /// The INI text.
    pub contract: Box<str>,
}

/// The source of a contract in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The store; no accepted change is missing.
    Store,
    /// The answering balancer, because the store did not answer; a newer change may exist.
    Balancer,
}

/// A request to create or change a contract.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutContract {
    /// The revision that the change is based on; zero for a new contract. The header `If-Match`
    /// takes precedence over it.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default)]
    pub base: Option<Revision>,
    /// The id of the change. It makes repeating a request safe whose answer was lost. The balancer
    /// draws a random one when it is absent.
    #[serde(default)]
    pub change: Option<ChangeId>,
    /// Whether a service may be removed.
    #[serde(default)]
    pub force: bool,
    /// The INI text.
    pub contract: Box<str>,
}

/// A contract in force on the answering process.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveContract {
    /// The customer.
    pub customer: Customer,
    /// The revision.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: Revision,
    /// The id of the change that created this revision.
    pub change: ChangeId,
    /// The number of requests that may run at a time over all services.
    pub capacity: Slots,
    /// The services.
    pub services: Box<[Service]>,
}

/// A member as the answering process knows it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The address of the agent.
    pub instance: Instance,
    /// The incarnation of the agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: Domain,
    /// The weight for the placement of new flows.
    pub weight: Weight,
    /// The phase of the agent.
    pub phase: MemberPhase,
}

/// The flows and requests of an agent, as it counts them.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The incarnation of the agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// The phase of the agent.
    pub phase: MemberPhase,
    /// Open connections.
    pub connections: Connections,
    /// Requests that have begun and not ended, answers that stay open without work included.
    pub requests: Count,
    /// Requests that occupy a slot of the upstream.
    pub running: Slots,
    /// Requests that may occupy a slot now, limited by warm-up and by the granted capacity.
    pub allowed: Slots,
}

/// The flows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFlows {
    /// The address of the agent.
    pub instance: Instance,
    /// The report of the agent; absent when the agent did not answer in time.
    pub report: Option<AgentReport>,
}

/// The health of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether at least one contract is in force.
    pub ready: bool,
    /// The number of contracts in force.
    pub contracts: Count,
    /// The number of known members.
    pub members: Count,
}

/// The version of the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramVersion {
    /// The name of the program.
    pub program: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

/// The body of an error response of the administration interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind of problem, a fixed word.
    pub error: ProblemKind,
    /// A sentence for the operator, or one line per fault.
    pub detail: Box<str>,
    /// The current contract, when another change came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<ContractStatus>,
}

/// The kinds of [`Problem`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The bearer token is missing or wrong.
    Unauthorized,
    /// The request or the contract is invalid; nothing was changed.
    Invalid,
    /// The change does not name the revision that it is based on.
    BaseMissing,
    /// Another change was accepted first; nothing was changed.
    Conflict,
    /// The change removes a service and is not forced; nothing was changed.
    RemovesService,
    /// The contract, member or path does not exist.
    NotFound,
    /// The store or the agent cannot be reached; nothing was changed.
    Unavailable,
    /// The answer was lost and reading the contract back failed; the change may be in force.
    Unknown,
}

/// The state dump of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// The process.
    pub process: Identity,
    /// The contracts in force.
    pub contracts: Box<[ActiveContract]>,
    /// The known members; an agent lists only itself.
    pub members: Box<[Member]>,
    /// The report of an agent; absent for a balancer, which keeps no state per flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<AgentReport>,
}

/// The identity of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name in the settings.
    pub name: Process,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: Domain,
    /// The version of the program.
    pub version: Box<str>,
    /// The time since its start.
    pub uptime: Span,
}

/// The roles of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Forwards packets between callers and agents.
    Balancer,
    /// Runs next to an upstream and terminates its flows.
    Agent,
}

impl ProgramVersion {
    /// Returns the version of this program.
    pub fn current() -> Self {
        Self { program: "yuccacroft".into(), version: env!("CARGO_PKG_VERSION").into() }
    }
}

impl Problem {
    /// Creates a problem without a contract.
    pub fn new(error: ProblemKind, detail: &str) -> Self {
        Self { error, detail: detail.into(), present: None }
    }

    /// Sets the current contract, which conflicts with the change.
    pub fn with_present(self, present: Option<ContractStatus>) -> Self {
        Self { present, ..self }
    }
}

impl From<&Contract<Accepted>> for ActiveContract {
    fn from(contract: &Contract<Accepted>) -> Self {
        Self {
            customer: contract.customer().clone(),
            revision: contract.revision(),
            change: contract.change(),
            capacity: contract.capacity(),
            services: contract.terms().iter().map(|terms| terms.service.clone()).collect(),
        }
    }
}

impl From<&MemberEntry> for Member {
    fn from(entry: &MemberEntry) -> Self {
        Self {
            customer: entry.customer.clone(),
            service: entry.service.clone(),
            instance: entry.instance,
            incarnation: entry.incarnation,
            domain: entry.domain.clone(),
            weight: entry.weight,
            phase: entry.phase,
        }
    }
}
