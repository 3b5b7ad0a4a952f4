//! The contract between this front end and the adapter of a platform.

use {
    crate::host::Host,
    axum::Router,
    std::{fmt::Display, net::SocketAddr, sync::Arc},
    yuccacroft_core::{
        ids::Incarnation,
        route::Table,
        segment::Format,
        upstream::{Id, Report},
    },
    yuccacroft_store::store::Store,
};

/// A platform. An implementer translates and decides nothing.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Why something of the platform could not be read.
    type Error: Display;
    /// The encoding of segments.
    type Format: Format;
    /// The client of the store.
    type Store: Store + Clone;
    /// The machines of the platform.
    type Host: Host;

    /// Returns the machine on which the process runs.
    fn host(&self) -> Self::Host;

    /// Returns the encoding of segments.
    fn format(&self) -> Self::Format;

    /// Creates a client of the store.
    fn store_client(&self, address: SocketAddr) -> Self::Store;

    /// Returns the store's key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Reads a configuration. On an error the one in force stays.
    fn parse_config(&self, text: &str) -> Result<ParsedConfig, Self::Error>;

    /// Builds the interface by which routers learn whether a process takes packets.
    fn readiness_routes(&self, readiness: Arc<dyn Readiness>) -> Router;

    /// Builds the interface to which upstreams report. An answer confirms that the registrar has
    /// acted on the call.
    fn report_routes(&self, handler: Arc<dyn ReportHandler>) -> Router;
}

/// The sockets of a process on a platform.
pub type Socket<P> = <<P as Platform>::Host as Host>::Socket;

/// A configuration as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedConfig {
    /// What can be put in force.
    pub routes: Table,
    /// Why each unreadable route was left out.
    pub route_errors: Box<[Box<str>]>,
}

/// A process that routers ask whether it takes packets.
pub trait Readiness: Send + Sync {
    /// Returns true while the process can serve what it is sent.
    fn is_ready(&self) -> bool;
}

/// A process that upstreams report to. It has acted on a call when the call returns.
pub trait ReportHandler: Send + Sync {
    /// Takes a report.
    fn handle_report(&self, report: Report);

    /// Notes that an upstream ends now; `born` tells which life of it, if known.
    fn handle_departure(&self, id: &Id, born: Option<Incarnation>);

    /// Counts a call that could not be read.
    fn handle_unreadable(&self, cause: &str);
}
