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
                limiter.record_opening(now);
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
