//! Errors of the encodings.

use std::fmt::{Display, Formatter};

/// The result of an encoding or decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// Why bytes could not be encoded or decoded. The receiver counts the error and drops the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Error {
    /// The input ends too early.
    Truncated,
    /// The version is not one that this release speaks.
    Version,
    /// The input has the wrong form.
    Malformed,
    /// The authenticator does not match.
    Unauthenticated,
    /// The input or output exceeds its bound.
    TooLarge,
}

impl Error {
    /// Returns a short name for metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::Version => "version",
            Self::Malformed => "malformed",
            Self::Unauthenticated => "unauthenticated",
            Self::TooLarge => "too_large",
        }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for Error {}
