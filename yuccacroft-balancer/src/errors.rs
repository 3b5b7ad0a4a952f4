//! Errors of a balancer process.

use {
    std::fmt::{Display, Formatter},
    yuccacroft_rpc::{errors::SocketError, tasks::TaskEnd},
};

/// The result of starting or running a balancer.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a balancer cannot start or continue.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened or used.
    Socket(SocketError),
    /// A task ended that should run as long as the process.
    Task(TaskEnd),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket(error) => write!(f, "{error}"),
            Self::Task(end) => write!(f, "{end}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<SocketError> for Error {
    fn from(error: SocketError) -> Self {
        Self::Socket(error)
    }
}
