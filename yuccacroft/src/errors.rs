//! Errors of the commands.

use {
    std::{
        fmt::{Display, Formatter},
        io,
    },
    yuccacroft_wire::admin::{Problem, ProblemKind},
};

/// Exit status of a command that failed.
const FAILURE_STATUS: u8 = 1;
/// Exit status of an explanation that is not possible with this input. Its status 1 tells that the flow
/// would go nowhere.
const EXPLANATION_STATUS: u8 = 2;
/// Exit status of a contract change that conflicts with another change.
const CONFLICT_STATUS: u8 = 2;
/// Exit status of a contract change whose outcome is unknown.
const UNKNOWN_STATUS: u8 = 3;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// The reasons why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    File {
        /// The name of the file.
        name: Box<str>,
        /// The I/O error.
        cause: io::Error,
    },
    /// Settings or a contract are invalid.
    Settings(yuccacroft_core::errors::Error),
    /// The balancer failed.
    Balancer(yuccacroft_balancer::errors::Error),
    /// The agent failed.
    Agent(yuccacroft_agent::errors::Error),
    /// A process of the segment front end cannot start.
    Segment(yuccacroft_segment::errors::Error),
    /// The runtime or a signal handler could not be set up.
    System(io::Error),
    /// The command line, or a file that it names, is invalid.
    Usage(Box<str>),
    /// The administration interface cannot be reached; nothing was changed.
    Unreachable(Box<str>),
    /// The answer of the administration interface was lost; a change may or may not be in force.
    Lost(Box<str>),
    /// The administration interface refused the call.
    Refused(Box<Problem>),
    /// A step of the demo failed.
    Demo(Box<str>),
    /// The placement of a flow cannot be explained.
    Explanation(Box<str>),
    /// The explained flow would go nowhere.
    NotPlaced(Box<str>),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { name, cause } => write!(f, "{name}: {cause}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Balancer(error) => write!(f, "balancer: {error}"),
            Self::Agent(error) => write!(f, "agent: {error}"),
            Self::Segment(error) => write!(f, "segments: {error}"),
            Self::System(error) => write!(f, "system: {error}"),
            Self::Usage(cause) => write!(f, "{cause}"),
            Self::Unreachable(cause) => write!(f, "unreachable, nothing was changed: {cause}"),
            Self::Lost(cause) => write!(f, "outcome unknown, the answer was lost: {cause}"),
            Self::Refused(problem) => write_problem(f, problem),
            Self::Demo(cause) => write!(f, "demo: {cause}"),
            Self::Explanation(cause) => write!(f, "{cause}"),
            Self::NotPlaced(cause) => write!(f, "not placed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit status of the command; `docs/operators.md` lists all of them.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Refused(problem) => match problem.error {
                ProblemKind::Conflict => CONFLICT_STATUS,
                ProblemKind::Unknown => UNKNOWN_STATUS,
                _ => FAILURE_STATUS,
            },
            Self::Lost(_) => UNKNOWN_STATUS,
            Self::Explanation(_) => EXPLANATION_STATUS,
            _ => FAILURE_STATUS,
        }
    }
}

fn write_problem(f: &mut Formatter<'_>, problem: &Problem) -> std::fmt::Result {
    match problem.error {
        ProblemKind::Conflict => write!(f, "conflict, nothing was changed: {}", problem.detail)?,
        ProblemKind::Unknown => write!(f, "outcome unknown: {}", problem.detail)?,
        _ => write!(f, "refused: {}", problem.detail)?,
    }
    if let Some(present) = &problem.present {
        let (revision, contract) = (present.revision, &present.contract);
        write!(f, "\n; revision {revision}\n{}", contract.trim_end())?;
    }
    Ok(())
}

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
