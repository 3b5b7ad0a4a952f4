//! The clocks of a machine, and what two readings say about the wall clock between them.
//!
//! See `docs/design/restarted-agents.md`.

use {
    crate::time::Span,
    serde::{Deserialize, Serialize},
};

/// Largest difference between the clocks that does not count as a step. The drift and the slewing of
/// the wall clock in a day are smaller, and the report interval of upstreams is longer.
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
    /// Returns true unless the wall clock was set back by more than [`MAX_DRIFT`] and at most
    /// [`MAX_STEP`] since an earlier reading on the same machine. A larger difference is taken for a
    /// restart of the machine, and so is a boot clock that went back.
    pub fn is_steady_since(&self, earlier: Self) -> bool {
        // A boot clock that went back shows that the machine has restarted in between.
        if self.boot < earlier.boot {
            return true;
        }
        let expected = earlier.wall + (self.boot - earlier.boot);
        let lag = expected - self.wall;
        lag <= MAX_DRIFT || lag > MAX_STEP
    }
}
