//! The learned limit when the number of slots changes.

use yuccacroft_core::{
    admission::limit::{AttemptOutcome, ConcurrencyLimit},
    time::{Moment, Span},
    units::Slots,
};

/// Guards against an agent that stays at one request after its capacity was granted.
#[test]
fn a_limit_that_nothing_lowered_follows_the_slots() {
    let mut limit = ConcurrencyLimit::new(Slots::new(0), Span::ZERO, Moment::default());
    for slots in [4, 2, 6] {
        limit.set_slots(Slots::new(slots));
        assert_eq!(limit.current(Moment::default()), slots);
    }
}

/// Guards against a change of the contract that takes back what an overloaded upstream taught.
#[test]
fn a_lowered_limit_stays_when_slots_are_added() {
    let mut limit = ConcurrencyLimit::new(Slots::new(4), Span::ZERO, Moment::default());
    limit.record_outcome(AttemptOutcome::Lost, Moment::default(), Moment::default());
    assert_eq!(limit.current(Moment::default()), 2);
    limit.set_slots(Slots::new(8));
    assert_eq!(limit.current(Moment::default()), 2);
}
