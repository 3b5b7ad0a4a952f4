//! The settings of an agent process.

use {
    crate::endpoint::Certificate,
    std::net::SocketAddr,
    yuccacroft_core::{
        ids::{Customer, Domain, Instance, Process as Name, Service as ServiceName},
        key::Secret,
        units::Weight,
    },
};

/// The checked settings of an agent.
#[derive(Debug)]
pub struct Settings {
    /// The name in logs and state dumps.
    pub name: Name,
    /// The failure domain.
    pub domain: Domain,
    /// The customer.
    pub customer: Customer,
    /// The service that the upstream runs.
    pub service: ServiceName,
    /// The customer's key.
    pub key: Secret,
    /// Where capsules arrive; also the identity of the agent.
    pub capsules: Instance,
    /// The control addresses of some balancers.
    pub balancers: Box<[SocketAddr]>,
    /// The address of the upstream.
    pub upstream: SocketAddr,
    /// The share of new flows relative to the other upstreams of the service.
    pub weight: Weight,
    /// The certificate of the service.
    pub certificate: Certificate,
}
