//! The value under which the store holds a contract: its text behind a line of change ids.

use {
    super::{Accepted, Checked, Contract},
    crate::{
        errors::Result,
        ids::{Change, Revision},
    },
};

/// A comment in INI, so that the value is a contract text as it stands.
const CHANGES_PREFIX: &str = "; changes";
/// An operator whose answer was lost reads back within seconds; a contract does not change this
/// often in that time.
const MAX_CHANGES: usize = 16;

/// The ids of the latest changes of one contract, the newest first.
///
/// Earlier ids are kept because a write with a lost answer may have been followed by another
/// operator's write before the first operator reads back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History(Vec<Change>);

impl History {
    /// Reads the ids from a stored value. A value without any was not written by this system.
    pub fn read(value: &str) -> Self {
        let line = value.lines().next().and_then(|line| line.strip_prefix(CHANGES_PREFIX));
        let ids = line.unwrap_or_default().split_whitespace();
        Self(ids.filter_map(|id| id.parse().ok()).take(MAX_CHANGES).collect())
    }

    /// Adds a change in front of all others.
    pub fn with_change(mut self, change: Change) -> Self {
        self.0.insert(0, change);
        self.0.truncate(MAX_CHANGES);
        self
    }

    /// Returns the newest id, or zero when there is none.
    pub fn newest(&self) -> Change {
        self.0.first().copied().unwrap_or_default()
    }

    /// Returns true when the change is part of the stored value or of one that it replaced.
    pub fn contains(&self, change: Change) -> bool {
        self.0.contains(&change)
    }
}

/// Writes the value of a contract.
pub fn encode(contract: &Contract<Checked>, history: &History) -> String {
    let ids: Vec<_> = history.0.iter().map(ToString::to_string).collect();
    format!("{CHANGES_PREFIX} {}\n{}", ids.join(" "), contract.text())
}

/// Reads a value back. `source` names it in faults.
pub fn decode(source: &str, value: &str, revision: Revision) -> Result<Contract<Accepted>> {
    let checked = Contract::parse(source, value)?.check(source)?;
    Ok(checked.accept(revision, History::read(value).newest()))
}
