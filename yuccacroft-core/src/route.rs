//! Routes: the services that receive the new flows to an address.

use {
    crate::{limits::ServiceLimits, rendezvous::digest, time::Span},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        fmt::{Display, Formatter},
        net::SocketAddrV4,
        str::FromStr,
    },
};

/// Latency objective of requests with an unknown route.
const DEFAULT_OBJECTIVE: Span = Span::from_millis(200);
/// Timeout of requests with an unknown route.
const DEFAULT_TIMEOUT: Span = Span::from_secs(3);

newtype! {
    /// The version of a configuration, assigned by the operator. A process never replaces a
    /// configuration by one of a lower version.
    ConfigVersion(u64), "a version number"
}

newtype! {
    /// The digest of the name of a backend service, which identifies the service between processes.
    Target(u64), "the digest of a service name"
}

/// The name of a backend service, as the operator configures it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(Box<str>);

newtype! {
    /// The priority of requests. Zero is the highest.
    Priority(u8), "a priority"
}

/// The priority and the latency targets of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficClass {
    /// The priority of the requests.
    pub priority: Priority,
    /// The target latency of a response.
    pub objective: Span,
    /// The time after which the caller gives up on a response.
    pub timeout: Span,
}

impl TrafficClass {
    /// Returns the targets that are left to a request whose caller has waited for this time already.
    pub fn after(self, waited: Span) -> Self {
        let (objective, timeout) = (self.objective - waited, self.timeout - waited);
        Self { objective, timeout, ..self }
    }
}

/// The services that receive the new flows to an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The services with their relative weights. The sum of the weights is greater than zero.
    pub shares: Box<[RouteShare]>,
    /// The class of the requests in these flows.
    pub class: TrafficClass,
}

/// A service of a route with its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// The service.
    pub target: Target,
    /// The relative share of new flows that the service receives.
    pub weight: u32,
}

/// The routes of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// Time after which the state of an idle flow may be dropped; `None` if not configured.
    pub idle_timeout: Option<Span>,
    routes: HashMap<SocketAddrV4, Route>,
    limits: HashMap<Target, ServiceLimits>,
}

impl ServiceName {
    /// Creates the name without validation.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the digest of the name.
    pub fn target(&self) -> Target {
        Target::new(digest(&self.0))
    }
}

impl Display for ServiceName {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ServiceName {
    type Err = crate::errors::Error;

    fn from_str(text: &str) -> crate::errors::Result<Self> {
        if text.is_empty() {
            return Err(crate::errors::Error::expected("the name of a service", text));
        }
        Ok(Self::new(text))
    }
}

impl Default for TrafficClass {
    /// Returns the class of requests with an unknown route, which has the lowest priority.
    fn default() -> Self {
        Self {
            priority: Priority::new(u8::MAX),
            objective: DEFAULT_OBJECTIVE,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl Route {
    /// Returns the service that receives the flow with the digest `flow`, chosen in proportion to
    /// the weights. Returns `None` if all weights are zero.
    pub fn target(&self, flow: u64) -> Option<Target> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut offset = flow.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(share.target);
            }
            offset -= weight;
        }
        None
    }
}

impl RoutingTable {
    /// Creates a table without an idle timeout.
    pub fn new(version: ConfigVersion, routes: HashMap<SocketAddrV4, Route>) -> Self {
        Self { version, idle_timeout: None, routes, limits: HashMap::new() }
    }

    /// Sets the time after which the state of an idle flow may be dropped.
    pub fn with_idle_timeout(self, idle_timeout: Option<Span>) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Sets the limits of services.
    pub fn with_limits(self, limits: HashMap<Target, ServiceLimits>) -> Self {
        Self { limits, ..self }
    }

    /// Returns the limits of a service, which are none for one that the configuration does not name.
    pub fn limits(&self, target: Target) -> ServiceLimits {
        self.limits.get(&target).copied().unwrap_or_default()
    }

    /// Returns the route of an address, or `None` if the configuration has none.
    pub fn route(&self, address: &SocketAddrV4) -> Option<&Route> {
        self.routes.get(address)
    }

    /// Returns copies of all routes with their addresses.
    pub fn entries(&self) -> impl Iterator<Item = (SocketAddrV4, Route)> + '_ {
        self.routes.iter().map(|(address, route)| (*address, route.clone()))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns true if the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
