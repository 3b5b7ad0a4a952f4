//! The clock that all decisions of a process use.

use {
    crate::host::Host,
    std::{fmt::Debug, sync::Arc},
    yuccacroft_core::time::{Moment, Span},
};

/// The boot clock of the host, counted from the start of the process. The time for which the machine
/// is suspended counts, so that what the process knows from before is as old as it is elsewhere.
#[derive(Clone, Debug)]
pub struct BootClock {
    source: Arc<dyn Source>,
    start: Span,
}

/// A host, without its other types.
trait Source: Debug + Send + Sync {
    fn boot_clock(&self) -> Span;
}

impl<H: Host> Source for H {
    fn boot_clock(&self) -> Span {
        Host::boot_clock(self)
    }
}

impl BootClock {
    /// Starts the clock.
    pub fn new<H: Host>(host: H) -> Self {
        let start = Host::boot_clock(&host);
        Self { source: Arc::new(host), start }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Moment {
        Moment::default() + (self.source.boot_clock() - self.start)
    }
}
