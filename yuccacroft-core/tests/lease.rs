//! Leases of a holder that is paused without noticing.

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

/// A store that removes a claimed key at the end of its lease, as the etcd gateway does.
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

    /// The same without the comparison of the lease.
    fn write_unchecked(&mut self) {
        self.writes += 1;
    }
}

/// Guards against acts of a holder whose clock jumped over the end of its term.
#[test]
fn lapsed_lease_gives_no_permit() {
    let (held, _) = lease().check(at(4)).unwrap();
    assert!(held.check(at(5)).is_err());
}

/// Guards against a term that is counted from the answer: the store counts from its own receipt,
/// which is after the holder asked.
#[test]
fn term_is_counted_from_before_the_call() {
    let asked = at(0);
    let lease = Lease::new(Id::new(1), asked, TERM);
    // The answer came after four seconds; one second is left.
    assert!(lease.check(at(5)).is_err());
}

/// Guards against the revival of a lease by a renewal that was asked for after its end.
#[test]
fn late_renewal_is_void() {
    assert!(lease().renew(at(6)).is_err());
    let renewed = lease().renew(at(3)).unwrap();
    assert!(renewed.check(at(7)).is_ok());
}

/// Guards against a pause between the check and the act: the clock jumps behind the check, and
/// the store refuses the act since the permit names the ended lease. Without the comparison the
/// act would take effect.
#[test]
fn act_behind_a_pause_has_no_effect() {
    let mut store = Store { claimed: BTreeMap::from([(Id::new(1), at(5))]), writes: 0 };
    let (_, permit) = lease().check(at(4)).unwrap();
    let resumed = at(60);
    assert!(!store.write(&permit, resumed));
    assert_eq!(store.writes, 0);
    store.write_unchecked();
    assert_eq!(store.writes, 1);
}
