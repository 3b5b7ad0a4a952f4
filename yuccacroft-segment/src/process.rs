//! The life cycle of a process of either role: it starts, serves and drains.
//!
//! What a state does depends on the role, see [`crate::agent::process`] and
//! [`crate::balancer::process`].

use slog::Logger;

/// A process in the life-cycle state `S`.
pub struct Process<S> {
    pub(crate) state: S,
}

/// The state before the sockets are bound, with the settings `T` of the role.
pub struct Starting<P, T> {
    pub(crate) platform: P,
    pub(crate) settings: T,
    pub(crate) log: Logger,
}

/// The state in which a process that served with the state `S` takes no new flows and still
/// forwards segments.
pub struct Draining<S> {
    pub(crate) serving: S,
}

impl<P, T> Process<Starting<P, T>> {
    /// Creates a process that is not serving yet.
    pub fn new(platform: P, settings: T, log: Logger) -> Self {
        Self { state: Starting { platform, settings, log } }
    }
}
