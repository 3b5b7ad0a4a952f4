//! The segment front end: a balancer and an agent for flows that carry a byte stream inside
//! datagrams.
//!
//! The decisions are in `yuccacroft-core`. How segments, configuration and reports look on the wire
//! is hidden behind [`platform::Platform`]. See `docs/platform.md`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod agent;
pub mod balancer;
pub mod dump;
pub mod errors;
pub mod follower;
pub mod host;
pub mod journal;
pub mod platform;
pub mod socket;
