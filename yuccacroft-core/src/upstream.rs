//! What an agent believes of the upstream beside it.
//!
//! An upstream reports its state. Between reports the agent judges it by its answers: every
//! opening segment is answered at once by a living upstream, if only with a bounce.

use {
    crate::{
        ids::Incarnation,
        route::Target,
        time::{Moment, Span},
        units::Slots,
    },
    std::fmt::{Display, Formatter},
};

/// Time without any answer to an opening segment after which an upstream is in doubt. A living one
/// answers within a few milliseconds even when all its slots are in use.
const OPENING_DOUBT: Span = Span::from_millis(60);
/// Time without any answer to data after which an upstream is in doubt: longer than one request,
/// since an upstream with a single flow is silent while it works.
const DATA_DOUBT: Span = Span::from_millis(300);
/// Time without any answer after which an upstream that accepts no connection is dead.
const DEATH: Span = Span::from_millis(600);
/// Report intervals without a report after which an upstream is in doubt.
const MISSED_REPORTS: u64 = 3;
/// Part of a report interval within which no report follows one that was confirmed, in hundredths:
/// the interval is approximate.
const CONFIRMED_PERCENT: u64 = 75;
/// Age of an upstream whose start the wall clock does not tell: older than any that is fresh.
const UNKNOWN_AGE: Span = Span::from_secs(3_600);
/// Time between two checks of an upstream in doubt, since each costs it a connection.
const CHECK_PAUSE: Span = Span::from_millis(250);

/// The name by which an upstream tells its starts apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(Box<str>);

newtype! {
    /// The number of a report, which grows within one life of an upstream.
    Number(u64), "a report number"
}

/// Whether an upstream takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Ready,
    /// It is about to end and keeps the flows that it has.
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its id.
    pub id: Id,
    /// Its start.
    pub born: Incarnation,
    /// The number of the report.
    pub number: Number,
    /// The service that it serves.
    pub target: Target,
    /// Whether it takes new flows.
    pub phase: Phase,
    /// The requests that it runs at the same time.
    pub slots: Slots,
    /// How much longer it is slow after its start.
    pub warmup: Span,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing that others need to know has changed.
    Unchanged,
    /// The upstream has changed; others need to know.
    Changed,
    /// A new life of the upstream has begun; the flows of the one before are lost.
    Reborn,
    /// The report is older than what is known already and changes nothing.
    Late,
    /// The report is of another service than the agent serves.
    Foreign,
}

/// What the silence of an upstream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Silence {
    /// It answers.
    None,
    /// It takes no new flow until it answers or a check of its port succeeds.
    Doubtful,
    /// It is dead, and its flows are lost.
    Dead,
}

/// What a check of the upstream's port showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// A connection came about.
    Connected,
    /// Nobody listens there.
    Refused,
    /// Nothing came back in time.
    Silent,
}

