//! Admission: which request gets a slot of the upstream, which one waits, which one is refused.
//!
//! Slots and connections are kept apart: this controller counts running work only, and
//! [`crate::ownership::Table`] counts connections.

pub mod class;
pub mod limit;
pub mod peers;
mod queue;

use {
    self::{
        class::{Class, Classes},
        limit::{Hint, Limit, Observed},
        peers::Load,
        queue::{Queue, Waiting},
    },
    crate::{
        controller::Controller,
        ids::RequestId,
        request::Reason,
        time::{Moment, Span},
        units::Slots,
    },
    std::collections::HashMap,
};

/// Requests that may wait for each slot while no service time is known.
const QUEUE_PER_SLOT: usize = 8;
/// Longest wait of a class in its own mean service times. A longer queue adds to every answer and
/// keeps no slot busier.
const WAIT_FACTOR: u64 = 2;
/// Shortest bound of a wait. A pause of the scheduler is as long, and a class of a few microseconds
/// need not be refused for it.
const SHORTEST_WAIT: Span = Span::from_millis(20);
/// Long work that has waited this part of its bound may start in front of short work while no
/// other long work runs.
const LONG_PATIENCE: u64 = 2;
/// Smallest advice to a refused caller.
const RETRY_AFTER: Span = Span::from_secs(1);
/// Slots that are left to short work for its demand, in square roots of that demand.
const SPREAD: f64 = 0.5;

/// The settings of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Requests that may run at the same time, from the contract.
    pub slots: Slots,
    /// Longest time that a request may wait, from the contract.
    pub wait: Span,
    /// Time over which a new upstream grows to its slots.
    pub warmup: Span,
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub call: RequestId,
    /// Its class.
    pub class: Class,
    /// When it began to wait, here or at another agent.
    pub since: Moment,
    /// When its answer is due.
    pub deadline: Moment,
    /// False when it runs at once or not at all, as a request of a sibling does.
    pub may_wait: bool,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request asks for a slot.
    Ask(Ask),
    /// A started request ended.
    Finish(RequestId, Observed),
    /// A waiting request is taken back. Nothing happens when it has started.
    Withdraw(RequestId),
    /// An answer of a class turned out to be a feed, which stays open without work, or to end.
    Feed(Class, bool),
    /// The upstream's endpoints were read.
    Hint(Hint),
    /// A contract changed the number of slots and the longest wait.
    Change(Slots, Span),
    /// Time passed.
    Tick,
}

/// What follows for the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request has a slot and goes to the upstream now.
    Start(RequestId),
    /// The request waits; a later action names it.
    Wait(RequestId),
    /// The request does not run here.
    Refuse(RequestId, Reason),
    /// The request was taken back and does not run here.
    Withdrawn(RequestId),
}

/// The admission controller of one upstream.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    limit: Limit,
    classes: Classes,
    running: HashMap<RequestId, Running>,
    queue: Queue,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    since: Moment,
}

