//! The limits of the idempotency table, the ledger and the retry budget, and the results at these
//! limits.

use {
    proptest::prelude::*,
    std::sync::Arc,
    yuccacroft_core::{
        fence::{self, Ledger, LedgerState, OfferResult},
        idempotency::{
            Answer, Bounds, Fingerprint, IdempotencyKey, IdempotencyTable, Lookup, OwnerClaim,
            RunOutcome,
        },
        ids::{Incarnation, RequestId},
        request::{Effect, RefusalReason, Request},
        retry::{self, RetryBudget},
        time::{Moment, Span},
        units::{Count, Size},
    },
};

const AGE: Span = Span::from_secs(60);

fn bounds(entries: u64, bytes: u64) -> Bounds {
    Bounds { entries: Count::new(entries), bytes: Size::new(bytes), age: AGE }
}

fn key(number: u64) -> IdempotencyKey {
    IdempotencyKey::new(&number.to_be_bytes())
}

fn fingerprint(body: &[u8]) -> Fingerprint {
    Fingerprint::new("POST", "/reserve", body)
}

fn answer(bytes: usize) -> RunOutcome {
    let (headers, body) = (Box::new([]), vec![0; bytes].into());
    RunOutcome::Answered(Some(Arc::new(Answer { status: 200, headers, body })))
}

fn refusal(request_id: RequestId) -> RunOutcome {
    let request = Request::new(request_id, Effect::Once, Moment::default());
    RunOutcome::NotRun(request.refuse(RefusalReason::Overload))
}

fn at(secs: u64) -> Moment {
    Moment::default() + Span::from_secs(secs)
}

/// Guards against answering a request with the answer to a different one that has the same key.
#[test]
fn distinguishes_reused_keys_from_retries() {
    let mut table = IdempotencyTable::new(bounds(8, 1_000));
    let (one, two) = (RequestId::new(1), RequestId::new(2));
    assert_eq!(table.begin(key(1), fingerprint(b"a"), one, OwnerClaim::None, at(0)), Lookup::New);
    assert_eq!(
        table.begin(key(1), fingerprint(b"a"), two, OwnerClaim::None, at(1)),
        Lookup::Running(one)
    );
    assert_eq!(
        table.begin(key(1), fingerprint(b"b"), two, OwnerClaim::None, at(1)),
        Lookup::Conflict
    );
}

/// Guards against a second run after the entry has expired: a claim as old as the entry is answered
/// as unknown.
#[test]
fn expired_claim_is_answered_as_unknown() {
    let mut table = IdempotencyTable::new(bounds(8, 1_000));
    let request_id = RequestId::new(1);
    table.begin(key(1), fingerprint(b""), request_id, OwnerClaim::None, at(0));
    table.finish(key(1), request_id, answer(10), at(1));
    let bound = table.bound_at(key(1)).expect("the key is bound");
    let lookup =
        table.begin(key(1), fingerprint(b""), RequestId::new(2), OwnerClaim::Own(bound), at(100));
    assert_eq!(lookup, Lookup::Unknown);
}

/// Guards against a full table that lets a request run without an entry, or drops a key before it
/// expires.
#[test]
fn full_table_rejects_new_keys_and_keeps_old_ones() {
    let mut table = IdempotencyTable::new(bounds(2, 1_000));
    for number in 1..=2 {
        let request_id = RequestId::new(u128::from(number));
        table.begin(key(number), fingerprint(b""), request_id, OwnerClaim::None, at(0));
        table.finish(key(number), request_id, refusal(request_id), at(0));
    }
    assert_eq!(
        table.begin(key(3), fingerprint(b""), RequestId::new(3), OwnerClaim::None, at(1)),
        Lookup::Full
    );
    let lookup = table.begin(key(1), fingerprint(b""), RequestId::new(4), OwnerClaim::None, at(1));
    assert!(
        matches!(lookup, Lookup::NotRun(refusal) if refusal.reason() == RefusalReason::Tombstone)
    );
}

/// Guards against running an offer that arrives after it was fenced or is for another incarnation.
#[test]
fn refuses_offers_that_arrive_after_their_fence() {
    let own = Incarnation::new(7);
    let mut ledger = Ledger::new(own, Count::new(8), Size::new(1_000));
    let request_id = RequestId::new(1);
    assert_eq!(ledger.fence(request_id, own, Span::ZERO, at(0)), LedgerState::Fenced);
    assert_eq!(ledger.offer(request_id, own, at(200)), OfferResult::Known(LedgerState::Fenced));
    assert_eq!(ledger.offer(RequestId::new(2), Incarnation::new(6), at(200)), OfferResult::Refused);
    assert_eq!(
        ledger.fence(RequestId::new(2), Incarnation::new(6), Span::ZERO, at(200)),
        LedgerState::Gone
    );
}

/// Guards against fencing an offer that is older than the retention time: it may have run, and its
/// state may have expired.
#[test]
fn does_not_fence_offers_older_than_retention() {
    let own = Incarnation::new(7);
    let mut ledger = Ledger::new(own, Count::new(8), Size::new(1_000));
    assert_eq!(ledger.fence(RequestId::new(1), own, fence::RETENTION, at(0)), LedgerState::Gone);
}

/// Guards against retries that multiply the load of an overloaded upstream.
#[test]
fn retry_budget_is_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::new();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert!(retries <= 100, "{retries} retries");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against memory that grows with the number of keys or the size of the answers.
    #[test]
    fn table_stays_within_its_bounds(
        steps in prop::collection::vec((0u64..200, 0usize..300, 0u64..5), 1..400),
    ) {
        let mut table = IdempotencyTable::new(bounds(50, 2_000));
        let (mut now, mut number) = (0, 0);
        for (name, bytes, delay) in steps {
            now += delay;
            number += 1;
            let request_id = RequestId::new(number);
            if table.begin(key(name), fingerprint(b""), request_id, OwnerClaim::None, at(now)) == Lookup::New {
                table.finish(key(name), request_id, answer(bytes), at(now));
            }
            prop_assert!(table.len() <= 50);
            prop_assert!(table.size().get() <= 2_000);
        }
        table.expire(at(now + 60));
        prop_assert!(table.is_empty() && table.size().get() == 0);
    }

    /// Guards against a backoff beyond the bound that doubles with each attempt.
    #[test]
    fn backoff_stays_within_its_bound(attempt in 1u32..80, seed: u64) {
        use rand::SeedableRng;
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let delay = retry::backoff(attempt, &mut random);
        let bound = Span::from_millis(10).saturating_mul(1 << (attempt - 1).min(20));
        prop_assert!(delay <= bound.min(Span::from_secs(1)));
    }
}
