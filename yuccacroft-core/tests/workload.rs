//! Tests of what a request can expect at an upstream, for the loads that press it to its limit.

use yuccacroft_core::{
    admission::{
        service_times::ServiceTimes,
        unknown::UnknownRequests,
        workload::{AcceptedFlows, Outlook, ServiceTime, Workload},
    },
    route::{Priority, TrafficClass},
    time::{Moment, Span},
    units::Slots,
};

const START: Moment = Moment::new(1_000_000);
const SLOTS: Slots = Slots::new(3);
const CLASS: TrafficClass = TrafficClass {
    priority: Priority::new(1),
    objective: Span::from_millis(300),
    timeout: Span::from_millis(1_500),
};

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

fn outlook(requests: u32, service: ServiceTime) -> Outlook {
    Workload::new(SLOTS, requests, service.mean).outlook(&CLASS, service)
}

/// Guards against refusals while slots are free, and against requests that are accepted although they
/// cannot be answered: a swing of the demand from half of the slots to far beyond them.
#[test]
fn the_outlook_follows_a_swing_of_the_demand() {
    let service = ServiceTime { mean: millis(60), tail: millis(100) };
    let outlooks = [0, 2, 12, 13, 40, 73, 75].map(|requests| outlook(requests, service));
    let (on_time, late, past_timeout) = (Outlook::OnTime, Outlook::Late, Outlook::PastTimeout);
    assert_eq!(outlooks, [on_time, on_time, on_time, late, late, late, past_timeout]);
}

/// Guards against an upstream that has become slow and still counts as one that answers in time.
#[test]
fn the_outlook_follows_a_slow_upstream() {
    let mut times = ServiceTimes::default();
    (0..100).for_each(|number| times.record(millis(40), at(number * 10)));
    assert_eq!(times.service_time().map(|time| outlook(6, time)), Some(Outlook::OnTime));
    (0..20).for_each(|number| times.record(millis(400), at(3_000 + number * 100)));
    assert_eq!(times.service_time().map(|time| outlook(6, time)), Some(Outlook::Late));
    (0..100).for_each(|number| times.record(millis(40), at(10_000 + number * 50)));
    assert_eq!(times.service_time().map(|time| outlook(6, time)), Some(Outlook::OnTime));
}

/// Guards against judgements by the first few requests after a start.
#[test]
fn a_few_service_times_prove_nothing() {
    let mut times = ServiceTimes::default();
    (0..7).for_each(|_| times.record(millis(5_000), START));
    assert_eq!(times.service_time(), None);
}

/// Guards against a wave of openings that are all accepted before the first of their requests is
/// there, as when retries add a third to the load.
#[test]
fn accepted_flows_count_until_their_requests_arrive() {
    let mut accepted = AcceptedFlows::default();
    (0..30).for_each(|_| accepted.record(START));
    assert_eq!(accepted.count(at(5)), 30);
    assert_eq!(accepted.count(at(20)), 0);
}

/// Guards against a flood after a restart of the agent: requests from before it hold slots. They are
/// forgotten once the upstream no longer reports them.
#[test]
fn unknown_requests_count_while_the_upstream_reports_them() {
    let mut unknown = UnknownRequests::default();
    assert_eq!(unknown.count(START), 0);
    unknown.record(15, 4, START);
    assert_eq!(unknown.count(at(100)), 11);
    unknown.record(3, 4, at(100));
    assert_eq!(unknown.count(at(100)), 0);
    unknown.record(9, 2, at(200));
    assert_eq!(unknown.count(at(700)), 0, "without a response nothing proves that they still run");
}
