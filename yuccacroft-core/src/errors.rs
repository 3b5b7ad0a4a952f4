//! Errors of the core: text that does not parse and decisions that cannot be made.

use std::fmt::{Display, Formatter};

/// The result of a core operation.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of a core operation. No variant leaves partial state behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A text has the wrong form; the caller corrects its input.
    Expected {
        /// What a valid text looks like.
        expected: &'static str,
        /// The text as given.
        found: Box<str>,
    },
    /// A settings file or contract has faults, all of which are listed.
    Faults(Box<[Fault]>),
    /// A change was based on a revision that is no longer the current one.
    Conflict {
        /// The revision that the change was based on.
        base: crate::ids::Revision,
        /// The revision in force.
        current: crate::ids::Revision,
    },
}

/// One fault of an INI text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or key that the text came from.
    pub source: Box<str>,
    /// The section, empty for the text before the first one.
    pub section: Box<str>,
    /// The key, empty when the fault is about the section itself.
    pub key: Box<str>,
    /// What was expected there.
    pub expected: Box<str>,
}

impl Error {
    /// Builds the error for a text of the wrong form.
    pub fn expected(expected: &'static str, found: &str) -> Self {
        Self::Expected { expected, found: found.into() }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: [{}]", self.source, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.expected)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Expected { expected, found } => {
                write!(f, "expected {expected}, found \"{found}\"")
            }
            Self::Faults(faults) => {
                for (position, fault) in faults.iter().enumerate() {
                    if position > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{fault}")?;
                }
                Ok(())
            }
            Self::Conflict { base, current } => {
                write!(f, "change is based on revision {base}, but revision {current} is in force")
            }
        }
    }
}

impl std::error::Error for Error {}
