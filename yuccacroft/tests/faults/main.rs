//! Tests of faults and planned stops with real processes on the loopback interface.
//! `docs/faults.md` lists the faults.

mod fleet;
mod losses;
mod silence;
mod stops;
