//! The agent: runs beside one upstream, owns the upstream's flows and decides which new flows it
//! accepts.

pub mod announcer;
pub mod chain;
pub mod controllers;
pub mod process;
pub mod relay;
pub mod rewrite_limit;
pub mod state;

pub use {self::process::Settings, crate::process::Process};
