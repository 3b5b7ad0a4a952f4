//! The controller of one write by an operator.
//!
//! The write is a compare-and-swap on the revision that the operator saw. When its answer is
//! lost, the controller reads back: its change id in the stored value means accepted, another
//! value on a later revision means not accepted, and an unchanged value means that the write may
//! still be under way, so that it is sent again with the same base. Either of the two can take
//! effect, never both, since the first one moves the base.

use {
    super::{
        Checked, Contract,
        change::{Origin, Stored},
    },
    crate::{
        controller::Controller,
        ids::{ChangeId, Revision, Service},
        time::{Moment, Span},
    },
};

/// Time between two attempts while the store does not answer.
const RETRY: Span = Span::from_millis(200);

/// What the operator wants.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The new contract.
    pub contract: Contract<Checked>,
    /// The revision that the operator saw; `None` takes whatever is there.
    pub base: Option<Revision>,
    /// The id of the change, random and used once.
    pub change: ChangeId,
    /// Whether a service may be removed.
    pub force: bool,
    /// When to give up on a store that does not answer.
    pub until: Moment,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The operator's request was taken up.
    Begin,
    /// The store told what it holds.
    Read(Option<Box<Stored>>),
    /// The store took the write.
    Accepted(Revision),
    /// The store refused the write, since the key has changed.
    Conflict(Option<Box<Stored>>),
    /// The last call certainly had no effect.
    Unreachable,
    /// The answer of the last call was lost.
    Lost,
    /// Time passed.
    Tick,
}

/// What follows for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Write the key if it has the base revision.
    Write {
        /// The value.
        value: String,
        /// The revision; zero when the key must not exist.
        base: Revision,
    },
    /// Tell the operator.
    Done(WriteOutcome),
}

/// The end of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change is stored.
    Accepted {
        /// The revision at which the store was last seen.
        revision: Revision,
        /// Whether that is the revision of this change; others may have written since.
        latest: bool,
    },
    /// Another change came first; this one has no effect and never will.
    Conflict(Option<Box<Stored>>),
    /// The change would remove services and was not forced.
    RemovesServices(Box<[Service]>),
    /// The store cannot be reached and nothing was written.
    Unavailable,
    /// The answer of the write was lost, and the store cannot be reached since or no longer tells
    /// of changes that far back. The change id settles the question later.
    Unknown(ChangeId),
}

/// One write.
#[derive(Debug)]
pub struct Writer {
    order: WriteRequest,
    state: State,
    base: Revision,
    /// The change that wrote the base.
    below: Option<ChangeId>,
    value: String,
    /// Whether a write may have taken effect.
    sent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Reading,
    Writing,
    Waiting { until: Moment },
    Done,
}

impl Writer {
    /// Prepares a write.
    pub fn new(order: WriteRequest) -> Self {
        let base = Revision::default();
        let state = State::Reading;
        Self { order, state, base, below: None, value: String::new(), sent: false }
    }

    fn read(&mut self, stored: Option<Box<Stored>>) -> Vec<Action> {
        if self.sent { self.settle(stored) } else { self.prepare(stored) }
    }

    /// Checks the order against what the store holds and writes. A change that is there already
    /// is not made again.
    fn prepare(&mut self, stored: Option<Box<Stored>>) -> Vec<Action> {
        if let Some(found) = &stored
            && found.origin.includes(self.order.change)
        {
            return self.accepted(found);
        }
        let current = stored.as_ref().map_or(Revision::default(), |s| s.contract.revision());
        if self.order.base.is_some_and(|base| base != current) {
            return self.done(WriteOutcome::Conflict(stored));
        }
        let removed = removed(stored.as_deref(), &self.order.contract);
        if !removed.is_empty() && !self.order.force {
            return self.done(WriteOutcome::RemovesServices(removed));
        }
        let origin = Origin::new(self.order.change, stored.as_deref());
        self.base = current;
        self.below = stored.as_ref().map(|stored| stored.origin.id);
        self.value = self.order.contract.stored_text(&origin);
        self.write()
    }

    fn write(&mut self) -> Vec<Action> {
        self.state = State::Writing;
        vec![Action::Write { value: self.value.clone(), base: self.base }]
    }

    /// Decides after a lost answer.
    fn settle(&mut self, stored: Option<Box<Stored>>) -> Vec<Action> {
        let Some(found) = stored else {
            return if self.base == Revision::default() {
                self.write()
            } else {
                self.done(WriteOutcome::Conflict(None))
            };
        };
        if found.origin.includes(self.order.change) {
            return self.accepted(&found);
        }
        if found.contract.revision() == self.base {
            return self.write();
        }
        // Only an unbroken line of changes back to the base proves that this one is not in it.
        let proven =
            self.below.map_or_else(|| found.origin.is_whole(), |id| found.origin.includes(id));
        if proven {
            return self.done(WriteOutcome::Conflict(Some(found)));
        }
        self.done(WriteOutcome::Unknown(self.order.change))
    }

    fn accepted(&mut self, found: &Stored) -> Vec<Action> {
        let latest = found.origin.id == self.order.change;
        self.done(WriteOutcome::Accepted { revision: found.contract.revision(), latest })
    }

    fn failed(&mut self, now: Moment) -> Vec<Action> {
        if now >= self.order.until {
            let verdict = if self.sent {
                WriteOutcome::Unknown(self.order.change)
            } else {
                WriteOutcome::Unavailable
            };
            return self.done(verdict);
        }
        self.state = State::Waiting { until: now + RETRY };
        Vec::new()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        match self.state {
            State::Waiting { until } if now >= until => {
                self.state = State::Reading;
                vec![Action::Read]
            }
            _ => Vec::new(),
        }
    }

    fn done(&mut self, verdict: WriteOutcome) -> Vec<Action> {
        self.state = State::Done;
        vec![Action::Done(verdict)]
    }
}

impl Controller for Writer {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        if self.state == State::Done {
            return Vec::new();
        }
        match event {
            Event::Begin => vec![Action::Read],
            Event::Read(stored) => self.read(stored),
            Event::Accepted(revision) => {
                self.done(WriteOutcome::Accepted { revision, latest: true })
            }
            // After a lost answer the other change may be this one.
            Event::Conflict(stored) if self.sent => self.settle(stored),
            Event::Conflict(stored) => self.done(WriteOutcome::Conflict(stored)),
            Event::Unreachable => self.failed(now),
            Event::Lost => {
                self.sent |= self.state == State::Writing;
                self.failed(now)
            }
            Event::Tick => self.tick(now),
        }
    }
}

fn removed(stored: Option<&Stored>, contract: &Contract<Checked>) -> Box<[Service]> {
    let terms = stored.map_or(&[][..], |stored| stored.contract.terms());
    let names = terms.iter().map(|terms| &terms.service);
    names.filter(|name| contract.service(name).is_none()).cloned().collect()
}
