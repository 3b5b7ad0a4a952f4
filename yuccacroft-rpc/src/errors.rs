//! Errors of calls between processes and of the sockets that a process opens.

use {
    http::StatusCode,
    std::{
        fmt::{Display, Formatter},
        io,
    },
};

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be established; the peer did not receive the call.
    Unreachable(Box<str>),
    /// The answer was lost or timed out; the peer may have processed the call.
    Lost(Box<str>),
    /// The peer answered with a status other than success.
    Refused(StatusCode),
    /// A message could not be encoded or decoded.
    Wire(yuccacroft_wire::errors::Error),
}

/// A socket that could not be opened or used.
#[derive(Debug)]
pub struct SocketError {
    /// The name of the socket in the settings.
    pub name: &'static str,
    /// The I/O error.
    pub cause: io::Error,
}

impl SocketError {
    /// Returns a function that adds the socket's name to an I/O error.
    pub fn with_name(name: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self { name, cause }
    }
}

impl Display for SocketError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { name, cause } = self;
        write!(f, "socket {name}: {cause}")
    }
}

impl std::error::Error for SocketError {}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "peer cannot be reached: {cause}"),
            Self::Lost(cause) => write!(f, "answer of the peer was lost: {cause}"),
            Self::Refused(status) => write!(f, "peer refused the call: {status}"),
            Self::Wire(error) => write!(f, "message cannot be encoded or decoded: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<yuccacroft_wire::errors::Error> for Error {
    fn from(error: yuccacroft_wire::errors::Error) -> Self {
        Self::Wire(error)
    }
}
