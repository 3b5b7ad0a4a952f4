//! Fakes of the components around the load balancer, for tests and the demo.
//!
//! They keep their state in memory and implement only the parts of each protocol that the tests
//! need.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod certificate;
pub mod fabric;
pub mod fleet;
pub mod loopback;
pub mod migrating_stream;
pub mod request_simulation;
pub mod store;
pub mod tcp_proxy;
pub mod udp_relay;
pub mod upstream;
