//! What the demo counts.

use {
    super::Outcome,
    std::fmt::{Display, Formatter},
};

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer was complete and the caller's own.
    Whole,
    /// The request was refused and did not run.
    NotRun,
    /// The answer was incomplete, another one's or none.
    Broken,
}

/// The counts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Answers that were whole.
    pub whole: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Answers that were not whole.
    pub broken_answers: usize,
    /// Reservations that no attempt made.
    pub missed: usize,
    /// Attempts whose answer contradicts the record of the upstreams: an answered one that did not
    /// run exactly once, or a refused one that ran.
    pub false_answers: usize,
    /// Boards that ended or missed an update.
    pub broken_flows: usize,
    /// Contract changes in force on all balancers.
    pub changes: usize,
}

impl Tally {
    /// Counts the ending of a request. A caller that got no answer at all is an error.
    pub fn count(&mut self, ending: Outcome<Ending>) {
        match ending {
            Ok(Ending::Whole) => self.whole += 1,
            Ok(Ending::NotRun) => self.not_run += 1,
            Ok(Ending::Broken) | Err(_) => self.broken_answers += 1,
        }
    }

    /// Compares the ending of an attempt with how often it ran at the upstreams.
    pub fn judge(&mut self, ending: Ending, runs: u32) {
        let consistent = match ending {
            Ending::Whole => runs == 1,
            Ending::NotRun => runs == 0,
            Ending::Broken => runs <= 1,
        };
        if !consistent {
            self.false_answers += 1;
        }
    }

    /// Returns the cause for which the run counts as failed.
    pub fn verdict(&self) -> Result<(), Box<str>> {
        if self.broken_answers > 0 {
            return Err(format!("{} answers were not whole", self.broken_answers).into());
        }
        if self.false_answers > 0 {
            let count = self.false_answers;
            return Err(format!("{count} answers contradict the upstreams' records").into());
        }
        if self.missed > 0 {
            return Err(format!("{} reservations were not made", self.missed).into());
        }
        if self.broken_flows > 0 {
            return Err(format!("{} flows broke", self.broken_flows).into());
        }
        Ok(())
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "answers whole       {:6}", self.whole)?;
        writeln!(f, "answers not whole   {:6}", self.broken_answers)?;
        writeln!(f, "answers false       {:6}", self.false_answers)?;
        writeln!(f, "refused as not run  {:6}", self.not_run)?;
        writeln!(f, "flows broken        {:6}", self.broken_flows)?;
        write!(f, "changes in force    {:6}", self.changes)
    }
}
