//! Health monitoring of the upstream that runs next to an agent.
//!
//! An upstream reports its state periodically. Between reports the agent infers its health from its
//! answers: a running upstream answers every opening segment at once, at least with a bounce.

mod candidate;

use {
    self::candidate::{Candidate, RunId},
    crate::{
        ids::Incarnation,
        route::Target,
        time::{Moment, Span},
        units::Slots,
    },
    std::fmt::{Display, Formatter},
};

/// Time without any answer to an opening segment after which an upstream is suspected. A running
/// upstream answers within a few milliseconds even if all its slots are in use.
const OPENING_DOUBT_TIMEOUT: Span = Span::from_millis(60);
/// Time without any answer to data after which an upstream is suspected. It is longer than one
/// request, since an upstream with a single flow is silent while it processes a request.
const DATA_DOUBT_TIMEOUT: Span = Span::from_millis(300);
/// Time without any answer after which an upstream that accepts no connection is dead.
const DEATH_TIMEOUT: Span = Span::from_millis(600);
/// Number of report intervals without a report after which an upstream is suspected.
const MISSED_REPORTS: u64 = 3;
/// Minimum time between a confirmed report and the next one, in percent of the report interval. It
/// is below 100 because the interval is approximate.
const MIN_CONFIRMED_INTERVAL_PERCENT: u64 = 75;
/// The number of the first report of a run.
const FIRST_REPORT: ReportNumber = ReportNumber::new(1);
/// Maximum time from one report to the next, in report intervals: one until the report is due, and
/// one until the upstream stops waiting for its confirmation.
const MAX_REPORT_GAP_INTERVALS: u64 = 2;
/// Age that is assumed for an upstream whose start time cannot be derived from the wall clock: too
/// old to count as fresh.
const UNKNOWN_AGE: Span = Span::from_secs(3_600);
/// Minimum time between two port checks of an upstream, since each check costs it a connection.
const CHECK_INTERVAL: Span = Span::from_millis(250);

/// The id of one run of an upstream, which changes with each restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(Box<str>);

newtype! {
    /// The sequence number of a report, which increases within one incarnation of an upstream.
    ReportNumber(u64), "a report number"
}

/// Whether an upstream takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// The upstream takes new flows.
    Ready,
    /// The upstream is about to stop: it keeps its flows and takes no new ones.
    Draining,
}

/// A report of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The incarnation of the upstream: its start time in milliseconds of the wall clock.
    pub incarnation: Incarnation,
    /// The sequence number of the report.
    pub number: ReportNumber,
    /// The service of the upstream.
    pub target: Target,
    /// Whether the upstream takes new flows.
    pub phase: UpstreamPhase,
    /// The maximum number of requests that the upstream processes concurrently.
    pub slots: Slots,
    /// The remaining warm-up time, during which the upstream is slower.
    pub warmup: Span,
}

/// The effect of a report on the monitor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The published state of the upstream is unchanged.
    Unchanged,
    /// The published state of the upstream has changed.
    Changed,
    /// A new incarnation of the upstream has started; the flows of the previous one are lost.
    Reborn,
    /// The report is older than the known state, or of a run that appears to have started before the
    /// known one and has not proven yet that it is running. It was ignored.
    Late,
    /// The report is of another service than the agent's and was ignored.
    Foreign,
}

impl ReportOutcome {
    /// Returns true if the report may be confirmed to its sender. A sender whose report was ignored
    /// would rely on a state that is not in force, for example on its drain. A report of another
    /// service is confirmed, since no flow of that service goes through this agent.
    pub const fn is_confirmed(self) -> bool {
        match self {
            Self::Unchanged | Self::Changed | Self::Reborn | Self::Foreign => true,
            Self::Late => false,
        }
    }
}

/// The health of an upstream, as inferred from missing answers and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Silence {
    /// The upstream answers.
    None,
    /// The upstream gets no new flow until it answers or a check of its port succeeds.
    Doubtful,
    /// The upstream is dead, and its flows are lost.
    Dead,
}

/// The result of connecting to the upstream's port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    /// The connection was established.
    Connected,
    /// The connection was refused: no process listens on the port.
    Refused,
    /// The connection attempt timed out.
    Silent,
}

