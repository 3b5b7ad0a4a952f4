//! The agent: stands beside one upstream, owns its flows and decides which new ones it takes.

pub mod announcer;
pub mod chain;
pub mod controllers;
pub mod process;
pub mod relay;

pub use self::process::{Process, Settings};
