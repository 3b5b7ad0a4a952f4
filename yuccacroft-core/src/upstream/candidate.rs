//! A run of the upstream that reports although the known run appears to have started later.

use {
    super::{ReportNumber, UpstreamId, UpstreamReport},
    crate::{ids::Incarnation, time::Moment},
};

/// What identifies one run of an upstream. An upstream may start again under its former id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RunId {
    pub id: UpstreamId,
    pub incarnation: Incarnation,
}

/// A run whose start time does not prove that it follows the known one.
///
/// Either its reports are late, and it has ended, or the wall clock was set back before it started.
/// Late reports end, while a running upstream goes on reporting.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub run: RunId,
    /// The number of its latest report.
    pub number: ReportNumber,
    /// The time of its first report.
    pub first_seen: Moment,
}

impl RunId {
    /// Returns the id of the run that sent a report.
    pub fn of(report: &UpstreamReport) -> Self {
        Self { id: report.id.clone(), incarnation: report.incarnation }
    }
}

impl Candidate {
    /// Creates the state of a run at its first report.
    pub fn new(report: &UpstreamReport, now: Moment) -> Self {
        Self { run: RunId::of(report), number: report.number, first_seen: now }
    }
}
