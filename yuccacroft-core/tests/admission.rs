//! Admission control with wrong hints, cold and stuck upstreams, and long requests.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        admission::{
            Action, AdmissionController, AdmissionSettings, Event, SlotRequest,
            class::Class,
            limit::{AttemptOutcome, Hint},
        },
        controller::Controller,
        ids::RequestId,
        request::RefusalReason,
        time::{Moment, Span},
        units::Slots,
    },
};

const DEADLINE: Span = Span::from_secs(5);
const SLOTS: u32 = 4;

struct Harness {
    controller: AdmissionController,
    short: Class,
    long: Class,
    next: u128,
    now: Moment,
}

impl Harness {
    fn new(warmup: Span) -> Self {
        let wait = Span::from_millis(500);
        let settings = AdmissionSettings { slots: Slots::new(SLOTS), wait, warmup };
        let mut controller = AdmissionController::new(settings, Moment::default());
        let (short, long) =
            (controller.classify("POST", "/reserve"), controller.classify("GET", "/render"));
        Self { controller, short, long, next: 0, now: Moment::default() }
    }

    /// Creates a harness that has learned service times of 10 ms for short requests and 1 s for
    /// long ones.
    fn with_known_service_times() -> Self {
        let mut harness = Self::new(Span::ZERO);
        for _ in 0..20 {
            harness.run(harness.short, Span::from_millis(10), AttemptOutcome::Answered);
        }
        harness.run(harness.long, Span::from_secs(1), AttemptOutcome::Answered);
        harness.now = harness.now + Span::from_secs(10);
        harness
    }

    fn acquire(&mut self, class: Class) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request_id = RequestId::new(self.next);
        let (since, deadline) = (self.now, self.now + DEADLINE);
        let request = SlotRequest { request_id, class, since, deadline, may_wait: true };
        (request_id, self.controller.step(Event::Acquire(request), self.now))
    }

    fn try_start(&mut self, class: Class) -> Option<RequestId> {
        let (request_id, actions) = self.acquire(class);
        actions.contains(&Action::Start(request_id)).then_some(request_id)
    }

    fn finish(&mut self, request_id: RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        self.controller.step(Event::Finish(request_id, outcome), self.now)
    }

    fn run(&mut self, class: Class, service_time: Span, outcome: AttemptOutcome) {
        if let Some(request_id) = self.try_start(class) {
            self.now = self.now + service_time;
            self.finish(request_id, outcome);
        } else {
            self.now = self.now + service_time;
            self.finish_started(outcome);
        }
    }

    /// Sends a tick and finishes the queued requests that it starts, so that none of them occupies
    /// a slot indefinitely.
    fn finish_started(&mut self, outcome: AttemptOutcome) {
        for action in self.controller.step(Event::Tick, self.now) {
            if let Action::Start(request_id) = action {
                self.finish(request_id, outcome);
            }
        }
    }

    fn limit(&self) -> u32 {
        self.controller.limit(self.now).get()
    }
}

/// Guards against keeping the limit of an upstream that reports itself healthy while it sheds every
/// request.
#[test]
fn lowers_limit_despite_healthy_hints() {
    let mut harness = Harness::new(Span::ZERO);
    for _ in 0..50 {
        harness
            .controller
            .step(Event::Hint(Hint { healthy: true, running: Slots::new(0) }), harness.now);
        harness.run(harness.short, Span::from_millis(5), AttemptOutcome::Shed);
    }
    assert!(harness.limit() <= 1, "limit is {}", harness.limit());
}

/// Guards against exceeding the slots of an upstream that always reports itself idle: the agent's
/// own count of running requests is decisive.
#[test]
fn bounds_running_requests_despite_idle_hints() {
    let mut harness = Harness::new(Span::ZERO);
    let hint = Event::Hint(Hint { healthy: true, running: Slots::new(0) });
    let started = (0..20).filter(|_| {
        harness.controller.step(hint, harness.now);
        harness.try_start(harness.short).is_some()
    });
    assert_eq!(started.count(), SLOTS as usize);
}

