//! Settings of an agent process.

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
    /// The address at which capsules arrive. It identifies the agent.
    pub capsules: Instance,
    /// The control addresses of balancers to which the agent announces itself first.
    pub balancers: Box<[SocketAddr]>,
    /// The address of the upstream.
    pub upstream: SocketAddr,
    /// The weight in the distribution of new flows over the upstreams of the service.
    pub weight: Weight,
    /// The certificate of the service.
    pub certificate: Certificate,
}
