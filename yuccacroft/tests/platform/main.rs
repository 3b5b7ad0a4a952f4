//! Tests of the segment front end: balancers and agents run as processes, and the platform around
//! them is emulated, all on the loopback interface.

mod deployment;
mod fault_free;
mod late_answers;
mod logs;
mod losses;
mod processes;
mod relays;
mod soak;
mod stops;
mod store;
