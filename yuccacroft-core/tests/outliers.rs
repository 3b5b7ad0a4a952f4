//! Upstreams that fail requests although they seem healthy, with and without measured outcomes.
//!
//! One balancer places requests at a service of ten upstreams, some of which fail part of them.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance},
        outcome::{Labels, Outcome, Outcomes, Record},
        pool::{AgentEntry, AgentLoad, AgentPhase, Measures, Pool, outlier::Cause},
        requirements::Requirements,
        route::{ServiceName, Target},
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
};

const UPSTREAMS: usize = 10;
const SLOTS: u32 = 4;
/// Number of agents that a flow is offered to.
const CANDIDATES: usize = 4;
const SERVICE_TIME_MS: u64 = 25;
const REPORT_INTERVAL_MS: u64 = 200;
const REVIEW_INTERVAL_MS: u64 = 100;
/// The faults of all tests begin after the records of the upstreams are full.
const FAULT_START_MS: u64 = 4_000;
const FAULT_END_MS: u64 = 12_000;

/// How an upstream fails a request, and when that is known.
#[derive(Clone, Copy, Debug)]
struct Failure {
    outcome: Outcome,
    after_ms: u64,
}

const ERRORS: Failure = Failure { outcome: Outcome::ServerError, after_ms: 1 };
const FAILURES: [Failure; 5] = [
    ERRORS,
    Failure { outcome: Outcome::NotExecuted, after_ms: 1 },
    Failure { outcome: Outcome::OpeningRefused, after_ms: 1 },
    Failure { outcome: Outcome::Overdue, after_ms: 200 },
    Failure { outcome: Outcome::Reset, after_ms: 5 },
];

/// A request at an upstream.
struct Request {
    upstream: usize,
    ends_at: u64,
    outcome: Outcome,
    labels: Labels,
}

/// A request of which the test decides whether it fails.
struct Attempt {
    upstream: usize,
    at_ms: u64,
    number: u64,
}

#[derive(Debug, Default)]
struct Results {
    sent: [u32; UPSTREAMS],
    failed: u32,
    ejections: u32,
    readmissions: u32,
    most_ejected: usize,
}

fn instance(upstream: usize) -> Instance {
    Instance::new(std::net::SocketAddrV4::new([10, 0, 0, upstream as u8].into(), 7_000))
}

