//! The trait of all controllers.

use crate::time::Moment;

/// The owner of one piece of state.
///
/// A controller decides and never does I/O. Its shell feeds it events in the order in which they
/// happened, with the time of its own monotonic clock, and carries out the actions in order. An
/// action that fails comes back as a later event. Randomness is a seeded generator that the
/// implementer takes in its constructor.
pub trait Controller {
    /// Something that happened: a message, an answer, a timer.
    type Event;
    /// Something that the shell is asked to do.
    type Action;

    /// Takes one event and returns what follows from it.
    fn step(&mut self, event: Self::Event, now: Moment) -> Vec<Self::Action>;
}
