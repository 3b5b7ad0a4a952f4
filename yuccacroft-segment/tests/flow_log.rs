//! Tests of the log that limits its lines per second.

mod support;

use {
    crate::support::{Capture, Line},
    slog::info,
    yuccacroft_core::time::{Moment, Span},
    yuccacroft_segment::flow_log::FlowLog,
};

/// More lines than the log writes in one second.
const BURST: usize = 5_000;
const SECOND: Span = Span::from_secs(1);
const START: Moment = Moment::new(1_000_000);

/// Writes a burst of normal lines and of failures and returns how many were left out.
fn write_burst(flow_log: &FlowLog, capture: &Capture, now: Moment) -> [usize; 2] {
    let normal = (0..BURST).filter_map(|_| flow_log.normal(now)).map(|log| info!(log, "n")).count();
    let failures =
        (0..BURST).filter_map(|_| flow_log.failure(now)).map(|log| info!(log, "f")).count();
    assert_eq!(capture.take().len(), normal + failures);
    [BURST - normal, BURST - failures]
}

fn left_out([normal, failures]: [usize; 2]) -> Line {
    let fields = [("usual", normal), ("trouble", failures)];
    let fields = fields.map(|(name, count)| (name.to_owned(), count.to_string()));
    Line { event: "lines left out".to_owned(), fields: fields.into() }
}

/// Guards against the count of a last burst that is never written, so that the log seems complete.
#[test]
fn count_of_a_last_burst_is_written_without_a_further_line() {
    let capture = Capture::default();
    let flow_log = FlowLog::new(capture.logger());
    let suppressed = write_burst(&flow_log, &capture, START);
    assert!(suppressed.iter().all(|count| *count > 0), "{suppressed:?}");
    flow_log.flush(START + SECOND);
    assert_eq!(capture.take(), [left_out(suppressed)]);
}

/// Guards against a flush that writes more than one line a second, or the same count twice.
#[test]
fn flushes_write_at_most_one_line_a_second() {
    let capture = Capture::default();
    let flow_log = FlowLog::new(capture.logger());
    flow_log.flush(START);
    let suppressed = write_burst(&flow_log, &capture, START);
    for millis in 0..1_000 {
        flow_log.flush(START + Span::from_millis(millis));
    }
    assert_eq!(capture.take(), []);
    for millis in 1_000..3_000 {
        flow_log.flush(START + Span::from_millis(millis));
    }
    assert!(flow_log.normal(START + SECOND.saturating_mul(3)).is_some());
    assert_eq!(capture.take(), [left_out(suppressed)]);
}

/// Guards against a flush that begins a new second early and so raises the limit of lines.
#[test]
fn flushes_leave_the_limit_unchanged() {
    let capture = Capture::default();
    let flow_log = FlowLog::new(capture.logger());
    flow_log.flush(START + SECOND);
    let now = START + SECOND + Span::from_millis(900);
    let suppressed = write_burst(&flow_log, &capture, now);
    let later = now + Span::from_millis(200);
    flow_log.flush(later);
    assert_eq!(write_burst(&flow_log, &capture, later), [BURST, BURST]);
    flow_log.flush(now + SECOND);
    assert_eq!(capture.take(), [left_out(suppressed.map(|count| count + BURST))]);
}
