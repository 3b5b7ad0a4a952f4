//! Tests of the health monitoring of an upstream.

use yuccacroft_core::{
    ids::Incarnation,
    route::{ServiceName, Target},
    time::{Moment, Span},
    units::Slots,
    upstream::{
        ConnectResult, Monitor, ReportNumber, ReportOutcome, Silence, UpstreamId, UpstreamPhase,
        UpstreamReport,
    },
};

const START: Moment = Moment::new(1_000_000);
const INTERVAL: Span = Span::from_millis(1_000);

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn report(incarnation: u64, number: u64, phase: UpstreamPhase) -> UpstreamReport {
    UpstreamReport {
        id: UpstreamId::new("upstream-1"),
        incarnation: Incarnation::new(incarnation),
        number: ReportNumber::new(number),
        target: target(),
        phase,
        slots: Slots::new(4),
        warmup: Span::ZERO,
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn monitor() -> Monitor {
    let mut monitor = Monitor::new(target(), INTERVAL);
    assert_eq!(
        monitor.handle_report(report(10, 1, UpstreamPhase::Ready), None, START),
        ReportOutcome::Changed
    );
    monitor
}

/// Guards against new flows at an upstream whose drain was confirmed: the report takes effect
/// before its confirmation is sent, and a report that a partition delayed does not undo it.
#[test]
fn late_reports_do_not_undo_a_drain() {
    let mut monitor = monitor();
    assert_eq!(
        monitor.handle_report(report(10, 3, UpstreamPhase::Draining), None, at(1)),
        ReportOutcome::Changed
    );
    assert!(!monitor.is_accepting());
    assert_eq!(
        monitor.handle_report(report(10, 2, UpstreamPhase::Ready), None, at(2)),
        ReportOutcome::Late
    );
    assert_eq!(
        monitor.handle_report(report(10, 3, UpstreamPhase::Ready), None, at(2)),
        ReportOutcome::Late
    );
    assert!(!monitor.is_accepting());
}

/// Guards against a delayed report of an ended incarnation that arrives after a report of the next
/// one.
#[test]
fn an_earlier_incarnation_changes_nothing() {
    let mut monitor = monitor();
    assert_eq!(
        monitor.handle_report(report(20, 1, UpstreamPhase::Ready), None, at(1)),
        ReportOutcome::Reborn
    );
    assert_eq!(
        monitor.handle_report(report(10, 9, UpstreamPhase::Draining), None, at(2)),
        ReportOutcome::Late
    );
    assert!(monitor.is_accepting());
}

/// Guards against flows of one service at the upstream of another.
#[test]
fn a_report_of_another_service_is_ignored() {
    let mut monitor = monitor();
    let foreign = UpstreamReport {
        target: ServiceName::new("packs").target(),
        ..report(20, 1, UpstreamPhase::Ready)
    };
    assert_eq!(monitor.handle_report(foreign, None, at(1)), ReportOutcome::Foreign);
    assert_eq!(monitor.last_report().map(|report| report.incarnation), Some(Incarnation::new(10)));
}

/// Guards against a report that arrives after its sender has announced its end.
#[test]
fn a_departed_upstream_does_not_return_in_the_same_incarnation() {
    let mut monitor = monitor();
    assert!(monitor.mark_departed(&UpstreamId::new("upstream-1")));
    assert_eq!(
        monitor.handle_report(report(10, 7, UpstreamPhase::Ready), None, at(1)),
        ReportOutcome::Late
    );
    assert!(monitor.is_gone());
    assert_eq!(
        monitor.handle_report(report(20, 1, UpstreamPhase::Ready), None, at(2)),
        ReportOutcome::Reborn
    );
    assert!(monitor.is_accepting());
}

/// Guards against new flows at a crashed upstream, and against a port check for each of them.
#[test]
fn an_unanswered_opening_segment_raises_doubt() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    assert!(!monitor.update_silence(at(50)));
    assert!(monitor.update_silence(at(80)));
    assert_eq!(monitor.silence(), Silence::Doubtful);
    assert!(!monitor.is_accepting());
    assert!(!monitor.update_silence(at(200)), "one check at a time");
    monitor.record_check(at(80), ConnectResult::Refused, at(201));
    assert!(monitor.is_gone());
}

/// Guards against the loss of flows whose upstream is running but slow to answer: it still accepts
/// connections.
#[test]
fn a_slow_upstream_is_not_dead() {
    let mut monitor = monitor();
    monitor.record_data(at(10));
    assert!(!monitor.update_silence(at(200)));
    assert!(monitor.update_silence(at(400)));
    monitor.record_check(at(400), ConnectResult::Connected, at(401));
    assert_eq!(monitor.silence(), Silence::None);
    assert!(monitor.is_accepting());
}

/// Guards against an upstream that counts as dead after one lost datagram.
#[test]
fn silence_counts_as_death_only_after_a_timeout() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    monitor.update_silence(at(100));
    monitor.record_check(at(100), ConnectResult::Silent, at(400));
    assert_eq!(monitor.silence(), Silence::Doubtful);
    monitor.record_check(at(400), ConnectResult::Silent, at(700));
    assert_eq!(monitor.silence(), Silence::Dead);
    monitor.record_reply(at(701));
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against the loss of flows because the agent itself was suspended.
#[test]
fn a_suspended_agent_restarts_its_timeouts() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    monitor.restart_timeouts(at(5_000));
    assert!(!monitor.update_silence(at(5_020)));
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against new flows at an upstream that has stopped without an announcement.
#[test]
fn missing_reports_raise_doubt() {
    let mut monitor = monitor();
    assert!(!monitor.update_silence(at(2_900)));
    assert!(monitor.update_silence(at(3_000)));
    assert_eq!(
        monitor.handle_report(report(10, 2, UpstreamPhase::Ready), None, at(3_100)),
        ReportOutcome::Unchanged
    );
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against a search of flows at every upstream after a loss of power: an upstream that reports
/// in vain until its agent runs has had no earlier agent, but only a steady clock proves its age.
#[test]
fn a_young_upstream_holds_no_unknown_flow_if_the_clock_was_steady() {
    let may_hold = |age, steady_first: bool| {
        let mut monitor = Monitor::new(target(), INTERVAL);
        if steady_first {
            monitor.record_steady_clock();
        }
        monitor.handle_report(report(10, 4, UpstreamPhase::Ready), age, START);
        assert!(steady_first || monitor.may_hold_unknown_flows(), "the clock may have been set");
        monitor.record_steady_clock();
        monitor.may_hold_unknown_flows()
    };
    for steady_first in [false, true] {
        assert!(!may_hold(Some(Span::from_millis(240)), steady_first));
        // The confirmation of an earlier report delays the next one for longer than that.
        assert!(may_hold(Some(Span::from_millis(800)), steady_first));
        assert!(may_hold(None, steady_first), "the wall clock is before the start");
    }
}

/// Returns whether an upstream may hold unknown flows, whose first report to the agent has this
/// number and age and arrives at `now`.
fn may_hold(number: u64, phase: UpstreamPhase, age: Option<Span>, now: Moment) -> bool {
    let mut monitor = Monitor::new(target(), INTERVAL);
    assert!(monitor.may_hold_unknown_flows(), "without a report nothing is known");
    monitor.handle_report(report(10, number, phase), age, now);
    monitor.may_hold_unknown_flows()
}

/// Guards against probes of every upstream after a power loss: an upstream that has made no report
/// before holds no flow that an earlier incarnation of the agent accepted.
#[test]
fn an_upstream_without_an_earlier_agent_holds_no_unknown_flow() {
    let age = Some(Span::from_millis(300));
    let soon_after_start = Moment::new(10_000);
    assert!(!may_hold(1, UpstreamPhase::Ready, age, soon_after_start));
    let late = Some(Span::from_millis(1_000));
    assert!(may_hold(1, UpstreamPhase::Ready, late, soon_after_start), "the report is late");
    assert!(
        may_hold(1, UpstreamPhase::Draining, age, soon_after_start),
        "a change is reported out of turn"
    );
}

/// Guards against a denial that rests on the wall clock: it can be set back between the start of an
/// upstream and that of the agent, so that the upstream appears to be younger than it is.
#[test]
fn an_age_by_the_wall_clock_alone_proves_nothing() {
    for age in [Span::ZERO, Span::from_millis(300), Span::from_millis(900)] {
        assert!(may_hold(3, UpstreamPhase::Ready, Some(age), START), "{age}");
    }
    assert!(may_hold(1, UpstreamPhase::Ready, None, at(60_000)), "the wall clock was set back");
}

/// Guards against probes of an upstream that began while the agent was running: so few reports have
/// been made that it cannot be older than the agent.
#[test]
fn an_upstream_that_is_younger_than_its_agent_holds_no_unknown_flow() {
    let age = Some(Span::from_millis(3_500));
    assert!(may_hold(3, UpstreamPhase::Ready, age, Moment::default() + INTERVAL.saturating_mul(6)));
    assert!(!may_hold(
        3,
        UpstreamPhase::Ready,
        age,
        Moment::default() + INTERVAL.saturating_mul(7)
    ));
    let mut monitor = monitor();
    assert!(monitor.may_hold_unknown_flows());
    monitor.handle_report(report(20, 1, UpstreamPhase::Ready), None, at(500));
    assert!(monitor.may_hold_unknown_flows(), "the first run's report may have been late");
    monitor.handle_report(report(30, 1, UpstreamPhase::Ready), None, at(9_000));
    assert!(!monitor.may_hold_unknown_flows());
}

/// Guards against resets of flows that a new run took before its first report, when the wall clock
/// gives no age or one that is too short: only flows that are older than the last report of the
/// previous run, and too old for the number of reports, certainly belong to that one.
#[test]
fn a_new_run_keeps_the_flows_since_the_last_report_of_the_previous_one() {
    for age in [None, Some(Span::ZERO), Some(Span::from_millis(700))] {
        let mut monitor = monitor();
        monitor.handle_report(report(10, 2, UpstreamPhase::Ready), None, at(6_000));
        monitor.restart_timeouts(at(6_500));
        monitor.handle_report(report(20, 1, UpstreamPhase::Ready), age, at(9_000));
        assert_eq!(monitor.begun_after(), at(6_000), "{age:?}");
        monitor.handle_report(report(30, 2, UpstreamPhase::Ready), age, at(9_500));
        assert_eq!(monitor.begun_after(), at(5_500), "the report at 9 s may have been late");
    }
}

/// Guards against resets of the flows of a restarted upstream by the refusal that its predecessor's
/// port gave: a check proves nothing against a later answer.
#[test]
fn a_check_that_began_before_the_last_answer_proves_nothing() {
    for result in [ConnectResult::Refused, ConnectResult::Silent] {
        let mut monitor = monitor();
        monitor.record_opening(at(10));
        assert!(monitor.update_silence(at(80)));
        monitor.handle_report(report(20, 1, UpstreamPhase::Ready), None, at(100));
        monitor.record_check(at(80), result, at(800));
        assert_eq!(monitor.silence(), Silence::None, "{result:?}");
    }
}

/// Returns a report of a run with an id of its own.
fn report_of(id: &str, incarnation: u64, number: u64, phase: UpstreamPhase) -> UpstreamReport {
    UpstreamReport { id: UpstreamId::new(id), ..report(incarnation, number, phase) }
}

/// Returns the monitor of an upstream that crashed and started again after the wall clock had been
/// set back, when the second run has sent its first report.
fn replaced_after_clock_step() -> Monitor {
    let mut monitor = Monitor::new(target(), INTERVAL);
    monitor.handle_report(report_of("first", 2_010, 1, UpstreamPhase::Ready), None, START);
    let second = report_of("second", 1_310, 1, UpstreamPhase::Ready);
    let outcome = monitor.handle_report(second, None, at(1_300));
    assert_eq!(outcome, ReportOutcome::Late);
    assert!(!outcome.is_confirmed());
    monitor.record_check(at(1_300), ConnectResult::Connected, at(1_301));
    monitor
}

/// Guards against new flows at a draining upstream that started after the wall clock had been set
/// back: its reports were confirmed and ignored.
#[test]
fn a_run_that_goes_on_reporting_replaces_one_that_appears_newer() {
    let mut monitor = replaced_after_clock_step();
    let ready = report_of("second", 1_310, 2, UpstreamPhase::Ready);
    assert_eq!(monitor.handle_report(ready, None, at(2_300)), ReportOutcome::Reborn);
    let draining = report_of("second", 1_310, 3, UpstreamPhase::Draining);
    assert_eq!(monitor.handle_report(draining, None, at(3_300)), ReportOutcome::Changed);
    assert!(!monitor.is_accepting());
    for number in 2..4 {
        let late = report_of("first", 2_010, number, UpstreamPhase::Ready);
        let outcome = monitor.handle_report(late, None, at(3_300 + number));
        assert_eq!(outcome, ReportOutcome::Late, "the replaced run does not return");
    }
    assert!(!monitor.is_accepting());
}

/// Guards against a run that is replaced by late reports of one that has ended: while it reports
/// itself, when they arrive at once, and when nothing answers at the port.
#[test]
fn late_reports_do_not_replace_a_run() {
    let late = |number| report_of("second", 1_310, number, UpstreamPhase::Ready);
    let mut monitor = replaced_after_clock_step();
    let known = report_of("first", 2_010, 2, UpstreamPhase::Ready);
    assert_eq!(monitor.handle_report(known, None, at(1_400)), ReportOutcome::Unchanged);
    assert_eq!(monitor.handle_report(late(2), None, at(2_300)), ReportOutcome::Late);

    let mut monitor = replaced_after_clock_step();
    assert_eq!(monitor.handle_report(late(2), None, at(1_302)), ReportOutcome::Late);
    assert_eq!(monitor.handle_report(late(2), None, at(2_500)), ReportOutcome::Late, "copy");

    let mut monitor = Monitor::new(target(), INTERVAL);
    monitor.handle_report(report_of("first", 2_010, 1, UpstreamPhase::Ready), None, START);
    monitor.handle_report(late(1), None, at(3_000));
    monitor.record_check(at(3_000), ConnectResult::Refused, at(3_001));
    assert_eq!(monitor.handle_report(late(2), None, at(4_000)), ReportOutcome::Late);
    assert!(monitor.is_gone());
}

/// Guards against a connection for each report of a run that repeats unconfirmed reports quickly.
#[test]
fn port_checks_are_limited() {
    let mut monitor = replaced_after_clock_step();
    assert!(monitor.start_check(at(1_300)));
    assert!(!monitor.start_check(at(1_500)));
    assert!(monitor.start_check(at(1_550)));
}

/// Guards against a drain that is confirmed and not in force: a report that was ignored is not
/// confirmed.
#[test]
fn an_ignored_report_is_not_confirmed() {
    let mut monitor = monitor();
    let late = monitor.handle_report(report(10, 1, UpstreamPhase::Draining), None, at(1));
    assert!(!late.is_confirmed());
    let earlier = monitor.handle_report(report(9, 1, UpstreamPhase::Draining), None, at(2));
    assert!(!earlier.is_confirmed());
}
