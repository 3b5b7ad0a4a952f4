//! Errors that stop an agent process from starting.

use std::{
    fmt::{Display, Formatter},
    io,
};

/// Result of starting an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why an agent cannot start.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened or used.
    Socket {
        /// Name of the socket, as in the settings.
        name: &'static str,
        /// The I/O error.
        cause: io::Error,
    },
    /// The certificate or its private key is invalid.
    Certificate(Box<str>),
    /// No balancer returned a contract with the agent's service in time.
    Contract,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket { name, cause } => write!(f, "socket {name}: {cause}"),
            Self::Certificate(cause) => write!(f, "certificate: {cause}"),
            Self::Contract => {
                f.write_str("no configured balancer returned a contract with this service")
            }
        }
    }
}

impl std::error::Error for Error {}