/// Monitors the upstream of one agent. Moments are counted from the start of the agent.
#[derive(Debug)]
pub struct Monitor {
    target: Target,
    interval: Span,
    run: Option<Run>,
    /// A run that may have replaced the known one although it appears to be older.
    candidate: Option<Candidate>,
    /// Runs that appear to be newer than the known one, which has replaced them.
    replaced: Vec<RunId>,
    /// Whether the wall clock is known to have been steady since before the start of the upstream.
    is_clock_steady: bool,
    /// Whether the upstream has shown signs of a new run since the last report of the known one.
    may_have_restarted: bool,
    silence: Silence,
    last_heard: Moment,
    opening_since: Option<Moment>,
    data_since: Option<Moment>,
    last_check: Option<Moment>,
}

/// The state of the current run of the upstream.
#[derive(Clone, Debug)]
struct Run {
    report: UpstreamReport,
    departed: bool,
    /// The time of the last report, or of the end of a suspension of the agent since.
    reported_at: Moment,
    /// The time of the last report, when the run had not ended.
    alive_at: Moment,
    /// The age of the upstream at its first report to this agent.
    age: Span,
    first_seen: Moment,
    /// A time before which the run cannot have begun: zero, the start of the agent, if it may be
    /// older than the agent.
    begun_after: Moment,
    /// The number of the first report to this agent, if by its age the run cannot have had the
    /// confirmation of an earlier one; `None` if it may have had one.
    unconfirmed: Option<ReportNumber>,
}

impl UpstreamId {
    /// Wraps an id.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl Display for UpstreamId {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl Monitor {
    /// Creates the monitor of an agent whose upstream reports every `interval`.
    pub fn new(target: Target, interval: Span) -> Self {
        Self {
            target,
            interval,
            run: None,
            candidate: None,
            replaced: Vec::new(),
            is_clock_steady: false,
            may_have_restarted: false,
            silence: Silence::None,
            last_heard: Moment::default(),
            opening_since: None,
            data_since: None,
            last_check: None,
        }
    }

    /// Processes a report. `age` is the time since the start of the upstream, or `None` if the wall
    /// clock gives no valid age.
    pub fn handle_report(
        &mut self,
        report: UpstreamReport,
        age: Option<Span>,
        now: Moment,
    ) -> ReportOutcome {
        if report.target != self.target {
            return ReportOutcome::Foreign;
        }
        let Some(run) = &mut self.run else {
            self.begin_run(report, age, now);
            return ReportOutcome::Changed;
        };
        let known = &run.report;
        if RunId::of(&report) != RunId::of(known) {
            if report.incarnation > known.incarnation
                && !self.replaced.contains(&RunId::of(&report))
            {
                self.begin_run(report, age, now);
                return ReportOutcome::Reborn;
            }
            return self.handle_candidate(report, age, now);
        }
        self.candidate = None;
        if report.number <= known.number || run.departed {
            return ReportOutcome::Late;
        }
        let has_changed = report.phase != known.phase || report.slots != known.slots;
        run.report = report;
        run.reported_at = now;
        run.alive_at = now;
        self.may_have_restarted = false;
        self.record_reply(now);
        if has_changed { ReportOutcome::Changed } else { ReportOutcome::Unchanged }
    }

    /// Processes a report of a run that appears to have started before the known one, or that was
    /// replaced. It becomes the known run once its own reports show that it is running, the known run
    /// sends none, and the port has answered meanwhile.
    fn handle_candidate(
        &mut self,
        report: UpstreamReport,
        age: Option<Span>,
        now: Moment,
    ) -> ReportOutcome {
        let candidate = self.candidate.take().filter(|known| known.run == RunId::of(&report));
        let mut candidate = candidate.unwrap_or_else(|| Candidate::new(&report, now));
        let is_next = report.number > candidate.number;
        candidate.number = candidate.number.max(report.number);
        let is_proven = is_next
            && now.since(candidate.first_seen) >= self.min_confirmed_interval()
            && self.last_heard > candidate.first_seen
            && self.has_stopped_reporting(now);
        if !is_proven {
            self.candidate = Some(candidate);
            return ReportOutcome::Late;
        }
        self.begin_run(report, age, now);
        ReportOutcome::Reborn
    }

    /// Returns true if the known run has announced its end or has missed a report.
    fn has_stopped_reporting(&self, now: Moment) -> bool {
        let max_gap = self.interval.saturating_mul(MAX_REPORT_GAP_INTERVALS);
        self.run.as_ref().is_none_or(|run| run.departed || now.since(run.reported_at) >= max_gap)
    }

