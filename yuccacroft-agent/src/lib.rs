//! The agent: a process that runs beside each upstream, terminates its QUIC connections and
//! forwards its requests.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod announce;
pub mod assembly;
pub mod capacity;
pub mod chain;
pub mod claims;
pub mod conversion;
pub mod endpoint;
pub mod errors;
pub mod handoff;
pub mod limiter;
pub mod operate;
pub mod owner;
pub mod packet;
pub mod process;
pub mod records;
pub mod service;
pub mod settings;
pub mod siblings;
pub mod socket;
pub mod updater;
pub mod upstream;
pub mod upstream_answer;
