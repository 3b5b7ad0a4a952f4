//! The front of yuccacroft: command line, settings, logs and the demo. The binary only calls it.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod cli;
pub mod client;
pub mod demo;
pub mod errors;
pub mod logs;
pub mod settings;
