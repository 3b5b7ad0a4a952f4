//! Admission control: starts, queues or refuses the requests for the slots of one upstream.
//!
//! A slot is taken by a running request only. Connections are counted separately, in
//! [`crate::ownership::OwnershipTable`].

pub mod class;
pub mod limit;
pub mod overload;
pub mod peers;
mod queue;
pub mod service_times;
pub mod unknown;
pub mod workload;

use {
    self::{
        class::{Class, Classes},
        limit::{AttemptOutcome, ConcurrencyLimit, Hint},
        peers::SiblingLoad,
        queue::{Queue, Waiting},
        workload::Workload,
    },
    crate::{
        controller::Controller,
        ids::RequestId,
        request::RefusalReason,
        time::{Moment, Span},
        units::Slots,
    },
    std::collections::HashMap,
};

/// Maximum length of the queue, per slot of the contract. While no service time is known, nothing
/// else keeps the queue short.
const MAX_QUEUED_PER_SLOT: usize = 8;
/// Maximum wait of a short class, in multiples of its mean service time. A longer queue adds
/// latency to every answer without keeping the slots any busier.
const MAX_WAIT_FACTOR: u64 = 2;
/// Lower bound of the maximum wait. A pause of the scheduler may take this long, and a class with a
/// service time of a few microseconds must not be refused because of one.
const MIN_WAIT_BOUND: Span = Span::from_millis(20);
/// A long request that has waited for its maximum wait divided by this number starts before queued
/// short requests, unless another long request is running.
const LONG_WAIT_DIVISOR: u64 = 2;
/// Smallest `retry-after` returned with a refusal.
const MIN_RETRY_AFTER: Span = Span::from_secs(1);
/// Safety margin of the slots reserved for short requests, as a multiple of the square root of
/// their demand.
const DEMAND_MARGIN: f64 = 0.5;

/// The settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of requests that run at the same time, from the contract.
    pub slots: Slots,
    /// Maximum time in the queue, from the contract.
    pub wait: Span,
    /// Time over which the limit of a new upstream grows to `slots`.
    pub warmup: Span,
}

/// A request for a slot of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The id of the request.
    pub request_id: RequestId,
    /// The route class of the request.
    pub class: Class,
    /// When the request began to wait, at this agent or at the one that handed it off.
    pub since: Moment,
    /// When the answer is due.
    pub deadline: Moment,
    /// Whether the request may be queued. A request handed off by a sibling starts immediately or
    /// is refused.
    pub may_wait: bool,
}

/// An input of the controller.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request asks for a slot.
    Acquire(SlotRequest),
    /// A running request ended.
    Finish(RequestId, AttemptOutcome),
    /// A queued request is withdrawn. Has no effect on a request that has started.
    Withdraw(RequestId),
    /// Whether responses of the class are streaming: they stay open without occupying the upstream.
    SetStreaming(Class, bool),
    /// The health and load endpoints of the upstream were polled.
    Hint(Hint),
    /// The number of slots and the maximum wait changed.
    Change(Slots, Span),
    /// Time passed; see [`AdmissionController::next_wakeup`].
    Tick,
}

/// An output of the controller, carried out by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request has a slot and is sent to the upstream now.
    Start(RequestId),
    /// The request is queued; a later action starts, refuses or withdraws it.
    Wait(RequestId),
    /// The request does not run here.
    Refuse(RequestId, RefusalReason),
    /// The request was withdrawn and does not run here.
    Withdrawn(RequestId),
}

/// The admission controller of one upstream.
#[derive(Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    classes: Classes,
    running: HashMap<RequestId, Running>,
    queue: Queue,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    since: Moment,
}

impl AdmissionController {
    /// Creates the controller of an upstream that starts at `now`.
    pub fn new(settings: AdmissionSettings, now: Moment) -> Self {
        Self {
            settings,
            limit: ConcurrencyLimit::new(settings.slots, settings.warmup, now),
            classes: Classes::new(),
            running: HashMap::new(),
            queue: Queue::new(),
        }
    }

    /// Returns the route class of a request.
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

    /// Returns the current concurrency limit.
    pub fn limit(&self, now: Moment) -> Slots {
        Slots::new(self.limit.current(now))
    }

    /// Returns true if a request of the class has been answered and its responses are not
    /// streaming.
    pub fn is_known_finite(&self, class: Class) -> bool {
        self.classes.is_answered(class) && !self.classes.is_streaming(class)
    }

    /// Returns true if responses of the class are streaming.
    pub fn is_streaming(&self, class: Class) -> bool {
        self.classes.is_streaming(class)
    }

    /// Returns the load that is reported to siblings.
    pub fn load(&self, now: Moment) -> SiblingLoad {
        SiblingLoad {
            running: self.running(),
            waiting: self.queue.len() as u32,
            limit: self.limit(now),
            service: self.classes.typical_service_time().unwrap_or(Span::ZERO),
        }
    }

