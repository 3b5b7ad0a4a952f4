//! Errors of the encodings.

use std::fmt::{Display, Formatter};

/// The result of an encoding or decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why encoding or decoding failed. Receivers of datagrams count the error and drop the
/// input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Error {
    /// The input ends too early.
    Truncated,
    /// This release does not support the version.
    Version,
    /// The input does not follow the format.
    Malformed,
    /// The authenticator does not match.
    Unauthenticated,
    /// The input, the output or a list in it exceeds its bound, or the buffer is too small.
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
