//! Errors of this crate: text that does not parse and conflicting changes.

use std::fmt::{Display, Formatter};

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of this crate. The failed operation leaves no partial state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A text has the wrong format.
    Expected {
        /// What a valid text looks like.
        expected: &'static str,
        /// The text that was given.
        found: Box<str>,
    },
    /// A settings file or contract is invalid; all faults are listed.
    Faults(Box<[Fault]>),
    /// A change is based on a revision that is no longer the current one.
    Conflict {
        /// The revision that the change is based on.
        base: crate::ids::Revision,
        /// The revision in force.
        current: crate::ids::Revision,
    },
}

/// One fault of an INI text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or store key that the text was read from.
    pub source: Box<str>,
    /// The section; empty for keys before the first section.
    pub section: Box<str>,
    /// The key; empty when the fault concerns the section itself.
    pub key: Box<str>,
    /// The expected value, or a description of the fault.
    pub expected: Box<str>,
}

impl Error {
    /// Creates the error for a text in the wrong format.
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