/// The upstream of one agent.
#[derive(Debug)]
pub struct Monitor {
    target: Target,
    interval: Span,
    life: Option<Life>,
    silence: Silence,
    heard: Moment,
    opening: Option<Moment>,
    data: Option<Moment>,
    checked: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Life {
    report: Report,
    left: bool,
    reported: Moment,
    /// The age of the upstream at its first report here; unknown ages count as high.
    age: Span,
    begun: Moment,
    /// Whether no earlier life of the agent can have served the upstream.
    first_agent: bool,
}

impl Id {
    /// Wraps an id.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl Display for Id {
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
            life: None,
            silence: Silence::None,
            heard: Moment::default(),
            opening: None,
            data: None,
            checked: None,
        }
    }

    /// Takes a report. `age` is the time since the start of the upstream, where the wall clock
    /// tells it.
    pub fn report(&mut self, report: Report, age: Option<Span>, now: Moment) -> Outcome {
        if report.target != self.target {
            return Outcome::Foreign;
        }
        let Some(life) = &mut self.life else {
            self.begin(report, age, now);
            return Outcome::Changed;
        };
        let known = &life.report;
        if report.born < known.born || (report.born == known.born && report.id != known.id) {
            return Outcome::Late;
        }
        if report.born > known.born {
            self.begin(report, age, now);
            return Outcome::Reborn;
        }
        if report.number <= known.number || life.left {
            return Outcome::Late;
        }
        let changed = report.phase != known.phase || report.slots != known.slots;
        life.report = report;
        life.reported = now;
        self.hear(now);
        if changed { Outcome::Changed } else { Outcome::Unchanged }
    }

    /// Notes that the upstream with this id ends now. Returns false for an unknown id.
    pub fn leave(&mut self, id: &Id) -> bool {
        match &mut self.life {
            Some(life) if life.report.id == *id => {
                life.left = true;
                true
            }
            _ => false,
        }
    }

    /// Notes an opening segment, which a living upstream answers at once.
    pub fn ask(&mut self, now: Moment) {
        self.opening.get_or_insert(now);
    }

    /// Notes data, which a living upstream answers when it has worked on it.
    pub fn ask_work(&mut self, now: Moment) {
        self.data.get_or_insert(now);
    }

    /// Notes that the upstream sent something.
    pub fn hear(&mut self, now: Moment) {
        self.heard = now;
        self.opening = None;
        self.data = None;
        self.silence = Silence::None;
    }

    /// Forgets how long answers are due, after a time in which this process itself stood still.
    pub fn excuse(&mut self, now: Moment) {
        self.opening = self.opening.map(|_| now);
        self.data = self.data.map(|_| now);
        if let Some(life) = &mut self.life {
            life.reported = now;
        }
    }

    /// Takes the result of a check of the upstream's port.
    pub fn check(&mut self, result: Check, now: Moment) {
        match result {
            Check::Connected => self.hear(now),
            Check::Refused => self.silence = Silence::Dead,
            Check::Silent if self.waited(now) >= DEATH => self.silence = Silence::Dead,
            Check::Silent => {}
        }
    }

    /// Judges the silence of the upstream. Returns true when its port should be checked now.
    pub fn judge(&mut self, now: Moment) -> bool {
        let late = |since: Option<Moment>, limit| since.is_some_and(|at| now.since(at) >= limit);
        let missed = self.life.as_ref().is_some_and(|life| {
            let last = life.reported.max(self.heard);
            !life.left && now.since(last) >= self.interval.saturating_mul(MISSED_REPORTS)
        });
        if late(self.opening, OPENING_DOUBT) || late(self.data, DATA_DOUBT) || missed {
            self.silence = self.silence.max(Silence::Doubtful);
        }
        let due = self.checked.is_none_or(|at| now.since(at) >= CHECK_PAUSE);
        if self.silence != Silence::Doubtful || !due {
            return false;
        }
        self.checked = Some(now);
        true
    }

    fn waited(&self, now: Moment) -> Span {
        let since = self.opening.into_iter().chain(self.data).min();
        since.map_or_else(|| now.since(self.heard), |since| now.since(since))
    }

    /// Returns true when the upstream takes new flows, as far as the agent knows. An upstream that
    /// has not reported yet does: its agent restarted beside it, and a draining one says so within
    /// one interval.
    pub fn is_accepting(&self) -> bool {
        let ready = |life: &Life| !life.left && life.report.phase == Phase::Ready;
        self.silence == Silence::None && self.life.as_ref().is_none_or(ready)
    }

    /// Returns true when the upstream has ended or is taken to be dead.
    pub fn is_gone(&self) -> bool {
        self.silence == Silence::Dead || self.has_left()
    }

    /// Returns true when the upstream has said that it ends and none has reported since.
    pub fn has_left(&self) -> bool {
        self.life.as_ref().is_some_and(|life| life.left)
    }

    /// Returns the verdict on its silence.
    pub fn silence(&self) -> Silence {
        self.silence
    }

    /// Returns the last report.
    pub fn last(&self) -> Option<&Report> {
        self.life.as_ref().map(|life| &life.report)
    }

    /// Returns how much longer the upstream is slow after its start.
    pub fn warmup(&self, now: Moment) -> Span {
        let left = |life: &Life| life.report.warmup - now.since(life.reported);
        self.life.as_ref().map_or(Span::ZERO, left)
    }

    /// Returns the time since the start of the upstream; zero before its first report.
    pub fn age(&self, now: Moment) -> Span {
        self.life.as_ref().map_or(Span::ZERO, |life| life.age + now.since(life.begun))
    }

    /// Returns true when the upstream may hold flows that an earlier life of this agent took:
    /// `incarnation` is the present one. Without a report nothing excludes it.
    pub fn is_older_than(&self, incarnation: Incarnation) -> bool {
        let older = |life: &Life| life.report.born < incarnation && !life.first_agent;
        self.life.as_ref().is_none_or(older)
    }

    fn begin(&mut self, report: Report, age: Option<Span>, now: Moment) {
        // An upstream whose report was confirmed sends the next one an interval later. One that
        // reports sooner has not been answered yet, so that no agent was there before.
        let sooner = Span::from_micros(self.interval.as_micros() * CONFIRMED_PERCENT / 100);
        let first_agent = report.phase == Phase::Ready && age.is_some_and(|age| age < sooner);
        let age = age.unwrap_or(UNKNOWN_AGE);
        self.life = Some(Life { report, left: false, reported: now, age, begun: now, first_agent });
        self.hear(now);
    }
}
