//! Command line, settings, logs and demo of yuccacroft. The binary is a thin wrapper around this
//! crate.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod cli;
pub mod client;
pub mod demo;
pub mod errors;
pub mod logs;
pub mod settings;
