//! Leases whose holder is paused without noticing.

use {
    std::collections::BTreeMap,
    yuccacroft_core::{
        lease::{Held, Id, Lease, Permit},
        time::{Moment, Span},
    },
};

const TERM: Span = Span::from_secs(5);

fn at(seconds: u64) -> Moment {
    Moment::default() + Span::from_secs(seconds)
}

fn lease() -> Lease<Held> {
    Lease::new(Id::new(1), at(0), TERM)
}

/// A store that deletes a key at the end of its lease, as etcd does.
struct Store {
    claimed: BTreeMap<Id, Moment>,
    writes: u32,
}

impl Store {
    fn write(&mut self, permit: &Permit, now: Moment) -> bool {
        let held = self.claimed.get(&permit.lease()).is_some_and(|until| now < *until);
        self.writes += u32::from(held);
        held
    }

    /// Writes without comparing the lease.
    fn write_unchecked(&mut self) {
        self.writes += 1;
    }
}

/// Guards against operations of a holder after the end of its term.
#[test]
fn expired_lease_gives_no_permit() {
    let (held, _) = lease().check(at(4)).unwrap();
    assert!(held.check(at(5)).is_err());
}

/// Guards against counting the term from the answer: the store counts from the receipt of the
/// request, which is after the holder sent it and before the answer arrives.
#[test]
fn term_starts_before_the_request_is_sent() {
    let requested_at = at(0);
    let lease = Lease::new(Id::new(1), requested_at, TERM);
    // The answer arrived after four seconds, so one second is left.
    assert!(lease.check(at(5)).is_err());
}

/// Guards against reviving a lease by a renewal that was sent after its end.
#[test]
fn late_renewal_is_void() {
    assert!(lease().renew(at(6)).is_err());
    let renewed = lease().renew(at(3)).unwrap();
    assert!(renewed.check(at(7)).is_ok());
}

/// Guards against a pause between the check and the operation: the lease ends after the check, and
/// the store refuses the operation since the permit carries the id of the ended lease. Without the
/// comparison the operation would take effect.
#[test]
fn operation_after_a_pause_is_refused() {
    let mut store = Store { claimed: BTreeMap::from([(Id::new(1), at(5))]), writes: 0 };
    let (_, permit) = lease().check(at(4)).unwrap();
    let resumed = at(60);
    assert!(!store.write(&permit, resumed));
    assert_eq!(store.writes, 0);
    store.write_unchecked();
    assert_eq!(store.writes, 1);
}
