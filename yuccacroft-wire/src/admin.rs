//! Messages of the administration interface, encoded as JSON.
//!
//! Numbers that identify something are text, since 64 bits exceed what JSON readers keep.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DisplayFromStr, serde_as},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        ids::{ChangeId, Customer, Domain, Incarnation, Instance, Process, Revision, Service},
        member::{Entry, Phase},
        time::Span,
        units::{Connections, Count, Slots, Weight},
    },
};

/// A contract with its text.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The customer.
    pub customer: Customer,
    /// The revision under which the store accepted it; a change is based on it.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: Revision,
    /// The change that brought it.
    pub change: ChangeId,
    /// The revision that governs traffic on the balancer that answers.
    #[serde_as(as = "DisplayFromStr")]
    pub in_force: Revision,
    /// Where the text was read.
    pub source: Source,
    /// The INI text.
    pub contract: Box<str>,
}

/// Where a contract was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The store, so that no accepted change is missing.
    Store,
    /// The balancer, because the store did not answer; a newer change may exist.
    Balancer,
}

/// A change of a contract.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutContract {
    /// The revision that the change is based on; zero for a contract that does not exist yet. The
    /// header `If-Match` may state it instead.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default)]
    pub base: Option<Revision>,
    /// The id that the operator gave the change, so that repeating a call whose answer was lost
    /// cannot make the change twice. The balancer draws one when it is absent.
    #[serde(default)]
    pub change: Option<ChangeId>,
    /// Whether a service may be removed.
    #[serde(default)]
    pub force: bool,
    /// The INI text.
    pub contract: Box<str>,
}

/// One contract in force on the balancer that answers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveContract {
    /// The customer.
    pub customer: Customer,
    /// The revision.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: Revision,
    /// The change that brought it.
    pub change: ChangeId,
    /// Requests that may run over all services.
    pub capacity: Slots,
    /// The services.
    pub services: Box<[Service]>,
}

/// One member as the balancer that answers sees it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The address of the agent.
    pub instance: Instance,
    /// The life of the agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: Domain,
    /// The share of new flows.
    pub weight: Weight,
    /// What it is ready for.
    pub phase: Phase,
}

/// What an agent holds, by its own count.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The life of the agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// What it is ready for.
    pub phase: Phase,
    /// Open connections.
    pub connections: Connections,
    /// Requests that were begun and not ended, open boards and feeds included.
    pub requests: Count,
    /// Requests that occupy a slot of the upstream.
    pub running: Slots,
    /// Requests that may occupy a slot now, after warm-up and grant of capacity.
    pub allowed: Slots,
}

/// The flows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFlows {
    /// The address of the agent.
    pub instance: Instance,
    /// What the agent told; nothing when it did not answer in time.
    pub report: Option<Report>,
}

/// Whether a balancer can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// True when at least one contract is in force.
    pub ready: bool,
    /// Contracts in force.
    pub contracts: Count,
    /// Members known.
    pub members: Count,
}

/// The version of the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The program.
    pub program: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

/// Why a call of the administration interface did not do what it was asked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A fixed word for the kind.
    pub error: Kind,
    /// One sentence for a person, or one line per fault.
    pub detail: Box<str>,
    /// The contract that another change brought.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<Stored>,
}

/// The kinds of [`Problem`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The token is missing or wrong.
    Unauthorized,
    /// The call or the contract has faults; nothing was changed.
    Invalid,
    /// A change must state the revision that it is based on.
    BaseMissing,
    /// Another change came first; nothing was changed.
    Conflict,
    /// The change removes a service and was not forced; nothing was changed.
    RemovesService,
    /// There is no such contract or member.
    NotFound,
    /// The store or the agent cannot be reached; nothing was changed.
    Unavailable,
    /// The answer was lost and reading back failed; the change may be in force.
    Unknown,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// The process.
    pub process: Identity,
    /// The contracts in force.
    pub contracts: Box<[ActiveContract]>,
    /// The members, for an agent itself alone.
    pub members: Box<[Member]>,
    /// What an agent holds; absent for a balancer, which keeps no flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<Report>,
}

/// Which process it is.
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
    /// It forwards packets.
    Balancer,
    /// It runs beside an upstream.
    Agent,
}

impl Version {
    /// Returns the version of this program.
    pub fn current() -> Self {
        Self { program: "yuccacroft".into(), version: env!("CARGO_PKG_VERSION").into() }
    }
}

impl Problem {
    /// Describes a problem.
    pub fn new(error: Kind, detail: &str) -> Self {
        Self { error, detail: detail.into(), present: None }
    }

    /// Adds the contract that is in the way.
    pub fn with_present(self, present: Option<Stored>) -> Self {
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

impl From<&Entry> for Member {
    fn from(entry: &Entry) -> Self {
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
