//! The balancer: takes segments from callers and finds the agent for each.

pub mod arrivals;
pub mod chain;
pub mod controllers;
pub mod process;
pub mod relay;
pub mod searches;

pub use self::process::{Process, Settings};
