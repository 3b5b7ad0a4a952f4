//! State dumps: the present state of a process as JSON.

use {
    axum::{Json, Router, routing::get},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddrV4},
    yuccacroft_core::{
        ids::{Domain, Incarnation, Instance},
        pool::{AgentLoad, snapshot::MemberState},
        requirements::Requirements,
        route::{ConfigVersion, Route, Target},
        spill_over::Plan,
        time::Span,
        units::{Connections, Slots},
    },
    yuccacroft_rpc::admin::DUMP_PATH,
};

/// The state of a balancer.
#[derive(Debug, Serialize)]
pub struct Balancer {
    /// Whether the balancer reports to routers that it accepts segments.
    pub ready: bool,
    /// Whether the balancer considers itself isolated from the network.
    pub isolated: bool,
    /// The version of the configuration in force; zero without a configuration.
    pub version: ConfigVersion,
    /// The evacuated failure domains, with the time since this process learned of each.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub evacuated: BTreeMap<Domain, Span>,
    /// The number of routes in the configuration.
    pub routes: usize,
    /// What the placement of a new flow rests on.
    #[serde(flatten)]
    pub placement: Placement,
    /// The number of known flows of each agent that owns them or was offered them.
    pub flows: BTreeMap<Instance, usize>,
    /// The number of flows that are known to be lost.
    pub lost_flows: usize,
    /// The number of running owner searches.
    pub searches: usize,
    /// The number of flows whose segments wait for a configuration or an agent.
    pub early: usize,
}

/// What the placement of a new flow at a balancer rests on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Placement {
    /// The failure domain of the balancer.
    pub domain: Domain,
    /// The requirements of the deployment.
    pub requirements: Requirements,
    /// The routes in force by their addresses.
    pub route_table: BTreeMap<SocketAddrV4, Route>,
    /// The share of the new flows of each service that leaves the failure domain.
    pub spill_over: BTreeMap<Target, Plan>,
    /// The known agents.
    pub members: Vec<Member>,
}

/// The state of an agent as a balancer knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// What the placement rests on.
    #[serde(flatten)]
    pub state: MemberState,
    /// Whether the store lists the agent now.
    pub listed: bool,
    /// Whether the agent answers, as the name of a `Reachability` variant.
    pub reach: Box<str>,
}

/// The state of an agent.
#[derive(Debug, Serialize)]
pub struct Agent {
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The time since the start of the agent.
    pub uptime: Span,
    /// Whether the agent is shutting down.
    pub stopping: bool,
    /// Whether the agent accepts new flows.
    pub accepting: bool,
    /// The time since the agent learned that its failure domain is evacuated; `None` if it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<Span>,
    /// The number of further flows that the upstream takes now; `None` without a limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub room: Option<Connections>,
    /// The highest configuration version that a balancer has sent.
    pub version: ConfigVersion,
    /// The version of the agent's entry in the store; zero before the first write.
    #[serde(rename = "edition")]
    pub entry_version: u32,
    /// The time since the entry was written.
    pub entry_age: Span,
    /// The upstream; `None` before its first report.
    pub upstream: Option<Upstream>,
    /// The load that the agent reports to balancers.
    pub load: AgentLoad,
    /// The number of requests that wait for the upstream.
    pub waiting: usize,
    /// The number of balancers that sent a message recently.
    pub balancers: usize,
}

/// The state of an agent's upstream.
#[derive(Debug, Serialize)]
pub struct Upstream {
    /// The id of the upstream.
    pub id: Box<str>,
    /// The incarnation of the upstream, which is the time of its start.
    pub born: Incarnation,
    /// The number of its last report.
    pub report: u64,
    /// The phase that the upstream reported, as the name of an `UpstreamPhase` variant.
    pub phase: Box<str>,
    /// The number of requests that the upstream runs concurrently.
    pub slots: Slots,
    /// The inferred health of the upstream, as the name of a `Silence` variant.
    pub silence: Box<str>,
}

/// Returns routes that serve a dump without authentication.
pub fn routes<T: Serialize>(dump: impl Fn() -> T + Clone + Send + Sync + 'static) -> Router {
    Router::new().route(DUMP_PATH, get(async move || Json(dump())))
}
