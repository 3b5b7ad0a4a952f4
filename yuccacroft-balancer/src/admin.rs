//! The administration interface of a balancer: HTTP and JSON behind a bearer token.

pub mod editor;

use {
    crate::controllers::Controllers,
    axum::{
        Json, Router,
        extract::{Path, State, rejection::JsonRejection},
        http::{HeaderMap, header},
        routing::{get, post},
    },
    editor::Editor,
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        ids::{ChangeId, Customer, Instance, Revision},
        member::MemberEntry,
        time::Moment,
        units::Count,
    },
    yuccacroft_rpc::{
        admin::{self, Access, ErrorResponse, failure},
        client::Client,
        clock::Clock,
        errors::Error as CallError,
    },
    yuccacroft_store::store::Store,
    yuccacroft_wire::{
        admin::{
            ActiveContract, AgentReport, ContractStatus, Dump, Health, Identity, Member,
            MemberFlows, ProblemKind, ProgramVersion, PutContract, Role,
        },
        message::{OperatorRequest, Order},
    },
};

/// The path of orders on an agent's HTTP port.
pub const OPERATE_PATH: &str = "/v1/operate";

/// Timeout of calls to agents. It exceeds the time that an agent needs to announce its drain when
/// some balancers do not answer.
const AGENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The administration interface of one balancer.
pub struct Admin<S> {
    name: yuccacroft_core::ids::Process,
    domain: yuccacroft_core::ids::Domain,
    clock: Clock,
    controllers: Arc<Controllers>,
    editor: Editor<S>,
    client: Client,
}

type Answer<T> = Result<Json<T>, ErrorResponse>;

impl<S: Store> Admin<S> {
    /// Creates the interface over the controllers and the store.
    pub fn new(
        name: yuccacroft_core::ids::Process,
        domain: yuccacroft_core::ids::Domain,
        clock: Clock,
        controllers: Arc<Controllers>,
        store: S,
    ) -> Self {
        let editor = Editor::new(store, controllers.clone());
        Self { name, domain, clock, controllers, editor, client: Client::new(AGENT_TIMEOUT) }
    }

    /// Returns the HTTP routes, all protected by the token.
    pub fn router(self, access: &Access) -> Router {
        let routes = Router::new()
            .route("/v1/health", get(health::<S>))
            .route("/v1/contracts", get(contracts::<S>))
            .route("/v1/contracts/{customer}", get(contract::<S>).put(put_contract::<S>))
            .route("/v1/members", get(members::<S>))
            .route("/v1/members/{instance}/drain", post(drain::<S>))
            .route("/v1/flows", get(flows::<S>))
            .route(admin::DUMP_PATH, get(dump::<S>))
            .route(admin::DUMP_TEXT_PATH, get(dump_text::<S>))
            .with_state(Arc::new(self));
        admin::protect_routes(routes, access)
    }

    fn active_contracts(&self) -> Box<[ActiveContract]> {
        self.controllers
            .contracts()
            .iter()
            .map(|contract| ActiveContract::from(&**contract))
            .collect()
    }

    fn members(&self) -> Box<[Member]> {
        self.controllers.members().iter().map(Member::from).collect()
    }

    fn dump(&self) -> Dump {
        let process = Identity {
            name: self.name.clone(),
            role: Role::Balancer,
            domain: self.domain.clone(),
            version: ProgramVersion::current().version,
            uptime: self.clock.now().since(Moment::default()),
        };
        Dump { process, contracts: self.active_contracts(), members: self.members(), holds: None }
    }

    async fn operate(
        &self,
        entry: &MemberEntry,
        order: Order,
    ) -> Result<AgentReport, ErrorResponse> {
        let Some(contract) = self.controllers.contract(&entry.customer) else {
            return Err(failure(ProblemKind::NotFound, "the member's customer has no contract"));
        };
        let peer = entry.instance.address().into();
        let message = OperatorRequest { incarnation: entry.incarnation, order };
        let answer = self.client.call(peer, OPERATE_PATH, contract.key(), &message).await;
        answer.map_err(|error| agent_failure(&error))
    }

    async fn flows_of(&self, entry: &MemberEntry) -> MemberFlows {
        let report = self.operate(entry, Order::Report).await.ok();
        MemberFlows { instance: entry.instance, report }
    }
}

fn agent_failure(error: &CallError) -> ErrorResponse {
    let kind = if matches!(error, CallError::Lost(_)) {
        ProblemKind::Unknown
    } else {
        ProblemKind::Unavailable
    };
    failure(kind, &format!("agent: {error}"))
}

async fn health<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Json<Health> {
    let contracts = Count::new(admin.controllers.contracts().len() as u64);
    let members = Count::new(admin.controllers.members().len() as u64);
    Json(Health { ready: contracts > Count::default(), contracts, members })
}

async fn contracts<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Json<Box<[ActiveContract]>> {
    Json(admin.active_contracts())
}

async fn contract<S: Store>(
    State(admin): State<Arc<Admin<S>>>,
    Path(customer): Path<Customer>,
) -> Answer<ContractStatus> {
    admin.editor.read(&customer).await.map(Json)
}

async fn put_contract<S: Store>(
    State(admin): State<Arc<Admin<S>>>,
    Path(customer): Path<Customer>,
    headers: HeaderMap,
    body: Result<Json<PutContract>, JsonRejection>,
) -> Answer<ContractStatus> {
    let Json(mut put) = body.map_err(|error| failure(ProblemKind::Invalid, &error.body_text()))?;
    if let Some(base) = if_match(&headers)? {
        put.base = Some(base);
    }
    let change = put.change.unwrap_or_else(|| ChangeId::new(rand::random()));
    // The write continues when the operator disconnects, so that its outcome is always determined.
    let write = async move { admin.editor.write(&customer, &put, change).await };
    let outcome = tokio::spawn(write).await;
    outcome.map_err(|_| failure(ProblemKind::Unknown, "the change was interrupted"))?.map(Json)
}

async fn members<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Json<Box<[Member]>> {
    Json(admin.members())
}

async fn drain<S: Store>(
    State(admin): State<Arc<Admin<S>>>,
    Path(instance): Path<String>,
) -> Answer<AgentReport> {
    let instance: Instance =
        instance.parse().map_err(|error: yuccacroft_core::errors::Error| {
            failure(ProblemKind::Invalid, &error.to_string())
        })?;
    let entry = admin.controllers.members().into_iter().find(|entry| entry.instance == instance);
    let entry = entry.ok_or_else(|| failure(ProblemKind::NotFound, "no such member"))?;
    admin.operate(&entry, Order::Drain).await.map(Json)
}

async fn flows<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Json<Vec<MemberFlows>> {
    let entries = admin.controllers.members();
    Json(futures::future::join_all(entries.iter().map(|entry| admin.flows_of(entry))).await)
}

async fn dump<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Json<Dump> {
    Json(admin.dump())
}

async fn dump_text<S: Store>(State(admin): State<Arc<Admin<S>>>) -> Result<String, ErrorResponse> {
    let value = serde_json::to_value(admin.dump());
    let value = value.map_err(|error| failure(ProblemKind::Invalid, &error.to_string()))?;
    Ok(admin::format_text(&value))
}

/// Reads the base revision of a change from `If-Match` (RFC 9110, section 13.1.1).
fn if_match(headers: &HeaderMap) -> Result<Option<Revision>, ErrorResponse> {
    let Some(value) = headers.get(header::IF_MATCH) else { return Ok(None) };
    let text = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    let invalid = || failure(ProblemKind::Invalid, "If-Match: expected a revision such as \"12\"");
    text.map(Some).ok_or_else(invalid)
}
