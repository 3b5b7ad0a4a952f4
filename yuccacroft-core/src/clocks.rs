//! The clocks of a machine, and what two readings say about the wall clock between them.
//!
//! See `docs/design/restarted-agents.md`.

use {
    crate::time::Span,
    serde::{Deserialize, Serialize},
};

/// Difference between the clocks that is no step: the drift and the slewing of the wall clock in a
/// day are below it, and an upstream reports at longer intervals.
const MAX_DRIFT: Span = Span::from_millis(250);
/// Largest step by which the wall clock of a running machine is set back. A larger difference shows
/// that the machine has restarted, where the boot clock begins anew.
const MAX_STEP: Span = Span::from_secs(3_600);

/// The readings of the clocks of one machine at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The Unix time of the wall clock, which may be set.
    pub wall: Span,
    /// The time since the machine started. It never jumps.
    pub boot: Span,
}

impl Reading {
    /// Returns true if the wall clock has not been set back between an earlier reading on the same
    /// machine and this one, as far as both clocks tell.
    pub fn is_steady_since(&self, earlier: Self) -> bool {
        // The machine has restarted in between, which shows a boot clock that went back.
        if self.boot < earlier.boot {
            return true;
        }
        let expected = earlier.wall + (self.boot - earlier.boot);
        let lag = expected - self.wall;
        lag <= MAX_DRIFT || lag > MAX_STEP
    }
}
