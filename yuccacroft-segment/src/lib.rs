//! The segment front end: a balancer and an agent for byte-stream flows whose segments are sent in
//! datagrams.
//!
//! Routing and admission decisions are in `yuccacroft-core`. The [`platform::Platform`] trait hides
//! the encoding of segments, configurations and reports. See `docs/platform.md`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod agent;
pub mod balancer;
pub mod clock;
pub mod dump;
pub mod errors;
pub mod explain;
pub mod flow_log;
pub mod hedge;
pub mod host;
pub mod platform;
pub mod prefix_watcher;
pub mod process;
pub mod socket;
pub mod ticker;
pub mod traffic;
pub mod unreadable_log;
