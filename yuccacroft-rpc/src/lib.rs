//! Calls between processes over HTTP with authenticated rmp-serde bodies, the shared parts of the
//! administration interfaces, errors of sockets, the tasks of a process, and the clocks that are passed to
//! `yuccacroft_core`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod client;
pub mod clock;
pub mod errors;
pub mod server;
pub mod tasks;
