//! Contract writes by operators: conflicts and lost responses.

mod contracts;

use {
    contracts::{checked, stored},
    proptest::prelude::*,
    yuccacroft_core::{
        contract::{
            change::StoredContract,
            writer::{Action, Event, WriteOutcome, WriteRequest, Writer},
        },
        controller::Controller,
        ids::{ChangeId, Revision},
        time::{Moment, Span},
    },
};

const OURS: ChangeId = ChangeId::new(7);
const OTHER: ChangeId = ChangeId::new(8);

fn request(base: Option<u64>, force: bool) -> WriteRequest {
    WriteRequest {
        contract: checked(&["booking"]),
        base: base.map(Revision::new),
        change: OURS,
        force,
        until: Moment::default() + Span::from_secs(10),
    }
}

fn boxed(stored: StoredContract) -> Option<Box<StoredContract>> {
    Some(Box::new(stored))
}

/// A store with a single key that supports compare-and-swap.
struct SingleKeyStore {
    stored: Option<StoredContract>,
    revision: u64,
}

impl SingleKeyStore {
    fn put(&mut self, value: &str, base: Revision) -> Event {
        let current = self.stored.as_ref().map_or(Revision::default(), |s| s.contract.revision());
        if current != base {
            return Event::Conflict(self.stored.clone().map(Box::new));
        }
        self.revision += 1;
        self.stored =
            Some(StoredContract::parse("key", value, Revision::new(self.revision)).unwrap());
        Event::Accepted(Revision::new(self.revision))
    }

    fn overwrite(&mut self, change: ChangeId) {
        self.revision += 1;
        let current = self.stored.as_ref();
        self.stored = Some(stored(&["booking"], self.revision, change, current));
    }
}

/// Guards against two operators whose changes based on the same revision both seem accepted.
#[test]
fn conflict_returns_the_other_change() {
    let other = stored(&["booking"], 5, OTHER, None);
    let mut writer = Writer::new(request(Some(4), false));
    assert_eq!(writer.step(Event::Begin, Moment::default()), [Action::Read]);
    let done = writer.step(Event::Read(boxed(other.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Conflict(boxed(other)))]);
}

/// Guards against a missed conflict when another change is made between the read and the write.
#[test]
fn conflict_during_write_is_returned() {
    let base = stored(&["booking"], 4, ChangeId::new(1), None);
    let other = stored(&["booking"], 5, OTHER, Some(&base));
    let mut writer = Writer::new(request(Some(4), false));
    writer.step(Event::Begin, Moment::default());
    writer.step(Event::Read(boxed(base)), Moment::default());
    let done = writer.step(Event::Conflict(boxed(other.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Conflict(boxed(other)))]);
}

/// Guards against the accidental removal of a service. The forced request shows that the check is
/// what rejects it.
#[test]
fn service_removal_requires_force() {
    let base = stored(&["booking", "packs"], 4, OTHER, None);
    let packs = Box::new(["packs".parse().unwrap()]);
    let mut writer = Writer::new(request(None, false));
    let done = writer.step(Event::Read(boxed(base.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::RemovesServices(packs))]);
    let mut forced = Writer::new(request(None, true));
    let actions = forced.step(Event::Read(boxed(base)), Moment::default());
    assert!(matches!(&actions[..], [Action::Write { .. }]));
}

/// Guards against a definite outcome when the store becomes unreachable after a lost response.
#[test]
fn lost_response_of_unreachable_store_is_unknown() {
    let mut writer = Writer::new(request(None, false));
    writer.step(Event::Read(None), Moment::default());
    let late = Moment::default() + Span::from_secs(11);
    let done = writer.step(Event::Lost, late);
    assert_eq!(done, [Action::Done(WriteOutcome::Unknown(OURS))]);
}

/// Guards against a definite outcome when the recorded history of changes is too short to tell
/// whether the change was stored and replaced, or never stored.
#[test]
fn outcome_is_unknown_after_too_many_later_changes() {
    let base = stored(&["booking"], 4, ChangeId::new(1), None);
    let mut present = stored(&["booking"], 5, ChangeId::new(2), Some(&base));
    for number in 6..40 {
        present = stored(&["booking"], number, ChangeId::new(number.into()), Some(&present));
    }
    let mut writer = Writer::new(request(None, false));
    writer.step(Event::Read(boxed(base)), Moment::default());
    writer.step(Event::Lost, Moment::default());
    let done = writer.step(Event::Read(boxed(present)), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Unknown(OURS))]);
}

#[derive(Clone, Copy, Debug)]
enum WriteResult {
    Received,
    ResponseLost,
    /// The response is lost and the write takes effect just before the next read.
    Delayed,
    /// The write never reaches the store.
    Lost,
}

fn write_result() -> impl Strategy<Value = (WriteResult, bool)> {
    let results =
        [WriteResult::Received, WriteResult::ResponseLost, WriteResult::Delayed, WriteResult::Lost];
    (proptest::sample::select(results.to_vec()), any::<bool>())
}

proptest! {
    /// Guards against a wrong outcome under any sequence of lost responses, delayed writes and
    /// writes of other operators: a definite outcome matches the recorded history of changes, and
    /// the change is written at most once.
    #[test]
    fn outcome_matches_history(
        results in proptest::collection::vec(write_result(), 1..8),
        key_exists in any::<bool>(),
    ) {
        let mut store = SingleKeyStore { stored: None, revision: 3 };
        if key_exists {
            store.overwrite(ChangeId::new(1));
        }
        let mut writer = Writer::new(request(None, false));
        let mut results =
            results.into_iter().chain(std::iter::repeat((WriteResult::Received, false)));
        let mut delayed: Option<(String, Revision)> = None;
        let mut now = Moment::default();
        let mut event = Event::Begin;
        let mut accepted_writes = 0;
        let mut put_value = |store: &mut SingleKeyStore, value: &str, base| {
            let event = store.put(value, base);
            accepted_writes += u32::from(matches!(event, Event::Accepted(_)));
            event
        };
        let outcome = loop {
            now = now + Span::from_millis(100);
            match writer.step(event, now).pop() {
                Some(Action::Read) => {
                    if let Some((value, base)) = delayed.take() {
                        put_value(&mut store, &value, base);
                    }
                    event = Event::Read(store.stored.clone().map(Box::new));
                }
                Some(Action::Write { value, base }) => {
                    let (result, other) = results.next().unwrap();
                    event = match result {
                        WriteResult::Received => put_value(&mut store, &value, base),
                        WriteResult::ResponseLost => {
                            put_value(&mut store, &value, base);
                            Event::Lost
                        }
                        WriteResult::Delayed => {
                            delayed = Some((value, base));
                            Event::Lost
                        }
                        WriteResult::Lost => Event::Lost,
                    };
                    if other && !matches!(event, Event::Accepted(_)) {
                        store.overwrite(OTHER);
                    }
                }
                Some(Action::Done(outcome)) => break outcome,
                None => event = Event::Tick,
            }
        };
        if let Some((value, base)) = delayed.take() {
            put_value(&mut store, &value, base);
        }
        let present = store.stored.as_ref();
        let included = present.is_some_and(|stored| stored.origin.includes(OURS));
        match outcome {
            WriteOutcome::Accepted { .. } => prop_assert!(included),
            WriteOutcome::Conflict(_) => prop_assert!(!included),
            WriteOutcome::Unknown(_) => {}
            other => prop_assert!(false, "{other:?}"),
        }
        prop_assert!(accepted_writes <= 1);
    }
}
