//! Faults and planned stops with real processes on the loopback interface; `docs/faults.md` lists
//! them.

mod fleet;
mod losses;
mod silence;
mod stops;
