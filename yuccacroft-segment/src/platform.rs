//! The interface between the segment front end and the adapter of a platform.

use {
    crate::host::Host,
    axum::Router,
    std::{fmt::Display, net::SocketAddr, sync::Arc},
    yuccacroft_core::{
        ids::{Domain, Incarnation},
        route::RoutingTable,
        segment::Format,
        upstream::{ReportOutcome, UpstreamId, UpstreamReport},
    },
    yuccacroft_store::store::Store,
};

/// The environment that the processes run in: its encodings, its store and its hosts.
///
/// Implementations only translate and make no routing or admission decisions.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The error of a configuration that cannot be decoded.
    type Error: Display;
    /// The encoding of segments.
    type Format: Format;
    /// The client of the store.
    type Store: Store + Clone;
    /// The hosts of the platform.
    type Host: Host;

    /// Returns the host that the process runs on.
    fn host(&self) -> Self::Host;

    /// Returns the encoding of segments.
    fn format(&self) -> Self::Format;

    /// Creates a client of the store.
    fn store_client(&self, address: SocketAddr) -> Self::Store;

    /// Returns the store key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the common prefix of the store keys that operators write, that of the configuration
    /// among them.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the failure domain whose evacuation operators request with this store key, or `None`
    /// if the key is for something else.
    fn evacuated_domain(&self, key: &str) -> Option<Domain>;

    /// Decodes a configuration. When it fails, the configuration in force stays.
    fn parse_config(&self, text: &str) -> Result<ParsedConfig, Self::Error>;

    /// Builds the HTTP endpoint that tells routers whether a process accepts packets.
    fn readiness_routes(&self, readiness: Arc<dyn Readiness>) -> Router;

    /// Builds the HTTP endpoints for upstreams' reports. A success response confirms that the
    /// handler has processed the call.
    fn report_routes(&self, handler: Arc<dyn ReportHandler>) -> Router;
}

/// The socket type of a platform.
pub type Socket<P> = <<P as Platform>::Host as Host>::Socket;

/// A decoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedConfig {
    /// The routes that were decoded.
    pub routes: RoutingTable,
    /// The errors of the routes that were skipped.
    pub route_errors: Box<[Box<str>]>,
    /// The error of the limits of services, if they cannot be decoded. Then the table has none.
    pub limits_error: Option<Box<str>>,
}

/// The readiness of a process for packets from routers.
pub trait Readiness: Send + Sync {
    /// Returns true while the process can forward packets.
    fn is_ready(&self) -> bool;
}

/// Receives the reports of upstreams. A call is processed when the method returns.
pub trait ReportHandler: Send + Sync {
    /// Handles a report. Its outcome tells whether it may be confirmed.
    fn handle_report(&self, report: UpstreamReport) -> ReportOutcome;

    /// Handles the departure of an upstream that exits now. `incarnation` is that of the upstream,
    /// if the call contained it.
    fn handle_departure(&self, id: &UpstreamId, incarnation: Option<Incarnation>);

    /// Handles a call that could not be decoded.
    fn handle_unreadable(&self, cause: &str);
}
