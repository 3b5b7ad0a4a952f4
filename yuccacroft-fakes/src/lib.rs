//! Small stand-ins for everything outside the system, for tests and the demo. None of them is a
//! product: they keep their state in memory and speak just enough of each protocol.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod certificate;
pub mod exchange;
pub mod fabric;
pub mod fleet;
pub mod store;
pub mod upstream;
pub mod valve;
pub mod viewer;
