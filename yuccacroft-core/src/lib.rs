//! Core types and decision logic of yuccacroft, without I/O, clocks or global randomness.
//!
//! Time and randomness are always passed in by the caller, so that the running processes, the
//! tests and the benchmarks share the same logic. The design is explained in `docs/design.md`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

#[macro_use]
mod derive;

pub mod admission;
pub mod arrival;
pub mod backlog;
pub mod capacity;
pub mod clocks;
pub mod contract;
pub mod controller;
pub mod directory;
pub mod errors;
pub mod evacuation;
pub mod fence;
pub mod filter;
pub mod flow;
pub mod gossip;
pub mod handshake;
pub mod idempotency;
pub mod ids;
pub mod ini;
pub mod key;
pub mod lease;
pub mod limits;
pub mod member;
pub mod opening;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod pool;
pub mod rendezvous;
pub mod reply;
pub mod request;
pub mod requirements;
pub mod retry;
pub mod route;
pub mod search;
pub mod segment;
pub mod shards;
pub mod siblings;
pub mod spill_over;
pub mod steering;
pub mod tag;
pub mod time;
pub mod token;
pub mod units;
pub mod upstream;