    fn min_confirmed_interval(&self) -> Span {
        Span::from_micros(self.interval.as_micros() * MIN_CONFIRMED_INTERVAL_PERCENT / 100)
    }

    /// Records that the upstream with this id stops now. Returns false for an unknown id.
    pub fn mark_departed(&mut self, id: &UpstreamId) -> bool {
        match &mut self.run {
            Some(run) if run.report.id == *id => {
                run.departed = true;
                true
            }
            _ => false,
        }
    }

    /// Records an opening segment, which a running upstream answers at once.
    pub fn record_opening(&mut self, now: Moment) {
        self.opening_since.get_or_insert(now);
    }

    /// Records data, which a running upstream answers after processing it.
    pub fn record_data(&mut self, now: Moment) {
        self.data_since.get_or_insert(now);
    }

    /// Records any message from the upstream, which ends all suspicion.
    pub fn record_reply(&mut self, now: Moment) {
        self.last_heard = now;
        self.opening_since = None;
        self.data_since = None;
        self.silence = Silence::None;
    }

    /// Records that the upstream has returned a segment of a flow that was in use: it may be a new run,
    /// which holds none of the flows of the last one. Returns true if this is its first sign.
    pub fn record_lost_flow(&mut self) -> bool {
        !std::mem::replace(&mut self.may_have_restarted, true)
    }

    /// Restarts the timeouts of all outstanding answers and of the reports, after this process
    /// itself was suspended.
    pub fn restart_timeouts(&mut self, now: Moment) {
        self.opening_since = self.opening_since.map(|_| now);
        self.data_since = self.data_since.map(|_| now);
        if let Some(run) = &mut self.run {
            run.reported_at = now;
        }
    }

    /// Records the result of a check of the upstream's port that was started at `started_at`. It is
    /// ignored if the upstream has answered or reported since, maybe as a new run.
    pub fn record_check(&mut self, started_at: Moment, result: ConnectResult, now: Moment) {
        if self.last_heard > started_at {
            return;
        }
        match result {
            ConnectResult::Connected => self.record_reply(now),
            ConnectResult::Refused => self.silence = Silence::Dead,
            ConnectResult::Silent if self.unanswered_time(now) >= DEATH_TIMEOUT => {
                self.silence = Silence::Dead
            }
            ConnectResult::Silent => {}
        }
        // Whatever answers after the end of a run is the next one.
        self.may_have_restarted |= self.silence == Silence::Dead;
    }

    /// Re-evaluates the health of the upstream. Returns true if its port should be checked now.
    pub fn update_silence(&mut self, now: Moment) -> bool {
        let is_overdue =
            |since: Option<Moment>, limit| since.is_some_and(|at| now.since(at) >= limit);
        let has_missed_reports = self.run.as_ref().is_some_and(|run| {
            let last = run.reported_at.max(self.last_heard);
            !run.departed && now.since(last) >= self.interval.saturating_mul(MISSED_REPORTS)
        });
        if is_overdue(self.opening_since, OPENING_DOUBT_TIMEOUT)
            || is_overdue(self.data_since, DATA_DOUBT_TIMEOUT)
            || has_missed_reports
        {
            self.silence = self.silence.max(Silence::Doubtful);
        }
        self.silence == Silence::Doubtful && self.start_check(now)
    }

    /// Returns true if the port of the upstream may be checked again now, and counts the check.
    pub fn start_check(&mut self, now: Moment) -> bool {
        if self.last_check.is_some_and(|at| now.since(at) < CHECK_INTERVAL) {
            return false;
        }
        self.last_check = Some(now);
        true
    }

    fn unanswered_time(&self, now: Moment) -> Span {
        let since = self.opening_since.into_iter().chain(self.data_since).min();
        since.map_or_else(|| now.since(self.last_heard), |since| now.since(since))
    }

    /// Returns true if the upstream takes new flows, as far as the agent knows. An upstream that
    /// has not reported yet is assumed to: its agent may have restarted, and a draining upstream
    /// reports so within one interval.
    pub fn is_accepting(&self) -> bool {
        let is_ready = |run: &Run| !run.departed && run.report.phase == UpstreamPhase::Ready;
        self.silence == Silence::None && self.run.as_ref().is_none_or(is_ready)
    }

    /// Returns true if the upstream has departed or counts as dead.
    pub fn is_gone(&self) -> bool {
        self.silence == Silence::Dead || self.has_departed()
    }

