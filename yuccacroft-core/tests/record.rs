//! The bounds of the record and the ledger, and what they say at their bounds.

use {
    proptest::prelude::*,
    std::sync::Arc,
    yuccacroft_core::{
        fence::{self, Arrival, Ledger, State},
        ids::{Incarnation, RequestId},
        record::{Answer, Bounds, Claim, End, Key, Print, Record, Seen},
        request::{Effect, Reason, Request},
        retry::{self, Budget},
        time::{Moment, Span},
        units::{Count, Size},
    },
};

const AGE: Span = Span::from_secs(60);

fn bounds(entries: u64, bytes: u64) -> Bounds {
    Bounds { entries: Count::new(entries), bytes: Size::new(bytes), age: AGE }
}

fn key(number: u64) -> Key {
    Key::new(&number.to_be_bytes())
}

fn print(body: &[u8]) -> Print {
    Print::new("POST", "/reserve", body)
}

fn answer(bytes: usize) -> End {
    let (headers, body) = (Box::new([]), vec![0; bytes].into());
    End::Answered(Some(Arc::new(Answer { status: 200, headers, body })))
}

fn refusal(call: RequestId) -> End {
    let request = Request::new(call, Effect::Once, Moment::default());
    End::NotRun(request.refuse(Reason::Overload))
}

fn at(secs: u64) -> Moment {
    Moment::default() + Span::from_secs(secs)
}

/// Guards against an answer given to a request that asks for something else.
#[test]
fn tells_a_reused_key_from_a_retry() {
    let mut record = Record::new(bounds(8, 1_000));
    let (one, two) = (RequestId::new(1), RequestId::new(2));
    assert_eq!(record.begin(key(1), print(b"a"), one, Claim::None, at(0)), Seen::Fresh);
    assert_eq!(record.begin(key(1), print(b"a"), two, Claim::None, at(1)), Seen::Running(one));
    assert_eq!(record.begin(key(1), print(b"b"), two, Claim::None, at(1)), Seen::Conflict);
}

/// Guards against a second run after the entry has expired: the claim is as old as the entry.
#[test]
fn answers_unknown_to_a_claim_older_than_its_memory() {
    let mut record = Record::new(bounds(8, 1_000));
    let call = RequestId::new(1);
    record.begin(key(1), print(b""), call, Claim::None, at(0));
    record.finish(key(1), call, answer(10), at(1));
    let bound = record.bound(key(1)).expect("the key is bound");
    let late = record.begin(key(1), print(b""), RequestId::new(2), Claim::Own(bound), at(100));
    assert_eq!(late, Seen::Unknown);
}

/// Guards against a full record that lets a request run without an entry, or drops a key early.
#[test]
fn takes_no_new_key_when_full_and_keeps_the_old_ones() {
    let mut record = Record::new(bounds(2, 1_000));
    for number in 1..=2 {
        let call = RequestId::new(u128::from(number));
        record.begin(key(number), print(b""), call, Claim::None, at(0));
        record.finish(key(number), call, refusal(call), at(0));
    }
    assert_eq!(record.begin(key(3), print(b""), RequestId::new(3), Claim::None, at(1)), Seen::Full);
    let seen = record.begin(key(1), print(b""), RequestId::new(4), Claim::None, at(1));
    assert!(matches!(seen, Seen::NotRun(refusal) if refusal.reason() == Reason::Tombstone));
}

/// Guards against a fence that forgets: an offer that arrives after it must not run.
#[test]
fn refuses_an_offer_that_comes_after_its_fence() {
    let own = Incarnation::new(7);
    let mut ledger = Ledger::new(own, Count::new(8), Size::new(1_000));
    let call = RequestId::new(1);
    assert_eq!(ledger.fence(call, own, Span::ZERO, at(0)), State::Fenced);
    assert_eq!(ledger.offer(call, own, at(200)), Arrival::Seen(State::Fenced));
    assert_eq!(ledger.offer(RequestId::new(2), Incarnation::new(6), at(200)), Arrival::Refused);
    assert_eq!(
        ledger.fence(RequestId::new(2), Incarnation::new(6), Span::ZERO, at(200)),
        State::Gone
    );
}

/// Guards against the proof of innocence for an offer that is older than the memory.
#[test]
fn knows_nothing_of_an_offer_older_than_its_memory() {
    let own = Incarnation::new(7);
    let mut ledger = Ledger::new(own, Count::new(8), Size::new(1_000));
    assert_eq!(ledger.fence(RequestId::new(1), own, fence::MEMORY, at(0)), State::Gone);
}

/// Guards against retries that multiply the load of an upstream in trouble.
#[test]
fn retries_at_most_a_tenth_of_first_attempts() {
    let mut budget = Budget::new();
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

    /// Guards against memory that grows with what callers send.
    #[test]
    fn stays_within_its_bounds(
        steps in prop::collection::vec((0u64..200, 0usize..300, 0u64..5), 1..400),
    ) {
        let mut record = Record::new(bounds(50, 2_000));
        let (mut now, mut number) = (0, 0);
        for (name, bytes, pause) in steps {
            now += pause;
            number += 1;
            let call = RequestId::new(number);
            if record.begin(key(name), print(b""), call, Claim::None, at(now)) == Seen::Fresh {
                record.finish(key(name), call, answer(bytes), at(now));
            }
            prop_assert!(record.len() <= 50);
            prop_assert!(record.size().get() <= 2_000);
        }
        record.expire(at(now + 60));
        prop_assert!(record.is_empty() && record.size().get() == 0);
    }

    /// Guards against retries that come back together or too late.
    #[test]
    fn pauses_within_a_doubling_bound(attempt in 1u32..80, seed: u64) {
        use rand::SeedableRng;
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let pause = retry::pause(attempt, &mut random);
        let bound = Span::from_millis(10).saturating_mul(1 << (attempt - 1).min(20));
        prop_assert!(pause <= bound.min(Span::from_secs(1)));
    }
}
