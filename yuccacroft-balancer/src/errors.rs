//! Errors of a balancer process.

use std::{
    fmt::{Display, Formatter},
    io,
};

/// The result of starting or running a balancer.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a balancer cannot start or continue.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened or used.
    Socket {
        /// The name of the socket in the settings.
        name: &'static str,
        /// The cause.
        cause: io::Error,
    },
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket { name, cause } => write!(f, "socket {name}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
