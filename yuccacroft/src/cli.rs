//! Command line: the subcommands and their dispatch.

mod check;
mod explain;
mod operate;
mod role;
mod segment;

use {
    crate::{
        demo,
        errors::{Error, Result},
    },
    argh::FromArgs,
};

/// A layer-4 load balancer for long flows and for requests that are neither lost nor duplicated.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Balancer(role::Balancer),
    Agent(role::Agent),
    Contract(operate::Contract),
    Drain(operate::Drain),
    Dump(operate::Dump),
    Explain(explain::Explain),
    Check(check::Check),
    Demo(Demo),
}

/// Run the whole system on the loopback interface and print each step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Runs a command until it completes.
pub fn run(arguments: Arguments) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(Error::System)?;
    match arguments.command {
        Command::Balancer(command) => runtime.block_on(command.run()),
        Command::Agent(command) => runtime.block_on(command.run()),
        Command::Contract(command) => runtime.block_on(command.run()),
        Command::Drain(command) => runtime.block_on(command.run()),
        Command::Dump(command) => runtime.block_on(command.run()),
        Command::Explain(command) => runtime.block_on(command.run()),
        Command::Check(command) => command.run(),
        Command::Demo(Demo {}) => runtime.block_on(demo::run()),
    }
}
