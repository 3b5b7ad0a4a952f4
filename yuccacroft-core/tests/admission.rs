//! Admission under wrong hints, cold and stuck upstreams, and long work.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        admission::{
            Action, Ask, Event, Gate, Settings,
            class::Class,
            limit::{Hint, Observed},
        },
        controller::Controller,
        ids::RequestId,
        request::Reason,
        time::{Moment, Span},
        units::Slots,
    },
};

const DEADLINE: Span = Span::from_secs(5);
const SLOTS: u32 = 4;

struct Bench {
    gate: Gate,
    short: Class,
    long: Class,
    next: u128,
    now: Moment,
}

impl Bench {
    fn new(warmup: Span) -> Self {
        let wait = Span::from_millis(500);
        let settings = Settings { slots: Slots::new(SLOTS), wait, warmup };
        let mut gate = Gate::new(settings, Moment::default());
        let (short, long) = (gate.classify("POST", "/reserve"), gate.classify("GET", "/render"));
        Self { gate, short, long, next: 0, now: Moment::default() }
    }

    /// Learns that a reservation takes 10 ms and a render a second.
    fn taught() -> Self {
        let mut bench = Self::new(Span::ZERO);
        for _ in 0..20 {
            bench.run(bench.short, Span::from_millis(10), Observed::Answered);
        }
        bench.run(bench.long, Span::from_secs(1), Observed::Answered);
        bench.now = bench.now + Span::from_secs(10);
        bench
    }

    fn ask(&mut self, class: Class) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let call = RequestId::new(self.next);
        let (since, deadline) = (self.now, self.now + DEADLINE);
        let ask = Ask { call, class, since, deadline, may_wait: true };
        (call, self.gate.step(Event::Ask(ask), self.now))
    }

    fn starts(&mut self, class: Class) -> Option<RequestId> {
        let (call, actions) = self.ask(class);
        actions.contains(&Action::Start(call)).then_some(call)
    }

    fn finish(&mut self, call: RequestId, observed: Observed) -> Vec<Action> {
        self.gate.step(Event::Finish(call, observed), self.now)
    }

    fn run(&mut self, class: Class, took: Span, observed: Observed) {
        if let Some(call) = self.starts(class) {
            self.now = self.now + took;
            self.finish(call, observed);
        } else {
            self.now = self.now + took;
            self.run_started(observed);
        }
    }

    /// Lets time pass and finishes the requests that start from the queue, so that none of them
    /// keeps a slot for ever.
    fn run_started(&mut self, observed: Observed) {
        for action in self.gate.step(Event::Tick, self.now) {
            if let Action::Start(call) = action {
                self.finish(call, observed);
            }
        }
    }

    fn limit(&self) -> u32 {
        self.gate.limit(self.now).get()
    }
}

/// Guards against an upstream that calls itself healthy while it sheds every request.
#[test]
fn lowers_the_limit_of_an_upstream_that_always_says_healthy() {
    let mut bench = Bench::new(Span::ZERO);
    for _ in 0..50 {
        bench.gate.step(Event::Hint(Hint { healthy: true, running: Slots::new(0) }), bench.now);
        bench.run(bench.short, Span::from_millis(5), Observed::Shed);
    }
    assert!(bench.limit() <= 1, "limit is {}", bench.limit());
}

/// Guards against trust in an upstream that always reports an idle machine: the agent's own count
/// decides.
#[test]
fn keeps_its_own_count_when_the_upstream_always_says_idle() {
    let mut bench = Bench::new(Span::ZERO);
    let hint = Event::Hint(Hint { healthy: true, running: Slots::new(0) });
    let started = (0..20).filter(|_| {
        bench.gate.step(hint, bench.now);
        bench.starts(bench.short).is_some()
    });
    assert_eq!(started.count(), SLOTS as usize);
}

/// Guards against an endpoint that says unhealthy for ever while the upstream answers.
#[test]
fn trusts_answers_more_than_a_stale_unhealthy_hint() {
    let mut bench = Bench::new(Span::ZERO);
    bench.gate.step(Event::Hint(Hint { healthy: false, running: Slots::new(9) }), bench.now);
    assert_eq!(bench.limit(), 1);
    bench.run(bench.short, Span::from_millis(5), Observed::Answered);
    assert_eq!(bench.limit(), SLOTS);
}

/// Guards against a stuck upstream that swallows as much work as a working one.
#[test]
fn sends_a_stuck_upstream_only_a_probe_at_a_time() {
    let mut bench = Bench::new(Span::ZERO);
    for _ in 0..10 {
        bench.run(bench.short, Span::from_secs(1), Observed::Lost);
    }
    assert!(bench.limit() <= 1);
    let started = (0..20).filter(|_| bench.starts(bench.short).is_some()).count();
    assert!(started <= 1, "{started} started");
}

/// Guards against a limit that stays low after the upstream has recovered.
#[test]
fn raises_the_limit_again_after_successes() {
    let mut bench = Bench::new(Span::ZERO);
    for _ in 0..20 {
        bench.run(bench.short, Span::from_millis(5), Observed::Shed);
    }
    bench.now = bench.now + Span::from_secs(2);
    for _ in 0..20 {
        bench.run(bench.short, Span::from_millis(5), Observed::Answered);
    }
    assert_eq!(bench.limit(), SLOTS);
}

/// Guards against slots that a contract adds but no request uses, and against ones that it takes
/// away but requests still use.
#[test]
fn follows_the_slots_of_the_contract() {
    let mut bench = Bench::new(Span::ZERO);
    for slots in [0, 8, 2, 6] {
        bench.gate.step(Event::Change(Slots::new(slots), Span::from_millis(500)), bench.now);
        assert_eq!(bench.limit(), slots);
    }
}

