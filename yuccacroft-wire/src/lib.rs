//! Encodings of all messages between processes. They contain no decisions.
//!
//! Every decoder checks the version and the bounds of its input and never panics; see
//! `docs/design.md`, section 6.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod authenticator;
pub mod capacity;
pub mod capsule;
pub mod claim;
pub mod errors;
pub mod exchange;
pub mod handoff;
pub mod invariant;
pub mod message;
pub mod proxy;
pub mod relay;
