//! The path between this process and the members: whether a silent member says something about that
//! member, or only about the link of this process.
//!
//! A congested link delays or drops the answers of all members. Silence is evidence against one
//! member only while the answers of the others arrive in time. The more members are silent at once,
//! the more likely they have one cause on the path, so the longer the silence has to last, see
//! `docs/platform.md`.

use {
    crate::time::{Moment, Span},
    std::{
        collections::VecDeque,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Delay up to which an answer is prompt: one lost message and its repetition, and many round trips
/// between failure domains.
const MAX_PROMPT_DELAY: Span = Span::from_millis(150);
/// Age up to which an answer tells the state of the path. All members are pinged every second.
const MAX_ANSWER_AGE: Span = Span::from_millis(1_500);
/// A quarter of the members must have answered promptly. The rest may have failed together.
const MIN_PROMPT_FRACTION: usize = 4;
/// The path counts as congested if more than a quarter of the recent answers were late.
const MAX_LATE_FRACTION: usize = 4;
/// Silence after which a member counts as lost while no other member is silent.
pub(super) const LOSS_TIMEOUT: Span = Span::from_millis(1_000);
/// Silence that is required on top of [`LOSS_TIMEOUT`] if all members are silent. It is reduced to
/// the fraction of the members that are.
const COMMON_CAUSE_TIMEOUT: Span = Span::from_millis(1_500);

/// An answer of a member to a message of this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    /// The time at which it arrived.
    pub at: Moment,
    /// The time since the first unanswered message.
    pub delay: Span,
}

/// How a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// It has recently answered in time.
    Prompt,
    /// Its recent answer was late.
    Late,
    /// It has not answered recently, or its next answer is overdue.
    Silent,
}

/// The numbers of members by their latest answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Members that have recently answered in time.
    pub prompt: usize,
    /// Members whose recent answer was late.
    pub late: usize,
    /// Members without a recent answer, or whose next answer is overdue.
    pub silent: usize,
}

/// The history of the path.
#[derive(Debug, Default)]
pub(super) struct Path {
    /// The last time at which the path was congested or cut, or no answer had shown its state yet, in
    /// microseconds; 0 for never.
    impaired_at: AtomicU64,
    /// The timeouts that the silent members required within the last [`LOSS_TIMEOUT`], and when, in
    /// the order of time. A timeout that a later one exceeds is dropped.
    recent_timeouts: Mutex<VecDeque<(Moment, Span)>>,
}

impl Timeliness {
    /// Returns the timeliness of a member with its latest answer and the time for which it has owed
    /// the next one.
    pub fn new(answer: Option<Answer>, unanswered: Option<Span>, now: Moment) -> Self {
        // An earlier answer says nothing about the path since the member has become silent.
        let is_overdue = unanswered.is_some_and(|time| time > MAX_PROMPT_DELAY);
        match answer.filter(|answer| now.since(answer.at) < MAX_ANSWER_AGE) {
            Some(answer) if answer.delay > MAX_PROMPT_DELAY => Self::Late,
            Some(_) if !is_overdue => Self::Prompt,
            _ => Self::Silent,
        }
    }
}

impl AnswerCounts {
    /// Adds a member.
    pub(super) fn add(&mut self, timeliness: Timeliness) {
        match timeliness {
            Timeliness::Prompt => self.prompt += 1,
            Timeliness::Late => self.late += 1,
            Timeliness::Silent => self.silent += 1,
        }
    }

    /// Returns the silence after which a member counts as lost on a sound path.
    pub(super) fn loss_timeout(self) -> Span {
        let common_cause = COMMON_CAUSE_TIMEOUT.as_micros() * self.silent as u64;
        LOSS_TIMEOUT + Span::from_micros(common_cause / self.members().max(1) as u64)
    }

    fn members(self) -> usize {
        self.prompt + self.late + self.silent
    }

    /// Returns true if so many answers are late that the link of this process is the likely cause.
    fn shows_congestion(self) -> bool {
        self.late * MAX_LATE_FRACTION > self.late + self.prompt
    }

    fn shows_sound_path(self) -> bool {
        self.prompt > 0 && self.prompt * MIN_PROMPT_FRACTION >= self.members()
    }
}

impl Path {
    /// Records the present answers, and returns the silence after which a member counts as lost, or
    /// `None` if the path has not carried answers in time for as long as a silence has to last. It is
    /// called several times a second, so that no impairment stays unnoticed.
    pub fn loss_timeout(&self, counts: AnswerCounts, now: Moment) -> Option<Span> {
        let timeout = self.longest_timeout(counts.loss_timeout(), now);
        if !counts.shows_sound_path() || counts.shows_congestion() {
            self.impaired_at.fetch_max(now.get(), Ordering::Relaxed);
            return None;
        }
        let impaired_at = self.impaired_at.load(Ordering::Relaxed);
        // The silence that makes a member count as lost must lie after the last impairment.
        let has_recovered = impaired_at == 0 || now.since(Moment::new(impaired_at)) >= timeout;
        has_recovered.then_some(timeout)
    }

    /// Returns the longest timeout within the last [`LOSS_TIMEOUT`]. When members that were silent
    /// together answer again, the silence of the last one had the same cause until then, so that it
    /// is evidence against that member only after a full timeout.
    fn longest_timeout(&self, timeout: Span, now: Moment) -> Span {
        let mut recent = self.recent_timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        while recent.front().is_some_and(|(at, _)| now.since(*at) > LOSS_TIMEOUT) {
            recent.pop_front();
        }
        while recent.back().is_some_and(|(_, earlier)| *earlier <= timeout) {
            recent.pop_back();
        }
        recent.push_back((now, timeout));
        recent.front().map_or(timeout, |(_, longest)| *longest)
    }
}
