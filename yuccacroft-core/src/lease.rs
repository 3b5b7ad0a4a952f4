//! Leases of the store: the right to write certain keys for a limited time.
//!
//! The holder counts the term on its own clock, from before it sent the request, and checks it
//! immediately before each operation. The process may still be paused between the check and the
//! operation, so the operation carries the id of the lease, which the store compares; see
//! [`Permit`].

use crate::time::{Moment, Span};

newtype! {
    /// The id that the store assigned to a lease. Ids are never reused.
    Id(u64), "the id of a lease"
}

/// State: the term had not ended when last checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    expires_at: Moment,
    term: Span,
}

/// State: the term has ended; no operation is possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired;

/// A lease in a state of its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease<S> {
    id: Id,
    state: S,
}

/// Proof that a lease was held at the time of a check. It carries the id of the lease, so that the
/// store refuses the operation when the lease has ended since the check.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    lease: Id,
}

impl Lease<Held> {
    /// Creates a lease. `requested_at` is a moment before the request to the store was sent.
    pub fn new(id: Id, requested_at: Moment, term: Span) -> Self {
        Self { id, state: Held { expires_at: requested_at + term, term } }
    }

    /// Extends the lease after the store renewed it. `requested_at` is a moment before the renewal
    /// was sent. A renewal sent after the end of the term is void, since another holder may have
    /// taken over.
    pub fn renew(self, requested_at: Moment) -> Result<Self, Lease<Expired>> {
        let Held { expires_at, term } = self.state;
        if requested_at >= expires_at {
            return Err(self.expire());
        }
        Ok(Self { id: self.id, state: Held { expires_at: requested_at + term, term } })
    }

    /// Checks the term and returns the lease with a permit for one operation.
    pub fn check(self, now: Moment) -> Result<(Self, Permit), Lease<Expired>> {
        if now >= self.state.expires_at {
            return Err(self.expire());
        }
        Ok((self, Permit { lease: self.id }))
    }

    fn expire(self) -> Lease<Expired> {
        Lease { id: self.id, state: Expired }
    }
}

impl<S> Lease<S> {
    /// Returns the id.
    pub fn id(&self) -> Id {
        self.id
    }
}

impl Permit {
    /// Returns the id of the lease under which the operation is done. The store must compare it.
    pub fn lease(&self) -> Id {
        self.lease
    }
}