/// Guards against a stale endpoint that reports the upstream unhealthy although it answers
/// requests.
#[test]
fn answered_request_cancels_unhealthy_hint() {
    let mut harness = Harness::new(Span::ZERO);
    harness
        .controller
        .step(Event::Hint(Hint { healthy: false, running: Slots::new(9) }), harness.now);
    assert_eq!(harness.limit(), 1);
    harness.run(harness.short, Span::from_millis(5), AttemptOutcome::Answered);
    assert_eq!(harness.limit(), SLOTS);
}

/// Guards against sending a stuck upstream as many requests as a working one.
#[test]
fn sends_one_request_at_a_time_to_a_stuck_upstream() {
    let mut harness = Harness::new(Span::ZERO);
    for _ in 0..10 {
        harness.run(harness.short, Span::from_secs(1), AttemptOutcome::Lost);
    }
    assert!(harness.limit() <= 1);
    let started = (0..20).filter(|_| harness.try_start(harness.short).is_some()).count();
    assert!(started <= 1, "{started} started");
}

/// Guards against a limit that stays low after the upstream has recovered from overload.
#[test]
fn raises_limit_after_answered_requests() {
    let mut harness = Harness::new(Span::ZERO);
    for _ in 0..20 {
        harness.run(harness.short, Span::from_millis(5), AttemptOutcome::Shed);
    }
    harness.now = harness.now + Span::from_secs(2);
    for _ in 0..20 {
        harness.run(harness.short, Span::from_millis(5), AttemptOutcome::Answered);
    }
    assert_eq!(harness.limit(), SLOTS);
}

/// Guards against a limit that ignores the slots that a contract change adds or removes.
#[test]
fn limit_follows_contract_slots() {
    let mut harness = Harness::new(Span::ZERO);
    for slots in [0, 8, 2, 6] {
        harness
            .controller
            .step(Event::Change(Slots::new(slots), Span::from_millis(500)), harness.now);
        assert_eq!(harness.limit(), slots);
    }
}

/// Guards against a cold upstream that gets its full limit immediately.
#[test]
fn limit_grows_during_warmup() {
    let mut harness = Harness::new(Span::from_secs(10));
    let mut limits = Vec::new();
    for _ in 0..=10 {
        limits.push(harness.limit());
        harness.now = harness.now + Span::from_secs(1);
    }
    assert_eq!((limits[0], limits[10]), (1, SLOTS));
    assert!(limits.is_sorted(), "{limits:?}");
}

/// Guards against long requests that occupy every slot, so that a short one has to wait for them.
#[test]
fn reserves_a_slot_for_short_requests() {
    let mut harness = Harness::with_known_service_times();
    let long = (0..10).filter(|_| harness.try_start(harness.long).is_some()).count();
    assert!(long >= 1 && long < SLOTS as usize, "{long} long requests run");
    assert!(harness.try_start(harness.short).is_some());
}

/// Guards against short requests that wait behind long ones that arrived earlier.
#[test]
fn short_requests_overtake_long_ones() {
    let mut harness = Harness::with_known_service_times();
    while harness.try_start(harness.long).is_some() {}
    let mut running = Vec::new();
    let waiting = loop {
        let (request_id, actions) = harness.acquire(harness.short);
        if !actions.contains(&Action::Start(request_id)) {
            break request_id;
        }
        running.push(request_id);
    };
    let actions = harness.finish(running[0], AttemptOutcome::Answered);
    assert!(actions.contains(&Action::Start(waiting)), "{actions:?}");
}

