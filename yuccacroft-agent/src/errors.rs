//! Errors of an agent process.

use std::{
    fmt::{Display, Formatter},
    io,
};

/// The result of starting or running an agent.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an agent cannot start or go on.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened or used.
    Socket {
        /// Which socket of the settings.
        name: &'static str,
        /// The cause.
        cause: io::Error,
    },
    /// The certificate or its key cannot be used.
    Certificate(Box<str>),
    /// No balancer told the contract in time.
    Contract,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket { name, cause } => write!(f, "socket {name}: {cause}"),
            Self::Certificate(cause) => write!(f, "certificate: {cause}"),
            Self::Contract => f.write_str("no balancer of the settings told the contract"),
        }
    }
}

impl std::error::Error for Error {}
