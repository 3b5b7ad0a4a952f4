//! The controller of one contract write by an operator.
//!
//! The write is a compare-and-swap on the revision that the operator read. When its response is
//! lost, the controller reads the key again. If the stored value contains the id of this change,
//! the write was accepted. If its recorded history reaches back to the base without this change,
//! the write was not accepted. If the value is unchanged, the write may still be in flight and is
//! sent again with the same base. At most one of the two writes takes effect, since the first one
//! changes the revision.

use {
    super::{
        Checked, Contract,
        change::{Origin, StoredContract},
    },
    crate::{
        controller::Controller,
        ids::{ChangeId, Revision, Service},
        time::{Moment, Span},
    },
};

/// Time between two attempts while the store does not respond.
const RETRY_INTERVAL: Span = Span::from_millis(200);

/// The write that an operator requests.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The new contract.
    pub contract: Contract<Checked>,
    /// The revision that the write must replace; `None` replaces any revision.
    pub base: Option<Revision>,
    /// The id of the change, random and never reused.
    pub change: ChangeId,
    /// Whether the write may remove services.
    pub force: bool,
    /// When to give up if the store does not respond.
    pub until: Moment,
}

/// The input of the writer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The write starts.
    Begin,
    /// A read returned the stored contract, `None` if there is none.
    Read(Option<Box<StoredContract>>),
    /// The store accepted the write under a revision.
    Accepted(Revision),
    /// The store rejected the write, since the key has another revision. Carries the present value.
    Conflict(Option<Box<StoredContract>>),
    /// The last call failed without any effect.
    Unreachable,
    /// The response of the last call was lost, so that the call may have taken effect.
    Lost,
    /// A timer tick.
    Tick,
}

/// The output of the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the key.
    Read,
    /// Write the key if it is at the base revision.
    Write {
        /// The value to write.
        value: String,
        /// The expected revision; zero if the key must not exist.
        base: Revision,
    },
    /// Report the outcome to the operator.
    Done(WriteOutcome),
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change took effect.
    Accepted {
        /// The latest known revision of the contract.
        revision: Revision,
        /// Whether that is the revision of this change, not of a later one.
        latest: bool,
    },
    /// Another change was made first; this one has no effect. Carries the present value.
    Conflict(Option<Box<StoredContract>>),
    /// The change would remove these services and `force` was not set.
    RemovesServices(Box<[Service]>),
    /// The store is unreachable and nothing was written.
    Unavailable,
    /// The response of the write was lost, and the store is unreachable or its history of changes
    /// is too short to decide. The id of the change shows later whether it took effect.
    Unknown(ChangeId),
}

/// The state machine of one write.
#[derive(Debug)]
pub struct Writer {
    request: WriteRequest,
    state: State,
    base: Revision,
    /// The id of the change that wrote the base revision.
    base_change: Option<ChangeId>,
    value: String,
    /// Whether a write was sent that may have taken effect.
    may_have_written: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Reading,
    Writing,
    Waiting { until: Moment },
    Done,
}

impl Writer {
    /// Creates the state machine of a write.
    pub fn new(request: WriteRequest) -> Self {
        let base = Revision::default();
        let state = State::Reading;
        Self {
            request,
            state,
            base,
            base_change: None,
            value: String::new(),
            may_have_written: false,
        }
    }

    fn handle_read(&mut self, stored: Option<Box<StoredContract>>) -> Vec<Action> {
        if self.may_have_written { self.resolve(stored) } else { self.prepare(stored) }
    }

    /// Checks the request against the stored contract and starts the write, unless the change is
    /// stored already.
    fn prepare(&mut self, stored: Option<Box<StoredContract>>) -> Vec<Action> {
        if let Some(found) = &stored
            && found.origin.includes(self.request.change)
        {
            return self.finish_accepted(found);
        }
        let current = stored.as_ref().map_or(Revision::default(), |s| s.contract.revision());
        if self.request.base.is_some_and(|base| base != current) {
            return self.finish(WriteOutcome::Conflict(stored));
        }
        let removed = removed_services(stored.as_deref(), &self.request.contract);
        if !removed.is_empty() && !self.request.force {
            return self.finish(WriteOutcome::RemovesServices(removed));
        }
        let origin = Origin::new(self.request.change, stored.as_deref());
        self.base = current;
        self.base_change = stored.as_ref().map(|stored| stored.origin.id);
        self.value = self.request.contract.stored_text(&origin);
        self.write()
    }

    fn write(&mut self) -> Vec<Action> {
        self.state = State::Writing;
        vec![Action::Write { value: self.value.clone(), base: self.base }]
    }

    /// Determines the outcome of a write whose response was lost.
    fn resolve(&mut self, stored: Option<Box<StoredContract>>) -> Vec<Action> {
        let Some(found) = stored else {
            return if self.base == Revision::default() {
                self.write()
            } else {
                self.finish(WriteOutcome::Conflict(None))
            };
        };
        if found.origin.includes(self.request.change) {
            return self.finish_accepted(&found);
        }
        if found.contract.revision() == self.base {
            return self.write();
        }
        // Only a complete history of changes back to the base proves that this change is missing.
        let is_refuted = self
            .base_change
            .map_or_else(|| found.origin.is_complete(), |id| found.origin.includes(id));
        if is_refuted {
            return self.finish(WriteOutcome::Conflict(Some(found)));
        }
        self.finish(WriteOutcome::Unknown(self.request.change))
    }

    fn finish_accepted(&mut self, found: &StoredContract) -> Vec<Action> {
        let latest = found.origin.id == self.request.change;
        self.finish(WriteOutcome::Accepted { revision: found.contract.revision(), latest })
    }

    fn retry_or_finish(&mut self, now: Moment) -> Vec<Action> {
        if now >= self.request.until {
            let outcome = if self.may_have_written {
                WriteOutcome::Unknown(self.request.change)
            } else {
                WriteOutcome::Unavailable
            };
            return self.finish(outcome);
        }
        self.state = State::Waiting { until: now + RETRY_INTERVAL };
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

    fn finish(&mut self, outcome: WriteOutcome) -> Vec<Action> {
        self.state = State::Done;
        vec![Action::Done(outcome)]
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
            Event::Read(stored) => self.handle_read(stored),
            Event::Accepted(revision) => {
                self.finish(WriteOutcome::Accepted { revision, latest: true })
            }
            // After a lost response the stored change may be this one.
            Event::Conflict(stored) if self.may_have_written => self.resolve(stored),
            Event::Conflict(stored) => self.finish(WriteOutcome::Conflict(stored)),
            Event::Unreachable => self.retry_or_finish(now),
            Event::Lost => {
                self.may_have_written |= self.state == State::Writing;
                self.retry_or_finish(now)
            }
            Event::Tick => self.tick(now),
        }
    }
}

fn removed_services(
    stored: Option<&StoredContract>,
    contract: &Contract<Checked>,
) -> Box<[Service]> {
    let terms = stored.map_or(&[][..], |stored| stored.contract.terms());
    let names = terms.iter().map(|terms| &terms.service);
    names.filter(|name| contract.service(name).is_none()).cloned().collect()
}
