//! The write of an operator: conflicts and lost answers.

mod contracts;

use {
    contracts::{checked, stored},
    proptest::prelude::*,
    yuccacroft_core::{
        contract::{
            change::Stored,
            writer::{Action, Event, WriteOutcome, WriteRequest, Writer},
        },
        controller::Controller,
        ids::{ChangeId, Revision},
        time::{Moment, Span},
    },
};

const OURS: ChangeId = ChangeId::new(7);
const OTHER: ChangeId = ChangeId::new(8);

fn order(base: Option<u64>, force: bool) -> WriteRequest {
    WriteRequest {
        contract: checked(&["booking"]),
        base: base.map(Revision::new),
        change: OURS,
        force,
        until: Moment::default() + Span::from_secs(10),
    }
}

fn boxed(stored: Stored) -> Option<Box<Stored>> {
    Some(Box::new(stored))
}

/// A store of one key that obeys compare-and-swap, with a script of lost answers.
struct Key {
    present: Option<Stored>,
    revision: u64,
}

impl Key {
    fn put(&mut self, value: &str, base: Revision) -> Event {
        let current = self.present.as_ref().map_or(Revision::default(), |s| s.contract.revision());
        if current != base {
            return Event::Conflict(self.present.clone().map(Box::new));
        }
        self.revision += 1;
        self.present = Some(Stored::parse("key", value, Revision::new(self.revision)).unwrap());
        Event::Accepted(Revision::new(self.revision))
    }

    fn overwrite(&mut self, change: ChangeId) {
        self.revision += 1;
        let below = self.present.as_ref();
        self.present = Some(stored(&["booking"], self.revision, change, below));
    }
}

/// Guards against two operators who each believe that their change is the one that counts.
#[test]
fn conflict_shows_the_other_change() {
    let other = stored(&["booking"], 5, OTHER, None);
    let mut writer = Writer::new(order(Some(4), false));
    assert_eq!(writer.step(Event::Begin, Moment::default()), [Action::Read]);
    let done = writer.step(Event::Read(boxed(other.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Conflict(boxed(other)))]);
}

/// Guards against a race between the reading and the write.
#[test]
fn conflict_of_the_write_itself_is_shown() {
    let base = stored(&["booking"], 4, ChangeId::new(1), None);
    let other = stored(&["booking"], 5, OTHER, Some(&base));
    let mut writer = Writer::new(order(Some(4), false));
    writer.step(Event::Begin, Moment::default());
    writer.step(Event::Read(boxed(base)), Moment::default());
    let done = writer.step(Event::Conflict(boxed(other.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Conflict(boxed(other)))]);
}

/// Guards against the removal of a service by an operator who did not mean it. The forced order
/// shows that the check is what refuses it.
#[test]
fn removal_needs_force() {
    let base = stored(&["booking", "packs"], 4, OTHER, None);
    let packs = Box::new(["packs".parse().unwrap()]);
    let mut writer = Writer::new(order(None, false));
    let done = writer.step(Event::Read(boxed(base.clone())), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::RemovesServices(packs))]);
    let mut forced = Writer::new(order(None, true));
    let actions = forced.step(Event::Read(boxed(base)), Moment::default());
    assert!(matches!(&actions[..], [Action::Write { .. }]));
}

/// Guards against a guess when the store goes away behind a lost answer.
#[test]
fn lost_answer_without_a_store_is_unsettled() {
    let mut writer = Writer::new(order(None, false));
    writer.step(Event::Read(None), Moment::default());
    let late = Moment::default() + Span::from_secs(11);
    let done = writer.step(Event::Lost, late);
    assert_eq!(done, [Action::Done(WriteOutcome::Unknown(OURS))]);
}

/// Guards against a report of failure for a change that was stored and overwritten since, and
/// against one of success for a change that was not: with the line of earlier changes cut off,
/// the answer is that nobody knows.
#[test]
fn too_many_later_changes_leave_it_unsettled() {
    let base = stored(&["booking"], 4, ChangeId::new(1), None);
    let mut present = stored(&["booking"], 5, ChangeId::new(2), Some(&base));
    for number in 6..40 {
        present = stored(&["booking"], number, ChangeId::new(number.into()), Some(&present));
    }
    let mut writer = Writer::new(order(None, false));
    writer.step(Event::Read(boxed(base)), Moment::default());
    writer.step(Event::Lost, Moment::default());
    let done = writer.step(Event::Read(boxed(present)), Moment::default());
    assert_eq!(done, [Action::Done(WriteOutcome::Unknown(OURS))]);
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    /// The write is under way for long and takes effect before the next read.
    Late,
    /// The write never arrives.
    Lost,
}

fn fate() -> impl Strategy<Value = (Fate, bool)> {
    let fates = [Fate::Answered, Fate::AnswerLost, Fate::Late, Fate::Lost];
    (proptest::sample::select(fates.to_vec()), any::<bool>())
}

proptest! {
    /// Guards against a wrong verdict under any pattern of lost answers, late writes and other
    /// operators: accepted exactly when the change is in the line of changes, and written once.
    #[test]
    fn verdict_is_true(fates in proptest::collection::vec(fate(), 1..8), first in any::<bool>()) {
        let mut key = Key { present: None, revision: 3 };
        if first {
            key.overwrite(ChangeId::new(1));
        }
        let mut writer = Writer::new(order(None, false));
        let mut fates = fates.into_iter().chain(std::iter::repeat((Fate::Answered, false)));
        let mut late: Option<(String, Revision)> = None;
        let mut now = Moment::default();
        let mut event = Event::Begin;
        let mut written = 0;
        let mut writes = |key: &mut Key, value: &str, base| {
            let outcome = key.put(value, base);
            written += u32::from(matches!(outcome, Event::Accepted(_)));
            outcome
        };
        let verdict = loop {
            now = now + Span::from_millis(100);
            match writer.step(event, now).pop() {
                Some(Action::Read) => {
                    if let Some((value, base)) = late.take() {
                        writes(&mut key, &value, base);
                    }
                    event = Event::Read(key.present.clone().map(Box::new));
                }
                Some(Action::Write { value, base }) => {
                    let (fate, other) = fates.next().unwrap();
                    event = match fate {
                        Fate::Answered => writes(&mut key, &value, base),
                        Fate::AnswerLost => {
                            writes(&mut key, &value, base);
                            Event::Lost
                        }
                        Fate::Late => {
                            late = Some((value, base));
                            Event::Lost
                        }
                        Fate::Lost => Event::Lost,
                    };
                    if other && !matches!(event, Event::Accepted(_)) {
                        key.overwrite(OTHER);
                    }
                }
                Some(Action::Done(verdict)) => break verdict,
                None => event = Event::Tick,
            }
        };
        if let Some((value, base)) = late.take() {
            writes(&mut key, &value, base);
        }
        let present = key.present.as_ref();
        let included = present.is_some_and(|stored| stored.origin.includes(OURS));
        match verdict {
            WriteOutcome::Accepted { .. } => prop_assert!(included),
            WriteOutcome::Conflict(_) => prop_assert!(!included),
            WriteOutcome::Unknown(_) => {}
            other => prop_assert!(false, "{other:?}"),
        }
        prop_assert!(written <= 1);
    }
}
