//! Errors of the commands.

use std::{
    fmt::{Display, Formatter},
    io,
};

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    File {
        /// Its name.
        name: Box<str>,
        /// The cause.
        cause: io::Error,
    },
    /// Settings or a contract have faults.
    Settings(yuccacroft_core::errors::Error),
    /// The balancer failed.
    Balancer(yuccacroft_balancer::errors::Error),
    /// The agent failed.
    Agent(yuccacroft_agent::errors::Error),
    /// The runtime or a signal handler could not be set up.
    System(io::Error),
    /// The demo did not end as it should.
    Demo(Box<str>),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { name, cause } => write!(f, "{name}: {cause}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Balancer(error) => write!(f, "balancer: {error}"),
            Self::Agent(error) => write!(f, "agent: {error}"),
            Self::System(error) => write!(f, "system: {error}"),
            Self::Demo(cause) => write!(f, "demo: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<yuccacroft_core::errors::Error> for Error {
    fn from(error: yuccacroft_core::errors::Error) -> Self {
        Self::Settings(error)
    }
}

impl From<yuccacroft_balancer::errors::Error> for Error {
    fn from(error: yuccacroft_balancer::errors::Error) -> Self {
        Self::Balancer(error)
    }
}

impl From<yuccacroft_agent::errors::Error> for Error {
    fn from(error: yuccacroft_agent::errors::Error) -> Self {
        Self::Agent(error)
    }
}
