//! The balancer process, which forwards packets between callers and agents. It keeps no state that
//! a flow depends on.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod capacity;
pub mod controllers;
pub mod errors;
pub mod packet;
pub mod process;
pub mod relay;
pub mod send_queue;
pub mod service;
pub mod socket;