impl Gate {
    /// Creates the gate of an upstream that starts at `now`.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            settings,
            limit: Limit::new(settings.slots, settings.warmup, now),
            classes: Classes::new(),
            running: HashMap::new(),
            queue: Queue::new(),
        }
    }

    /// Returns the class of a request.
    pub fn classify(&mut self, method: &str, path: &str) -> Class {
        self.classes.classify(method, path)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> Slots {
        Slots::new(self.running.len() as u32)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests may run now.
    pub fn limit(&self, now: Moment) -> Slots {
        Slots::new(self.limit.get(now))
    }

    /// Returns true when requests of the class are known to be answered as a whole.
    pub fn is_whole(&self, class: Class) -> bool {
        self.classes.is_answered(class) && !self.classes.is_feed(class)
    }

    /// Returns true when the answers of the class are feeds.
    pub fn is_feed(&self, class: Class) -> bool {
        self.classes.is_feed(class)
    }

    /// Returns the load that siblings are told.
    pub fn load(&self, now: Moment) -> Load {
        Load {
            running: self.running(),
            waiting: self.queue.len() as u32,
            limit: self.limit(now),
            service: self.classes.usual().unwrap_or(Span::ZERO),
        }
    }

    /// Returns when the queue has to be looked at again although nothing happens.
    pub fn wake(&self, now: Moment) -> Option<Moment> {
        [self.queue.expires(), self.limit.resume(now)].into_iter().flatten().min()
    }

    /// Returns the advice for a refused caller: the time until the queue has passed.
    pub fn retry_after(&self, now: Moment) -> Span {
        self.expected(true, now).max(RETRY_AFTER)
    }

    fn ask(&mut self, ask: Ask, now: Moment) -> Action {
        self.classes.asked(ask.class, now);
        self.learn_running(now);
        let long = self.classes.is_long(ask.class);
        if now >= ask.deadline {
            return Action::Refuse(ask.call, Reason::Deadline);
        }
        if self.queue.is_empty_before(long) && self.has_room(long, now) {
            return self.start(ask.call, ask.class, now);
        }
        let expires = (ask.since + self.longest_wait(ask.class, long)).min(self.latest(&ask));
        if !ask.may_wait || self.is_full() || now + self.expected(long, now) > expires {
            return Action::Refuse(ask.call, Reason::Overload);
        }
        let waiting = Waiting { call: ask.call, class: ask.class, since: now, expires };
        self.queue.push(waiting, long);
        Action::Wait(ask.call)
    }

    fn finish(&mut self, call: RequestId, observed: Observed, now: Moment) {
        let Some(running) = self.running.remove(&call) else { return };
        self.limit.learn(observed, running.since, now);
        if observed == Observed::Answered {
            self.classes.learn(running.class, now.since(running.since));
        }
    }

    /// Starts what may start and refuses what waited too long.
    fn advance(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.learn_running(now);
        for waiting in self.queue.take_expired(now) {
            actions.push(Action::Refuse(waiting.call, Reason::Overload));
        }
        while let Some(waiting) = self.next(now) {
            actions.push(self.start(waiting.call, waiting.class, now));
        }
    }

    fn next(&mut self, now: Moment) -> Option<Waiting> {
        let long_fits = self.has_room(true, now);
        if long_fits && self.long_running() == 0 && self.queue.long_is_due(now, LONG_PATIENCE) {
            return self.queue.pop(true);
        }
        if self.has_room(false, now)
            && let Some(waiting) = self.queue.pop(false)
        {
            return Some(waiting);
        }
        if long_fits { self.queue.pop(true) } else { None }
    }

    fn start(&mut self, call: RequestId, class: Class, now: Moment) -> Action {
        self.running.insert(call, Running { class, since: now });
        Action::Start(call)
    }

    fn has_room(&mut self, long: bool, now: Moment) -> bool {
        let limit = self.limit.get(now);
        if self.running.len() as u32 >= limit {
            return false;
        }
        !long || self.long_running() < self.long_limit(limit, now)
    }

    /// Long work leaves the slots that short work needs at its present rate, and always one. Of a
    /// single slot it gets what short work leaves over.
    fn long_limit(&mut self, limit: u32, now: Moment) -> u32 {
        let demand = self.classes.demand(now);
        let needed = (demand + SPREAD * demand.sqrt()).ceil().max(1.0);
        limit.saturating_sub(needed.min(f64::from(limit)) as u32).max(1)
    }

    fn long_running(&self) -> u32 {
        let long = self.running.values().filter(|running| self.classes.is_long(running.class));
        long.count() as u32
    }

    fn learn_running(&mut self, now: Moment) {
        for running in self.running.values() {
            self.classes.learn_running(running.class, now.since(running.since));
        }
    }

    /// Returns how long a request that joins the queue now is expected to wait.
    fn expected(&self, long: bool, now: Moment) -> Span {
        let limit = u64::from(self.limit.get(now).max(1));
        let ahead = self.queue.ahead(long, |class| self.classes.mean(class).unwrap_or_default());
        let own = self.classes.usual().unwrap_or_default();
        Span::from_micros((ahead + own).as_micros() / limit)
    }

    fn longest_wait(&self, class: Class, long: bool) -> Span {
        // The time that an unanswered request has run for says little about its class: it may be a
        // feed, which gives its slot back long before its answer ends.
        if !self.classes.is_answered(class) {
            return self.settings.wait;
        }
        let mean = self.classes.mean(class).unwrap_or_default();
        let own = if long { self.settings.wait } else { mean.saturating_mul(WAIT_FACTOR) };
        own.max(SHORTEST_WAIT).min(self.settings.wait)
    }

    /// Returns when the request has to start to be answered in time.
    fn latest(&self, ask: &Ask) -> Moment {
        ask.deadline - self.classes.mean(ask.class).unwrap_or_default()
    }

    fn is_full(&self) -> bool {
        self.queue.len() >= self.settings.slots.get().max(1) as usize * QUEUE_PER_SLOT
    }
}

impl Controller for Gate {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Ask(ask) => actions.push(self.ask(ask, now)),
            Event::Finish(call, observed) => self.finish(call, observed, now),
            Event::Withdraw(call) => {
                actions.extend(self.queue.remove(call).map(|gone| Action::Withdrawn(gone.call)));
            }
            Event::Feed(class, is_feed) => self.classes.set_feed(class, is_feed),
            Event::Hint(hint) => self.limit.hint(hint, self.running.len() as u32, now),
            Event::Change(slots, wait) => {
                self.settings.slots = slots;
                self.settings.wait = wait;
                self.limit.set_slots(slots);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }
}
