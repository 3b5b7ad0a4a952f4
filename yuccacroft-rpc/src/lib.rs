//! Calls between processes: HTTP with authenticated rmp-serde bodies, and the clocks that the
//! shells hand to the decisions.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod client;
pub mod clock;
pub mod errors;
pub mod server;