fn agent_id(upstream: usize) -> AgentId {
    AgentId { instance: instance(upstream), incarnation: Incarnation::new(1) }
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn domain() -> Domain {
    Domain::new("a").unwrap()
}

fn new_pool(health: bool) -> Pool {
    let pool = Pool::new().with_requirements(Requirements { health, ..Requirements::default() });
    for upstream in 0..UPSTREAMS {
        let entry = AgentEntry {
            agent_id: agent_id(upstream),
            entry_version: 1,
            target: target(),
            domain: domain(),
            slots: Slots::new(SLOTS),
            phase: AgentPhase::Ready,
            succeeds: false,
        };
        pool.upsert(entry, Moment::default());
    }
    pool
}

fn load(active: usize, busy: Percent) -> AgentLoad {
    AgentLoad {
        accepting: true,
        active: active as u32,
        busy,
        open: Connections::new(0),
        service_time: Span::from_millis(SERVICE_TIME_MS),
        warmup: Span::ZERO,
        stopping: false,
    }
}

/// Places one request every `interval_ms` until `end_ms`. `fault` tells which requests fail.
fn run(
    health: bool,
    interval_ms: u64,
    end_ms: u64,
    fault: impl Fn(&Attempt) -> Option<Failure>,
) -> Results {
    run_with_labels(health, interval_ms, end_ms, |_| Labels::default(), fault)
}

/// The same with requests of which the agents know what they have in common.
fn run_with_labels(
    health: bool,
    interval_ms: u64,
    end_ms: u64,
    labels: impl Fn(u64) -> Labels,
    fault: impl Fn(&Attempt) -> Option<Failure>,
) -> Results {
    let pool = new_pool(health);
    let mut records: [Outcomes; UPSTREAMS] = Default::default();
    let mut busy = [Percent::default(); UPSTREAMS];
    let mut requests: Vec<Request> = Vec::new();
    let mut results = Results::default();
    let mut ejected = std::collections::HashSet::new();
    for at_ms in 0..end_ms {
        let now = Moment::default() + Span::from_millis(at_ms);
        for request in requests.extract_if(.., |request| request.ends_at <= at_ms) {
            records[request.upstream].record(&request.labels, request.outcome, now);
            results.failed += u32::from(request.outcome != Outcome::Success);
        }
        if at_ms % REPORT_INTERVAL_MS == 0 {
            for (upstream, record) in records.iter().enumerate() {
                let active = requests.iter().filter(|each| each.upstream == upstream).count();
                let mean = (busy[upstream].get() * 4 + active as u32 * 100) / 5;
                busy[upstream] = Percent::new(mean);
                pool.record_load(agent_id(upstream), load(active, busy[upstream]), now);
                let failures = record.failures();
                let measures = Measures { failures, ..Measures::default() };
                pool.record_measures(agent_id(upstream), measures, now);
            }
        }
        if at_ms % REVIEW_INTERVAL_MS == 0 {
            for change in pool.review_outliers(now) {
                results.ejections += u32::from(change.cause == Cause::Outlier);
                if change.standing.is_admitted() {
                    results.readmissions += 1;
                    ejected.remove(&change.instance);
                } else {
                    ejected.insert(change.instance);
                }
                results.most_ejected = results.most_ejected.max(ejected.len());
            }
        }
        if at_ms % interval_ms == 0 {
            let number = at_ms / interval_ms;
            let key = FlowKey::new(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let labels = labels(number);
            let candidates = pool.choose(target(), &domain(), key, CANDIDATES, now);
            let candidates = candidates.iter().map(|chosen| {
                (0..UPSTREAMS).find(|upstream| instance(*upstream) == *chosen).unwrap()
            });
            let candidates: Vec<usize> = candidates.collect();
            let accepts = |upstream: &&usize| !records[**upstream].diverts(&labels, key);
            let upstream = *candidates.iter().find(accepts).or(candidates.last()).unwrap();
            pool.record_offer(instance(upstream), now);
            results.sent[upstream] += 1;
            let failure = fault(&Attempt { upstream, at_ms, number });
            let outcome = failure.map_or(Outcome::Success, |failure| failure.outcome);
            let time = failure.map_or(SERVICE_TIME_MS, |failure| failure.after_ms);
            requests.push(Request { upstream, ends_at: at_ms + time, outcome, labels });
        }
    }
    results
}

/// Returns true for a fixed part of the requests, in percent.
fn is_chosen(attempt: &Attempt, percent: u64) -> bool {
    attempt.number.wrapping_mul(0xd134_2543_de82_ef95) >> 32 & 0xffff < percent * 0xffff / 100
}

fn is_fault_time(attempt: &Attempt) -> bool {
    (FAULT_START_MS..FAULT_END_MS).contains(&attempt.at_ms)
}

/// Guards against an upstream that fails part of its requests while its health check succeeds: one
/// that fails them quickly looks idle and draws work. It gets its share back after the fault.
#[test]
fn an_upstream_that_fails_requests_gets_probes_only() {
    for failure in FAILURES {
        let fault = |attempt: &Attempt| {
            let fails = attempt.upstream == 3 && is_chosen(attempt, 40) && is_fault_time(attempt);
            fails.then_some(failure)
        };
        let (before, after) = (run(false, 4, 12_000, fault), run(true, 4, 12_000, fault));
        assert!(after.failed * 5 < before.failed, "{failure:?}: {before:?} {after:?}");
        let later = run(true, 4, 40_000, fault);
        assert_eq!(later.readmissions, 1, "{failure:?}: {later:?}");
        let share = (later.sent[3] - after.sent[3]) * UPSTREAMS as u32 * 4;
        assert!(share > 28_000 / 2, "{failure:?}: {later:?}");
    }
}

/// Guards against the loss of capacity when the cause lies outside of the upstreams.
#[test]
fn nobody_is_ejected_when_all_fail_alike() {
    for percent in [5, 20, 40, 80] {
        let fault = |attempt: &Attempt| is_chosen(attempt, percent).then_some(ERRORS);
        let results = run(true, 4, 20_000, fault);
        assert_eq!(results.ejections, 0, "{percent} percent: {results:?}");
    }
}

/// Guards against an upstream that is admitted each time when it works for a moment.
#[test]
fn an_upstream_that_flaps_stays_ejected_longer_each_time() {
    for period_ms in [600, 1_000, 3_000] {
        let fault = |attempt: &Attempt| {
            let is_down = attempt.at_ms % period_ms < period_ms / 2;
            (attempt.upstream == 3 && is_down).then_some(ERRORS)
        };
        let (before, after) = (run(false, 4, 60_000, fault), run(true, 4, 60_000, fault));
        assert!(after.ejections <= 8, "{period_ms} ms: {after:?}");
        assert!(after.failed * 3 < before.failed, "{period_ms} ms: {before:?} {after:?}");
    }
}

/// Guards against an upstream that comes back because time has passed: where there is little traffic no
/// probe shows that it works.
#[test]
fn an_upstream_comes_back_by_its_probes_only() {
    let fault = |attempt: &Attempt| (attempt.upstream == 3).then_some(ERRORS);
    for interval_ms in [100, 500, 2_000] {
        let results = run(true, interval_ms, 120_000, fault);
        assert_eq!(results.ejections, 1, "{interval_ms} ms: {results:?}");
        assert_eq!(results.readmissions, 0, "{interval_ms} ms: {results:?}");
    }
}

/// Guards against an upstream that stays ejected after a fault, because its few probes weigh less than
/// the failures before them.
#[test]
fn a_few_good_probes_suffice_after_a_pause() {
    let mut record = Record::default();
    let failed_at = Moment::new(1_000_000);
    (0..32).for_each(|_| record.record(Outcome::ServerError, failed_at));
    let at = |minutes: u64| failed_at + Span::from_secs(60 * minutes);
    assert!(record.failures() > Percent::new(80));
    (1..=3).for_each(|minutes| record.record(Outcome::Success, at(minutes)));
    assert!(record.failures() <= Percent::new(4), "{}", record.failures());
}

/// Guards against a single success that hides an upstream which fails most requests.
#[test]
fn one_good_probe_is_no_proof() {
    let mut record = Record::default();
    (0..32).for_each(|_| record.record(Outcome::ServerError, Moment::new(1_000_000)));
    record.record(Outcome::Success, Moment::new(61_000_000));
    assert!(record.failures() >= Percent::new(10));
}

/// Guards against two upstreams of which one gets no request for an old failure, since too few are
/// left to be compared.
#[test]
fn an_old_failure_does_not_keep_an_upstream_idle() {
    let pool = new_pool(true);
    let now = Moment::new(1_000_000);
    let measures = Measures { failures: Percent::new(60), ..Measures::default() };
    pool.record_measures(agent_id(3), measures, now);
    let first = |key: u64| {
        let key = FlowKey::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        pool.choose(target(), &domain(), key, 1, now)[0]
    };
    let count = (0..2_000).filter(|key| first(*key) == instance(3)).count();
    assert!((1..200).contains(&count), "{count}");
}

/// Guards against an upstream that fails the callers of one failure domain only, a third of all: its
/// share of failures is low, but far above that of its peers.
#[test]
fn an_upstream_that_fails_callers_of_one_domain_is_ejected() {
    let fault = |attempt: &Attempt| {
        let fails =
            attempt.upstream == 3 && attempt.number.is_multiple_of(3) && is_fault_time(attempt);
        fails.then_some(ERRORS)
    };
    let (before, after) = (run(false, 4, 12_000, fault), run(true, 4, 12_000, fault));
    assert!(after.failed * 4 < before.failed, "{before:?} {after:?}");
}

/// Returns labels with the failure domain of the caller of a request.
fn domain_labels(number: u64) -> Labels {
    let domain = ["a", "b", "c"][number as usize % 3];
    Labels { class: None, domain: Some(Domain::new(domain).unwrap()) }
}

/// Guards against upstreams that go on failing the callers of one domain because the others cannot
/// carry the whole load without them: they serve the callers of the other domains.
#[test]
fn upstreams_that_fail_one_domain_serve_the_others() {
    let fault = |attempt: &Attempt| {
        let is_failing = attempt.upstream < 4 && is_fault_time(attempt);
        (is_failing && attempt.number.is_multiple_of(3)).then_some(ERRORS)
    };
    let (before, ejecting) = (run(false, 1, 12_000, fault), run(true, 1, 12_000, fault));
    let after = run_with_labels(true, 1, 12_000, domain_labels, fault);
    assert!(after.failed * 5 < before.failed, "{before:?} {after:?}");
    assert!(after.failed * 3 < ejecting.failed, "{ejecting:?} {after:?}");
    // Without the callers of one domain each gets two thirds of its usual requests at least.
    assert!(after.sent[..4].iter().all(|sent| sent * 15 > 12_000), "{after:?}");
    let later = run_with_labels(true, 1, 20_000, domain_labels, fault);
    let share = (later.sent[0] - after.sent[0]) * UPSTREAMS as u32;
    assert!(share > 8_000 / 2, "{after:?} {later:?}");
}

/// Guards against an overload of the others: they carry the load of few ejected upstreams only.
#[test]
fn no_more_are_ejected_than_the_others_can_carry() {
    let fault = |attempt: &Attempt| {
        let fails = attempt.upstream < 4 && is_chosen(attempt, 30) && is_fault_time(attempt);
        fails.then_some(ERRORS)
    };
    // About 22 of 40 slots are busy, so that 80 percent of 28 suffice.
    let results = run(true, 1, 12_000, fault);
    assert!((1..=3).contains(&results.most_ejected), "{results:?}");
}

/// Guards against a service whose flows go nowhere because only an ejected member is left.
#[test]
fn an_ejected_member_returns_when_the_others_are_gone() {
    let pool = new_pool(true);
    let now = Moment::new(1_000_000);
    for upstream in 0..UPSTREAMS {
        let failures = Percent::new(if upstream == 3 { 80 } else { 0 });
        let measures = Measures { failures, ..Measures::default() };
        pool.record_measures(agent_id(upstream), measures, now);
    }
    assert_eq!(pool.review_outliers(now).len(), 1);
    for upstream in (0..UPSTREAMS).filter(|upstream| *upstream != 3) {
        let draining = AgentLoad { accepting: false, ..load(0, Percent::new(0)) };
        pool.record_load(agent_id(upstream), draining, now);
    }
    let change = pool.review_outliers(now)[0];
    assert_eq!((change.cause, change.standing.is_admitted()), (Cause::CapacityNeeded, true));
    let chosen = pool.choose(target(), &domain(), FlowKey::new(7), 1, now);
    assert_eq!(chosen, [instance(3)]);
}

proptest! {
    /// Guards against the long requests of a healthy upstream being taken for failures: a response
    /// after the usual time withdraws the silence.
    #[test]
    fn late_responses_are_no_failures(late in proptest::collection::vec(0u32..100, 400)) {
        let (mut record, mut now) = (Record::default(), Moment::default());
        for number in late {
            now = now + Span::from_millis(30);
            if number < 3 {
                record.record(Outcome::Overdue, now);
                record.withdraw_overdue(now);
            }
            record.record(Outcome::Success, now);
            prop_assert_eq!(record.failures(), Percent::new(0));
        }
    }
}

/// Guards against blame for the upstream when its agent was paused or is slow: the responses wait in
/// the agent's socket.
#[test]
fn silence_after_a_pause_of_the_agent_is_no_failure() {
    let mut outcomes = Outcomes::default();
    outcomes.record_pause(Moment::new(1_000_000));
    let mut fall_silent = |micros| {
        (0..20).for_each(|_| {
            outcomes.record(&Labels::default(), Outcome::Overdue, Moment::new(micros));
        });
        outcomes.failures()
    };
    assert_eq!(fall_silent(1_100_000), Percent::new(0));
    assert!(fall_silent(1_500_000) > Percent::new(50));
}
