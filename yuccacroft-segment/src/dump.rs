//! State dumps: what a process believes at this moment, as JSON.

use {
    axum::{Json, Router, routing::get},
    serde::Serialize,
    std::collections::BTreeMap,
    yuccacroft_core::{
        ids::{Incarnation, Instance},
        pool::{Entry, Load},
        route::ConfigVersion,
        time::Span,
        units::Slots,
    },
    yuccacroft_rpc::admin::DUMP_PATH,
};

/// What a balancer believes.
#[derive(Debug, Serialize)]
pub struct Balancer {
    /// Whether it tells routers that it takes segments.
    pub ready: bool,
    /// Whether it takes itself to be cut off.
    pub isolated: bool,
    /// The version of the configuration in force; zero when there is none.
    pub version: ConfigVersion,
    /// The number of its routes.
    pub routes: usize,
    /// The agents.
    pub members: Vec<Member>,
    /// The flows that it remembers, by the agent that owns them or was offered them.
    pub flows: BTreeMap<Instance, usize>,
    /// The flows that it knows to be lost.
    pub lost_flows: usize,
    /// The searches under way.
    pub searches: usize,
    /// The flows whose first segments wait for configuration or agents.
    pub early: usize,
}

/// An agent as a balancer knows it.
#[derive(Debug, Serialize)]
pub struct Member {
    /// What it published last.
    pub entry: Entry,
    /// Whether the listing has it now.
    pub listed: bool,
    /// How well it can be reached.
    pub reach: Box<str>,
    /// Its load, if it ever told it.
    pub load: Option<Load>,
    /// The age of the load.
    pub load_age: Option<Span>,
}

/// What an agent believes.
#[derive(Debug, Serialize)]
pub struct Agent {
    /// Its life.
    pub incarnation: Incarnation,
    /// The time since its start.
    pub uptime: Span,
    /// Whether it ends.
    pub stopping: bool,
    /// Whether it takes new flows.
    pub accepting: bool,
    /// The highest version of the configuration that a balancer told it.
    pub version: ConfigVersion,
    /// The number of its entry in the store; zero before the first write.
    pub edition: u32,
    /// The time since the entry was written.
    pub entry_age: Span,
    /// Its upstream, once it has reported.
    pub upstream: Option<Upstream>,
    /// Its load as it tells balancers.
    pub load: Load,
    /// The requests that wait for the upstream.
    pub waiting: usize,
    /// The balancers that sent something lately.
    pub balancers: usize,
}

/// The upstream of an agent.
#[derive(Debug, Serialize)]
pub struct Upstream {
    /// Its id.
    pub id: Box<str>,
    /// Its start.
    pub born: Incarnation,
    /// The number of its last report.
    pub report: u64,
    /// What it said of its phase.
    pub phase: Box<str>,
    /// The requests that it runs at the same time.
    pub slots: Slots,
    /// What its silence means.
    pub silence: Box<str>,
}

/// Returns routes that show a dump to everybody who reaches their address.
pub fn routes<T: Serialize>(dump: impl Fn() -> T + Clone + Send + Sync + 'static) -> Router {
    Router::new().route(DUMP_PATH, get(async move || Json(dump())))
}
