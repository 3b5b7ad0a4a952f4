//! The concurrency limit when the number of slots changes.

use yuccacroft_core::{
    admission::limit::{AttemptOutcome, ConcurrencyLimit},
    time::{Moment, Span},
    units::Slots,
};

/// Guards against a limit that stays at one request after the agent's capacity was granted.
#[test]
fn unlowered_limit_follows_the_slots() {
    let mut limit = ConcurrencyLimit::new(Slots::new(0), Span::ZERO, Moment::default());
    for slots in [4, 2, 6] {
        limit.set_slots(Slots::new(slots));
        assert_eq!(limit.current(Moment::default()), slots);
    }
}

/// Guards against a contract change that resets a limit lowered by an overloaded upstream.
#[test]
fn lowered_limit_stays_when_slots_are_added() {
    let mut limit = ConcurrencyLimit::new(Slots::new(4), Span::ZERO, Moment::default());
    limit.record_outcome(AttemptOutcome::Lost, Moment::default(), Moment::default());
    assert_eq!(limit.current(Moment::default()), 2);
    limit.set_slots(Slots::new(8));
    assert_eq!(limit.current(Moment::default()), 2);
}
