//! Errors that end an agent process.

use {
    std::fmt::{Display, Formatter},
    yuccacroft_rpc::{errors::SocketError, tasks::TaskEnd},
};

/// Result of starting or running an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why an agent cannot start or continue.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened or used.
    Socket(SocketError),
    /// The certificate or its private key is invalid.
    Certificate(Box<str>),
    /// No balancer returned a contract with the agent's service in time.
    Contract,
    /// A task ended that should run as long as the process.
    Task(TaskEnd),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket(error) => write!(f, "{error}"),
            Self::Task(end) => write!(f, "{end}"),
            Self::Certificate(cause) => write!(f, "certificate: {cause}"),
            Self::Contract => {
                f.write_str("no configured balancer returned a contract with this service")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<SocketError> for Error {
    fn from(error: SocketError) -> Self {
        Self::Socket(error)
    }
}
