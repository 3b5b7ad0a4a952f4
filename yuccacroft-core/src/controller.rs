//! The trait that all state machines of the control plane implement.

use crate::time::Moment;

/// A state machine that owns one piece of state and does no I/O.
///
/// The caller passes events in the order in which they happened, with the time of its own
/// monotonic clock, and executes the returned actions in order. A failed action is reported as a
/// later event. An implementation that needs randomness takes a seeded generator in its
/// constructor.
pub trait Controller {
    /// The input: a received message, the result of a call or a timer tick.
    type Event;
    /// The output: an operation that the caller executes.
    type Action;

    /// Handles one event and returns the actions that the caller executes.
    fn step(&mut self, event: Self::Event, now: Moment) -> Vec<Self::Action>;
}
