//! Errors of the segment front end.

use {
    std::{
        fmt::{Display, Formatter},
        io,
    },
    yuccacroft_rpc::{errors::SocketError, tasks::TaskEnd},
};

/// The result of starting a process or of explaining a placement.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a process cannot start or continue, or a placement cannot be explained.
#[derive(Debug)]
pub enum Error {
    /// A socket could not be opened.
    Socket(SocketError),
    /// A task ended that should run as long as the process.
    Task(TaskEnd),
    /// The state or the question does not allow to explain the placement of a flow.
    Explanation(Box<str>),
}

impl Error {
    /// Returns a function that adds the socket's name to an I/O error.
    pub fn socket(name: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Socket(SocketError { name, cause })
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Socket(error) => write!(f, "{error}"),
            Self::Task(end) => write!(f, "{end}"),
            Self::Explanation(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for Error {}