    /// Returns when [`Event::Tick`] is due if no other event arrives: at the first expiry in the
    /// queue or at the end of a pause.
    pub fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        [self.queue.next_expiry(), self.limit.resumes_at(now)].into_iter().flatten().min()
    }

    /// Returns the `retry-after` of a refusal: the time in which the present queue is expected to
    /// drain, at least one second.
    pub fn retry_after(&self, now: Moment) -> Span {
        self.expected_wait(true, now).max(MIN_RETRY_AFTER)
    }

    fn acquire(&mut self, request: SlotRequest, now: Moment) -> Action {
        self.classes.record_arrival(request.class, now);
        self.record_running(now);
        let long = self.classes.is_long(request.class);
        if now >= request.deadline {
            return Action::Refuse(request.request_id, RefusalReason::Deadline);
        }
        if self.queue.is_empty_ahead_of(long) && self.has_free_slot(long, now) {
            return self.start(request.request_id, request.class, now);
        }
        let expires =
            (request.since + self.max_wait(request.class, long)).min(self.latest_start(&request));
        if !request.may_wait
            || self.is_queue_full()
            || now + self.expected_wait(long, now) > expires
        {
            return Action::Refuse(request.request_id, RefusalReason::Overload);
        }
        let waiting =
            Waiting { request_id: request.request_id, class: request.class, since: now, expires };
        self.queue.push(waiting, long);
        Action::Wait(request.request_id)
    }

    fn finish(&mut self, request_id: RequestId, outcome: AttemptOutcome, now: Moment) {
        let Some(running) = self.running.remove(&request_id) else { return };
        self.limit.record_outcome(outcome, running.since, now);
        if outcome == AttemptOutcome::Answered {
            self.classes.record_service_time(running.class, now.since(running.since));
        }
    }

    /// Refuses the queued requests that have expired and starts those that fit into free slots.
    fn advance(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.record_running(now);
        for waiting in self.queue.take_expired(now) {
            actions.push(Action::Refuse(waiting.request_id, RefusalReason::Overload));
        }
        while let Some(waiting) = self.next_startable(now) {
            actions.push(self.start(waiting.request_id, waiting.class, now));
        }
    }

    fn next_startable(&mut self, now: Moment) -> Option<Waiting> {
        let long_fits = self.has_free_slot(true, now);
        if long_fits
            && self.long_running_count() == 0
            && self.queue.long_is_due(now, LONG_WAIT_DIVISOR)
        {
            return self.queue.pop(true);
        }
        if self.has_free_slot(false, now)
            && let Some(waiting) = self.queue.pop(false)
        {
            return Some(waiting);
        }
        if long_fits { self.queue.pop(true) } else { None }
    }

    fn start(&mut self, request_id: RequestId, class: Class, now: Moment) -> Action {
        self.running.insert(request_id, Running { class, since: now });
        Action::Start(request_id)
    }

    fn has_free_slot(&mut self, long: bool, now: Moment) -> bool {
        let limit = self.limit.current(now);
        if self.running.len() as u32 >= limit {
            return false;
        }
        !long || self.long_running_count() < self.long_limit(limit, now)
    }

    /// Returns the maximum number of long requests that run at the same time. The slots that short
    /// requests need at their present rate are reserved for them, at least one. With a single slot,
    /// long requests may use it when no short request is queued.
    fn long_limit(&mut self, limit: u32, now: Moment) -> u32 {
        let demand = self.classes.demand(now);
        let needed = (demand + DEMAND_MARGIN * demand.sqrt()).ceil().max(1.0);
        limit.saturating_sub(needed.min(f64::from(limit)) as u32).max(1)
    }

    fn long_running_count(&self) -> u32 {
        let long = self.running.values().filter(|running| self.classes.is_long(running.class));
        long.count() as u32
    }

    fn record_running(&mut self, now: Moment) {
        for running in self.running.values() {
            self.classes.record_running(running.class, now.since(running.since));
        }
    }

    /// Returns the expected wait of a request that is queued now.
    fn expected_wait(&self, long: bool, now: Moment) -> Span {
        let ahead =
            self.queue.work_ahead(long, |class| self.classes.mean(class).unwrap_or_default());
        // The slots are in use, so one of the running requests has to end as well.
        let running = self.classes.typical_service_time().unwrap_or_default();
        Workload { slots: self.limit(now), ahead: ahead + running }.wait()
    }

    fn max_wait(&self, class: Class, long: bool) -> Span {
        // The elapsed time of an unanswered request is no estimate for its class: the response may
        // be streaming, which releases its slot long before the response ends.
        if !self.classes.is_answered(class) {
            return self.settings.wait;
        }
        let mean = self.classes.mean(class).unwrap_or_default();
        let own = if long { self.settings.wait } else { mean.saturating_mul(MAX_WAIT_FACTOR) };
        own.max(MIN_WAIT_BOUND).min(self.settings.wait)
    }

    /// Returns the latest start at which the request is expected to meet its deadline.
    fn latest_start(&self, request: &SlotRequest) -> Moment {
        request.deadline - self.classes.mean(request.class).unwrap_or_default()
    }

    fn is_queue_full(&self) -> bool {
        self.queue.len() >= self.settings.slots.get().max(1) as usize * MAX_QUEUED_PER_SLOT
    }
}

impl Controller for AdmissionController {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acquire(request) => actions.push(self.acquire(request, now)),
            Event::Finish(request_id, outcome) => self.finish(request_id, outcome, now),
            Event::Withdraw(request_id) => {
                actions.extend(
                    self.queue
                        .remove(request_id)
                        .map(|withdrawn| Action::Withdrawn(withdrawn.request_id)),
                );
            }
            Event::SetStreaming(class, is_streaming) => {
                self.classes.set_streaming(class, is_streaming)
            }
            Event::Hint(hint) => self.limit.apply_hint(hint, self.running.len() as u32, now),
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
