//! Errors of the key-value store.

use std::fmt::{Display, Formatter};

/// The result of a store call.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call did not reach the store and had no effect.
    Unreachable(Box<str>),
    /// The answer was lost. A write may have taken effect; the caller has to read the key to find
    /// out.
    Uncertain(Box<str>),
    /// The store rejected the call or sent an invalid answer; a retry does not help.
    Protocol(Box<str>),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "store cannot be reached: {cause}"),
            Self::Uncertain(cause) => write!(f, "answer of the store was lost: {cause}"),
            Self::Protocol(cause) => {
                write!(f, "store rejected the call or sent an invalid answer: {cause}")
            }
        }
    }
}

impl std::error::Error for Error {}
