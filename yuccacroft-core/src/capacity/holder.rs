//! The agent's side of a grant.

use crate::{
    time::{Moment, Span},
    units::Slots,
};

/// Absence after which the grant of an agent may be freed.
pub const GRACE_PERIOD: Span = Span::from_secs(600);
/// Time without contact after which an agent stops using its grant. It is half of [`GRACE_PERIOD`], so
/// that the agent has stopped long before anybody takes its grant for free.
pub const ISOLATION_TIMEOUT: Span = Span::from_secs(300);

/// No grant was heard of, or it was given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Empty(());

/// The agent has a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    slots: Slots,
    contact: Moment,
}

/// The grant of one agent in one state of its life cycle. Only a granted one allows work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<S> {
    state: S,
}

impl Holder<Empty> {
    /// Starts without a grant.
    pub fn new() -> Self {
        Self { state: Empty(()) }
    }

    /// Notes the answer to a claim that was sent at `asked`.
    pub fn grant(self, slots: Slots, asked: Moment) -> Holder<Granted> {
        Holder { state: Granted { slots, contact: asked } }
    }
}

impl Default for Holder<Empty> {
    fn default() -> Self {
        Self::new()
    }
}

impl Holder<Granted> {
    /// Returns the slots that may be used now. The caller checks right before it starts work, since
    /// the process may have been paused since its last contact.
    pub fn usable_slots(&self, now: Moment) -> Slots {
        if now.since(self.state.contact) < ISOLATION_TIMEOUT {
            self.state.slots
        } else {
            Slots::default()
        }
    }

    /// Lowers the slots in use before a smaller grant is claimed, so that the record never frees
    /// what is still used. It returns what may be claimed.
    pub fn shrink(&mut self, want: Slots) -> Slots {
        self.state.slots = self.state.slots.min(want);
        want
    }

    /// Notes the answer to a claim that was sent at `asked`.
    pub fn renew(&mut self, slots: Slots, asked: Moment) {
        self.state.slots = slots;
        self.state.contact = self.state.contact.max(asked);
    }

    /// Notes that a balancer answered a message sent at `asked`, whether or not the store works.
    pub fn record_contact(&mut self, asked: Moment) {
        self.state.contact = self.state.contact.max(asked);
    }

    /// Gives the grant back; nothing may run on it from here on.
    pub fn release(self) -> Holder<Empty> {
        Holder::new()
    }
}