/// Guards against a cold upstream that gets its full share at once.
#[test]
fn lets_a_cold_upstream_grow_over_its_warmup() {
    let mut bench = Bench::new(Span::from_secs(10));
    let mut limits = Vec::new();
    for _ in 0..=10 {
        limits.push(bench.limit());
        bench.now = bench.now + Span::from_secs(1);
    }
    assert_eq!((limits[0], limits[10]), (1, SLOTS));
    assert!(limits.is_sorted(), "{limits:?}");
}

/// Guards against renders that take every slot, so that a reservation has to wait for one.
#[test]
fn keeps_a_slot_free_of_long_work() {
    let mut bench = Bench::taught();
    let long = (0..10).filter(|_| bench.starts(bench.long).is_some()).count();
    assert!(long >= 1 && long < SLOTS as usize, "{long} long requests run");
    assert!(bench.starts(bench.short).is_some());
}

/// Guards against short work that waits behind long work which came first.
#[test]
fn lets_short_work_overtake_long_work() {
    let mut bench = Bench::taught();
    while bench.starts(bench.long).is_some() {}
    let mut running = Vec::new();
    let waiting = loop {
        let (call, actions) = bench.ask(bench.short);
        if !actions.contains(&Action::Start(call)) {
            break call;
        }
        running.push(call);
    };
    let actions = bench.finish(running[0], Observed::Answered);
    assert!(actions.contains(&Action::Start(waiting)), "{actions:?}");
}

/// Guards against work that is taken in although it cannot be answered in time.
#[test]
fn refuses_early_what_cannot_be_answered_in_time() {
    let mut bench = Bench::taught();
    while bench.starts(bench.short).is_some() {}
    let call = RequestId::new(u128::MAX);
    let deadline = bench.now + Span::from_millis(5);
    let ask = Ask { call, class: bench.short, since: bench.now, deadline, may_wait: true };
    let actions = bench.gate.step(Event::Ask(ask), bench.now);
    assert!(actions.contains(&Action::Refuse(call, Reason::Overload)), "{actions:?}");
}

/// Guards against a wait without a bound.
#[test]
fn refuses_what_waited_as_long_as_its_class_may() {
    let mut bench = Bench::taught();
    while bench.starts(bench.short).is_some() {}
    let (call, _) = bench.ask(bench.short);
    let wake = bench.gate.wake(bench.now).expect("a request waits");
    assert!(wake.since(bench.now) <= Span::from_millis(500));
    let actions = bench.gate.step(Event::Tick, wake);
    assert!(actions.contains(&Action::Refuse(call, Reason::Overload)), "{actions:?}");
}

/// Guards against one guess for all upstreams: the service time of each is learned.
#[test]
fn learns_the_speed_of_each_upstream() {
    let speed = |took| {
        let mut bench = Bench::new(Span::ZERO);
        for _ in 0..50 {
            bench.run(bench.short, took, Observed::Answered);
        }
        bench.gate.load(bench.now).service
    };
    let (fast, slow) = (speed(Span::from_millis(10)), speed(Span::from_millis(40)));
    assert_eq!((fast, slow), (Span::from_millis(10), Span::from_millis(40)));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(bool),
    Finish(u8, u8),
    Withdraw(u8),
    Pass(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Ask),
        (any::<u8>(), 0u8..4).prop_map(|(which, how)| Step::Finish(which, how)),
        any::<u8>().prop_map(Step::Withdraw),
        (0u32..300_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against a slot that is given twice or lost, and against a request without a fate.
    #[test]
    fn gives_each_request_one_fate(steps in prop::collection::vec(step(), 1..200)) {
        let mut bench = Bench::new(Span::ZERO);
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for step in steps {
            let actions = match step {
                Step::Ask(long) => {
                    let class = if long { bench.long } else { bench.short };
                    let (call, actions) = bench.ask(class);
                    waiting.push(call);
                    actions
                }
                Step::Finish(which, how) if !running.is_empty() => {
                    let call = running.swap_remove(usize::from(which) % running.len());
                    let how = [
                        Observed::Answered,
                        Observed::Shed,
                        Observed::Lost,
                        Observed::Cancelled,
                    ][usize::from(how)];
                    bench.finish(call, how)
                }
                Step::Withdraw(which) if !waiting.is_empty() => {
                    let call = waiting[usize::from(which) % waiting.len()];
                    bench.gate.step(Event::Withdraw(call), bench.now)
                }
                Step::Pass(micros) => {
                    bench.now = bench.now + Span::from_micros(u64::from(micros));
                    bench.gate.step(Event::Tick, bench.now)
                }
                Step::Finish(..) | Step::Withdraw(_) => Vec::new(),
            };
            for action in actions {
                match action {
                    Action::Wait(_) => {}
                    Action::Start(call) => {
                        prop_assert!(waiting.contains(&call));
                        waiting.retain(|other| *other != call);
                        running.push(call);
                    }
                    Action::Refuse(call, _) | Action::Withdrawn(call) => {
                        prop_assert!(waiting.contains(&call));
                        waiting.retain(|other| *other != call);
                    }
                }
            }
            prop_assert_eq!(bench.gate.running().get() as usize, running.len());
            prop_assert_eq!(bench.gate.waiting(), waiting.len());
            prop_assert!(running.len() <= SLOTS as usize);
        }
    }
}
