//! Read-only administration interface of an agent.

use {
    crate::operate::OperatorApi,
    axum::{Json, Router, extract::State, routing::get},
    std::sync::Arc,
    tokio::sync::watch,
    yuccacroft_core::{
        ids::{Domain, Process},
        time::Moment,
    },
    yuccacroft_rpc::{
        admin::{self, Access, ErrorResponse, failure},
        clock::Clock,
    },
    yuccacroft_wire::admin::{
        ActiveContract, AgentReport, Dump, Identity, Member, ProblemKind, ProgramVersion, Role,
    },
};

/// The administration interface of one agent.
pub struct Admin {
    name: Process,
    domain: Domain,
    clock: Clock,
    operator: Arc<OperatorApi>,
    contract: watch::Receiver<ActiveContract>,
}

impl Admin {
    /// Creates the interface over the state of one agent.
    pub fn new(
        name: Process,
        domain: Domain,
        clock: Clock,
        operator: Arc<OperatorApi>,
        contract: watch::Receiver<ActiveContract>,
    ) -> Self {
        Self { name, domain, clock, operator, contract }
    }

    /// Returns the routes; each of them requires the bearer token.
    pub fn router(self, access: &Access) -> Router {
        let routes = Router::new()
            .route("/v1/health", get(health))
            .route(admin::DUMP_PATH, get(dump))
            .route(admin::DUMP_TEXT_PATH, get(dump_text))
            .with_state(Arc::new(self));
        admin::protect_routes(routes, access)
    }

    fn dump(&self) -> Dump {
        let process = Identity {
            name: self.name.clone(),
            role: Role::Agent,
            domain: self.domain.clone(),
            version: ProgramVersion::current().version,
            uptime: self.clock.now().since(Moment::default()),
        };
        let contracts = Box::new([self.contract.borrow().clone()]);
        let members = Box::new([Member::from(&self.operator.entry())]);
        Dump { process, contracts, members, holds: Some(self.operator.report()) }
    }
}

async fn health(State(admin): State<Arc<Admin>>) -> Json<AgentReport> {
    Json(admin.operator.report())
}

async fn dump(State(admin): State<Arc<Admin>>) -> Json<Dump> {
    Json(admin.dump())
}

async fn dump_text(State(admin): State<Arc<Admin>>) -> Result<String, ErrorResponse> {
    let value = serde_json::to_value(admin.dump());
    let value = value.map_err(|error| failure(ProblemKind::Invalid, &error.to_string()))?;
    Ok(admin::format_text(&value))
}
