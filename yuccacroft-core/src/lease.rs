//! Leases: the right to act for a limited time.
//!
//! The term is counted from before the holder asked, on its own clock, and it is checked right
//! before each act. A pause between the check and the act remains possible, so that the act
//! itself carries the lease's id, which the store checks: see [`Permit`].

use crate::time::{Moment, Span};

newtype! {
    /// The id that the store gave to a lease. It is never used again.
    Id(u64), "the id of a lease"
}

/// The holder may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    until: Moment,
    term: Span,
}

/// The term is over; nothing can be done with the lease any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lapsed;

/// A lease in one state of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease<S> {
    id: Id,
    state: S,
}

/// The proof that a lease was held at a moment. It names the lease, so that the store refuses the
/// act when the lease has ended between the check and the act.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    lease: Id,
}

impl Lease<Held> {
    /// Creates a lease that was asked for at `asked`, before the call to the store went out.
    pub fn new(id: Id, asked: Moment, term: Span) -> Self {
        Self { id, state: Held { until: asked + term, term } }
    }

    /// Extends the lease after the store renewed it; `asked` is before that call went out. A
    /// renewal that was asked for after the end is void, since another may hold the right by then.
    pub fn renew(self, asked: Moment) -> Result<Self, Lease<Lapsed>> {
        let Held { until, term } = self.state;
        if asked >= until {
            return Err(self.lapse());
        }
        Ok(Self { id: self.id, state: Held { until: asked + term, term } })
    }

    /// Checks the term and returns the lease with a permit for one act.
    pub fn check(self, now: Moment) -> Result<(Self, Permit), Lease<Lapsed>> {
        if now >= self.state.until {
            return Err(self.lapse());
        }
        Ok((self, Permit { lease: self.id }))
    }

    /// Returns the moment at which the holder should renew, a third into the term.
    pub fn renewal(&self) -> Moment {
        self.state.until - Span::from_micros(self.state.term.as_micros() / 3 * 2)
    }

    fn lapse(self) -> Lease<Lapsed> {
        Lease { id: self.id, state: Lapsed }
    }
}

impl<S> Lease<S> {
    /// Returns the id.
    pub fn id(&self) -> Id {
        self.id
    }
}

impl Permit {
    /// Returns the lease under which the act is done. The store has to compare it.
    pub fn lease(&self) -> Id {
        self.lease
    }
}
