//! What an agent believes of its upstream.

use yuccacroft_core::{
    ids::Incarnation,
    route::{ServiceName, Target},
    time::{Moment, Span},
    units::Slots,
    upstream::{Check, Id, Monitor, Number, Outcome, Phase, Report, Silence},
};

const START: Moment = Moment::new(1_000_000);
const INTERVAL: Span = Span::from_millis(1_000);

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn report(born: u64, number: u64, phase: Phase) -> Report {
    Report {
        id: Id::new("upstream-1"),
        incarnation: Incarnation::new(born),
        number: Number::new(number),
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
    assert_eq!(monitor.handle_report(report(10, 1, Phase::Ready), None, START), Outcome::Changed);
    monitor
}

/// Guards against new flows at an upstream whose leave was confirmed: the report takes effect
/// before its answer, and a report that a partition delayed does not undo it.
#[test]
fn a_draining_upstream_stays_so_whatever_comes_late() {
    let mut monitor = monitor();
    assert_eq!(
        monitor.handle_report(report(10, 3, Phase::Draining), None, at(1)),
        Outcome::Changed
    );
    assert!(!monitor.is_accepting());
    assert_eq!(monitor.handle_report(report(10, 2, Phase::Ready), None, at(2)), Outcome::Late);
    assert_eq!(monitor.handle_report(report(10, 3, Phase::Ready), None, at(2)), Outcome::Late);
    assert!(!monitor.is_accepting());
}

/// Guards against a report of a life that has ended and arrives behind the one of its successor.
#[test]
fn an_earlier_life_changes_nothing() {
    let mut monitor = monitor();
    assert_eq!(monitor.handle_report(report(20, 1, Phase::Ready), None, at(1)), Outcome::Reborn);
    assert_eq!(monitor.handle_report(report(10, 9, Phase::Draining), None, at(2)), Outcome::Late);
    assert!(monitor.is_accepting());
}

/// Guards against flows of one service at the upstream of another.
#[test]
fn a_report_of_another_service_is_not_taken() {
    let mut monitor = monitor();
    let foreign =
        Report { target: ServiceName::new("packs").target(), ..report(20, 1, Phase::Ready) };
    assert_eq!(monitor.handle_report(foreign, None, at(1)), Outcome::Foreign);
    assert_eq!(monitor.last_report().map(|report| report.incarnation), Some(Incarnation::new(10)));
}

/// Guards against a report that is still on its way when its sender has said that it ends.
#[test]
fn an_upstream_that_left_does_not_come_back_in_the_same_life() {
    let mut monitor = monitor();
    assert!(monitor.mark_departed(&Id::new("upstream-1")));
    assert_eq!(monitor.handle_report(report(10, 7, Phase::Ready), None, at(1)), Outcome::Late);
    assert!(monitor.is_gone());
    assert_eq!(monitor.handle_report(report(20, 1, Phase::Ready), None, at(2)), Outcome::Reborn);
    assert!(monitor.is_accepting());
}

/// Guards against new flows at a crashed upstream, and against a check of its port for each of
/// them.
#[test]
fn an_unanswered_opening_raises_doubt() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    assert!(!monitor.update_silence(at(50)));
    assert!(monitor.update_silence(at(80)));
    assert_eq!(monitor.silence(), Silence::Doubtful);
    assert!(!monitor.is_accepting());
    assert!(!monitor.update_silence(at(200)), "one check at a time");
    monitor.record_check(Check::Refused, at(201));
    assert!(monitor.is_gone());
}

/// Guards against flows that are cut although their upstream lives: one that is slow to answer
/// still accepts connections.
#[test]
fn a_slow_upstream_is_not_dead() {
    let mut monitor = monitor();
    monitor.record_data(at(10));
    assert!(!monitor.update_silence(at(200)));
    assert!(monitor.update_silence(at(400)));
    monitor.record_check(Check::Connected, at(401));
    assert_eq!(monitor.silence(), Silence::None);
    assert!(monitor.is_accepting());
}

/// Guards against a verdict of death after one lost datagram.
#[test]
fn silence_alone_takes_time_to_kill() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    monitor.update_silence(at(100));
    monitor.record_check(Check::Silent, at(400));
    assert_eq!(monitor.silence(), Silence::Doubtful);
    monitor.record_check(Check::Silent, at(700));
    assert_eq!(monitor.silence(), Silence::Dead);
    monitor.record_reply(at(701));
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against flows that are cut because the agent itself was suspended.
#[test]
fn a_suspended_agent_blames_nobody() {
    let mut monitor = monitor();
    monitor.record_opening(at(10));
    monitor.restart_timeouts(at(5_000));
    assert!(!monitor.update_silence(at(5_020)));
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against new flows at an upstream that has gone without a word.
#[test]
fn missing_reports_raise_doubt() {
    let mut monitor = monitor();
    assert!(!monitor.update_silence(at(2_900)));
    assert!(monitor.update_silence(at(3_000)));
    assert_eq!(
        monitor.handle_report(report(10, 2, Phase::Ready), None, at(3_100)),
        Outcome::Unchanged
    );
    assert_eq!(monitor.silence(), Silence::None);
}

/// Guards against probes of every upstream after a loss of power: an upstream that nobody has
/// answered yet holds no flow that an earlier life of the agent took.
#[test]
fn an_upstream_without_an_earlier_agent_holds_no_unknown_flow() {
    let own = Incarnation::new(50);
    let older = |number, phase, age| {
        let mut monitor = Monitor::new(target(), INTERVAL);
        assert!(monitor.may_hold_unknown_flows(own), "without a report nothing is known");
        monitor.handle_report(report(10, number, phase), age, START);
        monitor.may_hold_unknown_flows(own)
    };
    let soon = Some(Span::from_millis(300));
    assert!(!older(3, Phase::Ready, soon));
    assert!(older(2, Phase::Ready, Some(Span::from_millis(1_000))), "the first one was confirmed");
    assert!(older(2, Phase::Draining, soon), "a change is reported out of turn");
    assert!(older(2, Phase::Ready, None), "the wall clock was set back");
    let mut later = Monitor::new(target(), INTERVAL);
    later.handle_report(report(60, 1, Phase::Ready), None, START);
    assert!(!later.may_hold_unknown_flows(own));
}
