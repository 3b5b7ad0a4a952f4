//! The whole path on the platform: balancers and agents as processes, everything else as
//! stand-ins, all on the loopback interface.

mod calm;
mod deployment;
mod logs;
mod losses;
mod soak;
mod stops;
mod store;
