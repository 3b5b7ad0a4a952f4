//! Tests of the limits on the new flows of an upstream. The load that they answer: a failure domain
//! comes back with cold upstreams, and all balancers send them their share at once.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        limits::{FlowRate, Limiter, ServiceLimits, Tolerance, UpstreamState},
        time::{Moment, Span},
        units::{Connections, Percent},
    },
};

const START: Moment = Moment::new(60_000_000);
const SECOND: Span = Span::from_secs(1);
const TOLERANCE: Tolerance = Tolerance { factor: Percent::new(150), slack: Percent::new(500) };
const COLD: UpstreamState = UpstreamState {
    is_warming_up: Some(true),
    had_earlier_agent: false,
    held: Connections::new(0),
    waiting: 0,
};

fn warmup(per_second: u32) -> ServiceLimits {
    let warmup_rate = Some(FlowRate::from_hundredths(per_second * 100));
    ServiceLimits { warmup_rate, ..ServiceLimits::default() }
}

fn limiter(limits: ServiceLimits) -> Limiter {
    let mut limiter = Limiter::new(TOLERANCE);
    limiter.set_limits(limits);
    limiter
}

fn room(limiter: &Limiter, upstream: UpstreamState, now: Moment) -> Option<u32> {
    limiter.room(upstream, now).map(Connections::get)
}

proptest! {
    /// Guards against more new flows than a cold upstream bears in any one second, however the offers
    /// are spread.
    #[test]
    fn no_second_has_more_flows_than_allowed(
        pauses in prop::collection::vec(0u64..400, 1..200),
        per_second in 1u32..20,
    ) {
        let mut limiter = limiter(warmup(per_second));
        let (mut now, mut opened) = (START, Vec::new());
        for pause in pauses {
            now = now + Span::from_millis(pause);
            if room(&limiter, COLD, now) != Some(0) {
                limiter.record(now);
                opened.push(now);
            }
        }
        let allowed = f64::from(per_second) * 1.5 + 5.0;
        for from in &opened {
            let in_window = opened.iter().filter(|at| *at >= from && at.since(*from) <= SECOND);
            prop_assert!(in_window.count() as f64 <= allowed);
        }
    }
}

/// What a caller does next on its flow, which it opens again once it is closed.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request,
    Close,
}

proptest! {
    /// Guards against more requests in any one second than a cold upstream bears, when some come on new
    /// flows and some on flows that have been open for long or idle since their opening.
    #[test]
    fn no_second_has_more_requests_than_allowed(
        steps in prop::collection::vec(
            (0u64..300, 0usize..8, prop_oneof![9 => Just(Step::Request), 1 => Just(Step::Close)]),
            1..300,
        ),
        per_second in 1u32..20,
    ) {
        let mut limiter = limiter(warmup(per_second));
        // For each flow the time of its opening, or `None` after its first request.
        let mut flows: [Option<Option<Moment>>; 8] = [None; 8];
        let (mut now, mut sent) = (START, Vec::new());
        for (pause, index, step) in steps {
            now = now + Span::from_millis(pause);
            match (step, flows[index]) {
                (Step::Close, _) => flows[index] = None,
                (Step::Request, None) => {
                    if limiter.take_opening(COLD, now) {
                        flows[index] = Some(Some(now));
                    }
                }
                (Step::Request, Some(opened_at)) => {
                    if limiter.take_request(COLD, opened_at, now) {
                        flows[index] = Some(None);
                        sent.push(now);
                    }
                }
            }
        }
        let allowed = f64::from(per_second) * 1.5 + 5.0;
        for from in &sent {
            let in_window = sent.iter().filter(|at| *at >= from && at.since(*from) <= SECOND);
            prop_assert!(in_window.count() as f64 <= allowed);
        }
    }
}

/// Guards against a first request that waits although its flow was let in for it, and against one that
/// uses room which others have been given since.
#[test]
fn a_first_request_has_the_room_of_its_flow_for_one_window() {
    let at = |millis| START + Span::from_millis(millis);
    let full = || {
        let mut limiter = limiter(warmup(2));
        (0..8).for_each(|_| assert!(limiter.take_opening(COLD, START)));
        assert!(!limiter.take_opening(COLD, START));
        limiter
    };
    assert!(full().take_request(COLD, Some(START), at(1_000)));
    assert!(!full().take_request(COLD, None, at(1_000)));
    let mut late = full();
    (0..8).for_each(|_| assert!(late.take_opening(COLD, at(1_050))));
    assert!(!late.take_request(COLD, Some(START), at(1_060)));
}

/// Guards against new flows that keep requests on open flows waiting.
#[test]
fn waiting_requests_go_before_new_flows() {
    let waiting = UpstreamState { waiting: 7, ..COLD };
    let mut limiter = limiter(warmup(2));
    assert_eq!(room(&limiter, waiting, START), Some(1));
    assert!(limiter.take_opening(waiting, START) && !limiter.take_opening(waiting, START));
    assert!(limiter.take_request(waiting, None, START));
}

/// Guards against room that stays taken by a request that did not go to the upstream.
#[test]
fn room_that_is_not_used_is_given_back() {
    let mut limiter = limiter(warmup(2));
    assert!(limiter.take_request(COLD, None, START) && limiter.release(START));
    assert!(!limiter.release(START));
    assert_eq!(room(&limiter, COLD, START), Some(8));
}

/// Guards against an upstream that is spared for longer than its warm-up, or without a limit.
#[test]
fn a_warm_upstream_and_one_without_a_rate_have_no_limit() {
    let warm = UpstreamState { is_warming_up: Some(false), ..COLD };
    assert_eq!(room(&limiter(warmup(2)), COLD, START), Some(8));
    assert_eq!(room(&limiter(warmup(2)), warm, START), None);
    assert_eq!(room(&limiter(ServiceLimits::default()), COLD, START), None);
}

/// Guards against the flows of two processes of an agent within one second.
#[test]
fn a_new_process_assumes_that_the_allowance_is_used_up() {
    let restarted = UpstreamState { had_earlier_agent: true, ..COLD };
    let limiter = limiter(warmup(2));
    assert_eq!(room(&limiter, restarted, Moment::default() + Span::from_millis(900)), Some(0));
    assert_eq!(room(&limiter, restarted, Moment::default() + Span::from_millis(1_100)), Some(8));
}

/// Guards against a burst at a cold upstream before a balancer has told its limits, and against an
/// agent that takes no flows after a restart while its upstream may be warm.
#[test]
fn without_limits_a_cold_upstream_gets_the_slack() {
    let limiter = Limiter::new(TOLERANCE);
    assert_eq!(room(&limiter, COLD, START), Some(5));
    let unknown = UpstreamState { is_warming_up: None, ..COLD };
    assert_eq!(room(&limiter, unknown, START), None);
}

/// Guards against more flows than an upstream holds.
#[test]
fn an_upstream_holds_its_number_of_flows() {
    let limits = ServiceLimits { max_flows: Some(Connections::new(10)), warmup_rate: None };
    let state =
        |held| UpstreamState { is_warming_up: Some(false), held: Connections::new(held), ..COLD };
    assert_eq!(room(&limiter(limits), state(7), START), Some(3));
    assert_eq!(room(&limiter(limits), state(11), START), Some(0));
}

/// Guards against a rate in a log that is read back as another one.
#[test]
fn a_rate_round_trips_through_text() {
    let rate = FlowRate::from_hundredths(250);
    assert_eq!(rate.to_string(), "2.50/s");
    assert_eq!("2.50/s".parse(), Ok(rate));
    assert!("-1/s".parse::<FlowRate>().is_err());
}
