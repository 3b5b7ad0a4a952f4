//! Counts of outcomes in the demo.

use {
    super::DemoResult,
    std::fmt::{Display, Formatter},
};

/// Outcome of one request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was complete and belonged to the request.
    Complete,
    /// The request was refused and did not run.
    NotRun,
    /// The answer was missing, incomplete or belonged to another request.
    Broken,
}

/// Counts of one run of the demo.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Complete answers.
    pub complete: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Missing, incomplete or mismatched answers.
    pub broken_answers: usize,
    /// Reservations of which no attempt succeeded.
    pub failed_reservations: usize,
    /// Attempts whose answer contradicts the record of the upstreams: an answered one that did not
    /// run exactly once, a refused one that ran, or a broken one that ran more than once.
    pub wrong_answers: usize,
    /// Boards that ended or missed an update.
    pub broken_flows: usize,
    /// Contract changes in force on all balancers.
    pub changes: usize,
}

impl Counts {
    /// Counts the outcome of a request. An error means that no answer was received.
    pub fn add(&mut self, outcome: DemoResult<RequestOutcome>) {
        match outcome {
            Ok(RequestOutcome::Complete) => self.complete += 1,
            Ok(RequestOutcome::NotRun) => self.not_run += 1,
            Ok(RequestOutcome::Broken) | Err(_) => self.broken_answers += 1,
        }
    }

    /// Checks the outcome of an attempt against the number of its runs at the upstreams.
    pub fn check_runs(&mut self, outcome: RequestOutcome, runs: u32) {
        let is_consistent = match outcome {
            RequestOutcome::Complete => runs == 1,
            RequestOutcome::NotRun => runs == 0,
            RequestOutcome::Broken => runs <= 1,
        };
        if !is_consistent {
            self.wrong_answers += 1;
        }
    }

    /// Returns an error if the run failed.
    pub fn check(&self) -> Result<(), Box<str>> {
        if self.broken_answers > 0 {
            return Err(format!("{} answers were broken", self.broken_answers).into());
        }
        if self.wrong_answers > 0 {
            let count = self.wrong_answers;
            return Err(format!("{count} answers contradict the upstreams' records").into());
        }
        if self.failed_reservations > 0 {
            return Err(format!("{} reservations were not made", self.failed_reservations).into());
        }
        if self.broken_flows > 0 {
            return Err(format!("{} flows broke", self.broken_flows).into());
        }
        Ok(())
    }
}

impl Display for Counts {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "complete answers    {:6}", self.complete)?;
        writeln!(f, "broken answers      {:6}", self.broken_answers)?;
        writeln!(f, "wrong answers       {:6}", self.wrong_answers)?;
        writeln!(f, "refused as not run  {:6}", self.not_run)?;
        writeln!(f, "broken flows        {:6}", self.broken_flows)?;
        write!(f, "changes in force    {:6}", self.changes)
    }
}
