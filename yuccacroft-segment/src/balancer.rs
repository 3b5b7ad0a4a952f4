//! The balancer: receives segments from callers and forwards each to the agent that owns its flow.

pub mod chain;
pub mod controllers;
pub mod freshness;
pub mod grounds;
pub mod pending;
pub mod process;
pub mod query_batch;
pub mod relay;
pub mod response_times;
pub mod searches;
pub mod spill_over;

pub use {self::process::Settings, crate::process::Process};
