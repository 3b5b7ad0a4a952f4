//! The grant of an agent, as kept by the agent itself.

use crate::{
    time::{Moment, Span},
    units::Slots,
};

/// Time of absence from the membership after which the grant of an agent may be freed.
pub const GRACE_PERIOD: Span = Span::from_secs(600);
/// Time without contact to any balancer after which an agent stops using its grant. It is half of
/// [`GRACE_PERIOD`], so the agent has stopped well before its grant can be freed.
pub const ISOLATION_TIMEOUT: Span = Span::from_secs(300);

/// State: the agent has received no grant or has released it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Empty(());

/// State: the agent has a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    slots: Slots,
    last_contact: Moment,
}

/// The grant of one agent, in a state of its life cycle. Slots can be used in the state [`Granted`]
/// only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<S> {
    state: S,
}

impl Holder<Empty> {
    /// Creates a holder without a grant.
    pub fn new() -> Self {
        Self { state: Empty(()) }
    }

    /// Records the slots granted to a claim that was sent at `sent_at`.
    pub fn grant(self, slots: Slots, sent_at: Moment) -> Holder<Granted> {
        Holder { state: Granted { slots, last_contact: sent_at } }
    }
}

impl Default for Holder<Empty> {
    fn default() -> Self {
        Self::new()
    }
}

impl Holder<Granted> {
    /// Returns the number of slots that may be used now, zero while the agent is isolated. The
    /// caller must check it immediately before starting work, since the process may have been
    /// paused since the last contact.
    pub fn usable_slots(&self, now: Moment) -> Slots {
        if now.since(self.state.last_contact) < ISOLATION_TIMEOUT {
            self.state.slots
        } else {
            Slots::default()
        }
    }

    /// Lowers the usable slots before a smaller grant is claimed, so that the record never frees
    /// slots still in use. Returns the number of slots to claim.
    pub fn shrink(&mut self, wanted: Slots) -> Slots {
        self.state.slots = self.state.slots.min(wanted);
        wanted
    }

    /// Records the slots granted to a claim that was sent at `sent_at`.
    pub fn renew(&mut self, slots: Slots, sent_at: Moment) {
        self.state.slots = slots;
        self.state.last_contact = self.state.last_contact.max(sent_at);
    }

    /// Records that a balancer answered a message sent at `sent_at`. The answer counts even while
    /// the store is unavailable.
    pub fn record_contact(&mut self, sent_at: Moment) {
        self.state.last_contact = self.state.last_contact.max(sent_at);
    }

    /// Releases the grant. None of its slots may be used afterwards.
    pub fn release(self) -> Holder<Empty> {
        Holder::new()
    }
}