/// Guards against queueing a request that cannot be answered before its deadline.
#[test]
fn refuses_requests_that_would_miss_their_deadline() {
    let mut harness = Harness::with_known_service_times();
    while harness.try_start(harness.short).is_some() {}
    let request_id = RequestId::new(u128::MAX);
    let deadline = harness.now + Span::from_millis(5);
    let request = SlotRequest {
        request_id,
        class: harness.short,
        since: harness.now,
        deadline,
        may_wait: true,
    };
    let actions = harness.controller.step(Event::Acquire(request), harness.now);
    assert!(actions.contains(&Action::Refuse(request_id, RefusalReason::Overload)), "{actions:?}");
}

/// Guards against an unbounded time in the queue.
#[test]
fn refuses_requests_that_exceed_the_maximum_wait() {
    let mut harness = Harness::with_known_service_times();
    while harness.try_start(harness.short).is_some() {}
    let (request_id, _) = harness.acquire(harness.short);
    let wakeup = harness.controller.next_wakeup(harness.now).expect("a request waits");
    assert!(wakeup.since(harness.now) <= Span::from_millis(500));
    let actions = harness.controller.step(Event::Tick, wakeup);
    assert!(actions.contains(&Action::Refuse(request_id, RefusalReason::Overload)), "{actions:?}");
}

/// Guards against a fixed service time for all upstreams.
#[test]
fn learns_service_time_per_upstream() {
    let learned_service_time = |service_time| {
        let mut harness = Harness::new(Span::ZERO);
        for _ in 0..50 {
            harness.run(harness.short, service_time, AttemptOutcome::Answered);
        }
        harness.controller.load(harness.now).service
    };
    let (fast, slow) =
        (learned_service_time(Span::from_millis(10)), learned_service_time(Span::from_millis(40)));
    assert_eq!((fast, slow), (Span::from_millis(10), Span::from_millis(40)));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request(bool),
    Finish(u8, u8),
    Withdraw(u8),
    Advance(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Request),
        (any::<u8>(), 0u8..4).prop_map(|(which, outcome)| Step::Finish(which, outcome)),
        any::<u8>().prop_map(Step::Withdraw),
        (0u32..300_000).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against slots that are assigned twice or leaked, and against requests that are
    /// neither started, refused nor withdrawn.
    #[test]
    fn every_request_ends_exactly_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut harness = Harness::new(Span::ZERO);
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for step in steps {
            let actions = match step {
                Step::Request(long) => {
                    let class = if long { harness.long } else { harness.short };
                    let (request_id, actions) = harness.acquire(class);
                    waiting.push(request_id);
                    actions
                }
                Step::Finish(which, outcome) if !running.is_empty() => {
                    let request_id = running.swap_remove(usize::from(which) % running.len());
                    let outcome = [
                        AttemptOutcome::Answered,
                        AttemptOutcome::Shed,
                        AttemptOutcome::Lost,
                        AttemptOutcome::Cancelled,
                    ][usize::from(outcome)];
                    harness.finish(request_id, outcome)
                }
                Step::Withdraw(which) if !waiting.is_empty() => {
                    let request_id = waiting[usize::from(which) % waiting.len()];
                    harness.controller.step(Event::Withdraw(request_id), harness.now)
                }
                Step::Advance(micros) => {
                    harness.now = harness.now + Span::from_micros(u64::from(micros));
                    harness.controller.step(Event::Tick, harness.now)
                }
                Step::Finish(..) | Step::Withdraw(_) => Vec::new(),
            };
            for action in actions {
                match action {
                    Action::Wait(_) => {}
                    Action::Start(request_id) => {
                        prop_assert!(waiting.contains(&request_id));
                        waiting.retain(|other| *other != request_id);
                        running.push(request_id);
                    }
                    Action::Refuse(request_id, _) | Action::Withdrawn(request_id) => {
                        prop_assert!(waiting.contains(&request_id));
                        waiting.retain(|other| *other != request_id);
                    }
                }
            }
            prop_assert_eq!(harness.controller.running().get() as usize, running.len());
            prop_assert_eq!(harness.controller.waiting(), waiting.len());
            prop_assert!(running.len() <= SLOTS as usize);
        }
    }
}
