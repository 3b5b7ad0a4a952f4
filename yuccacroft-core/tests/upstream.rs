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
    monitor.record_check(ConnectResult::Refused, at(201));
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
    monitor.record_check(ConnectResult::Connected, at(401));
    assert_eq!(monitor.silence(), Silence::None);
    assert!(monitor.is_accepting());
}

/// Guards against an upstream that counts as dead after one lost datagram.
#[test]
fn silence_counts_as_death_only_after_a_timeout() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    monitor.update_silence(at(100));
    monitor.record_check(ConnectResult::Silent, at(400));
    assert_eq!(monitor.silence(), Silence::Doubtful);
    monitor.record_check(ConnectResult::Silent, at(700));
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

/// Guards against probes of every upstream after a power loss: an upstream whose first report has
/// not been confirmed yet holds no flow that an earlier incarnation of the agent accepted.
#[test]
fn an_upstream_without_an_earlier_agent_holds_no_unknown_flow() {
    let own = Incarnation::new(50);
    let may_hold = |number, phase, age| {
        let mut monitor = Monitor::new(target(), INTERVAL);
        assert!(monitor.may_hold_unknown_flows(own), "without a report nothing is known");
        monitor.handle_report(report(10, number, phase), age, START);
        monitor.may_hold_unknown_flows(own)
    };
    let before_confirmation = Some(Span::from_millis(300));
    assert!(!may_hold(3, UpstreamPhase::Ready, before_confirmation));
    assert!(
        may_hold(2, UpstreamPhase::Ready, Some(Span::from_millis(1_000))),
        "the first one was confirmed"
    );
    assert!(
        may_hold(2, UpstreamPhase::Draining, before_confirmation),
        "a change is reported out of turn"
    );
    assert!(may_hold(2, UpstreamPhase::Ready, None), "the wall clock was set back");
    let mut later = Monitor::new(target(), INTERVAL);
    later.handle_report(report(60, 1, UpstreamPhase::Ready), None, START);
    assert!(!later.may_hold_unknown_flows(own));
}
