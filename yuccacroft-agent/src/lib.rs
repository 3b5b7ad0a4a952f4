//! The agent: the process beside each upstream, which owns that upstream's flows and requests.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod announce;
pub mod chain;
pub mod desk;
pub mod endpoint;
pub mod errors;
pub mod operate;
pub mod packet;
pub mod process;
pub mod seats;
pub mod socket;
pub mod upstream;