    /// Returns true if the upstream has announced its end and no new incarnation has reported
    /// since.
    pub fn has_departed(&self) -> bool {
        self.run.as_ref().is_some_and(|run| run.departed)
    }

    /// Returns the inferred health of the upstream.
    pub fn silence(&self) -> Silence {
        self.silence
    }

    /// Returns the last report.
    pub fn last_report(&self) -> Option<&UpstreamReport> {
        self.run.as_ref().map(|run| &run.report)
    }

    /// Returns the remaining warm-up time of the upstream.
    pub fn remaining_warmup(&self, now: Moment) -> Span {
        let remaining = |run: &Run| run.report.warmup - now.since(run.reported_at);
        self.run.as_ref().map_or(Span::ZERO, remaining)
    }

    /// Returns true if the upstream may be a new run that has not reported yet, or whose reports are
    /// not believed yet.
    pub fn may_have_restarted(&self) -> bool {
        self.may_have_restarted || self.candidate.is_some()
    }

    /// Returns the time since the start of the upstream, or zero before its first report.
    pub fn age(&self, now: Moment) -> Span {
        self.run.as_ref().map_or(Span::ZERO, |run| run.age + now.since(run.first_seen))
    }

    /// Returns a time before which the current run of the upstream cannot have begun, so that
    /// earlier flows belong to a previous run. It is zero if the run may be older than this agent.
    pub fn begun_after(&self) -> Moment {
        self.run.as_ref().map_or(Moment::default(), |run| run.begun_after)
    }

    /// Returns true if the upstream may hold flows that an earlier incarnation of this agent took.
    /// Before the first report the answer is always true.
    pub fn may_hold_unknown_flows(&self) -> bool {
        let is_younger_than_agent = self.begun_after() > Moment::default();
        !is_younger_than_agent && !self.had_no_earlier_agent()
    }

    /// Records that the wall clock of the machine has not been set back since before the upstream
    /// started, so that the age of the upstream by that clock is evidence.
    pub fn record_steady_clock(&mut self) {
        self.is_clock_steady = true;
    }

    /// Returns true if no earlier incarnation of the agent can have served this run of the upstream.
    /// The age of the run alone does not prove it, since the wall clock may have been set back: the run
    /// must not have reported before, or the clock must be known to have been steady.
    fn had_no_earlier_agent(&self) -> bool {
        let unconfirmed = self.run.as_ref().and_then(|run| run.unconfirmed);
        unconfirmed.is_some_and(|number| number <= FIRST_REPORT || self.is_clock_steady)
    }

    fn begin_run(&mut self, report: UpstreamReport, age: Option<Span>, now: Moment) {
        let begun_after = self.earliest_begin(report.number, age, now);
        // A confirmed report delays the next one, so a younger run has had none confirmed.
        let is_young = report.phase == UpstreamPhase::Ready
            && age.is_some_and(|age| age < self.min_confirmed_interval());
        let unconfirmed = is_young.then_some(report.number);
        let age = age.unwrap_or(UNKNOWN_AGE);
        self.candidate = None;
        self.may_have_restarted = false;
        self.replaced.extend(self.run.as_ref().map(|previous| RunId::of(&previous.report)));
        self.replaced.retain(|replaced| {
            replaced.incarnation >= report.incarnation && *replaced != RunId::of(&report)
        });
        self.run = Some(Run {
            report,
            departed: false,
            reported_at: now,
            alive_at: now,
            age,
            first_seen: now,
            begun_after,
            unconfirmed,
        });
        self.record_reply(now);
    }

    /// Returns a time before which a run cannot have begun whose first report arrives now.
    ///
    /// The wall clock may have been set back since the run began, so its age is not evidence that it
    /// is young. The number of the report limits its age, unless a partition has delayed the report.
    /// Without an earlier run both have to agree that the run is younger than the agent.
    fn earliest_begin(&self, number: ReportNumber, age: Option<Span>, now: Moment) -> Moment {
        let max_gap = self.interval.saturating_mul(MAX_REPORT_GAP_INTERVALS);
        let max_age =
            max_gap.saturating_mul(number.max(FIRST_REPORT).get()).max(age.unwrap_or_default());
        match (&self.run, age) {
            (Some(previous), _) => previous.alive_at.min(now - max_age),
            (None, Some(_)) => now - max_age,
            (None, None) => Moment::default(),
        }
    }
}
