//! The command line.

use {
    crate::{
        demo,
        errors::{Error, Result},
        logs, settings,
    },
    argh::FromArgs,
    slog::Level,
    std::path::PathBuf,
    tokio::signal::unix::{SignalKind, signal},
    yuccacroft_agent::process as agent,
    yuccacroft_balancer::process as balancer,
};

/// A layer-4 load balancer for long flows and for requests that are neither lost nor doubled.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Balancer(Balancer),
    Agent(Agent),
    Demo(Demo),
}

/// Run a balancer until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "balancer")]
struct Balancer {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run the agent beside an upstream until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
struct Agent {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run the whole system on the loopback interface and show what it does.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Runs a command to its end.
pub fn run(arguments: Arguments) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(Error::System)?;
    match arguments.command {
        Command::Balancer(command) => runtime.block_on(run_balancer(command)),
        Command::Agent(command) => runtime.block_on(run_agent(command)),
        Command::Demo(Demo {}) => runtime.block_on(demo::run()),
    }
}

async fn run_balancer(command: Balancer) -> Result<()> {
    let settings = settings::balancer(&command.settings)?;
    let log = logs::logger(Level::Info, &settings.name.to_string());
    let process = balancer::Process::new(settings, log).serve().await?;
    stop_requested().await?;
    process.stop().await;
    Ok(())
}

async fn run_agent(command: Agent) -> Result<()> {
    let settings = settings::agent(&command.settings)?;
    let log = logs::logger(Level::Info, &settings.name.to_string());
    let process = agent::Process::new(settings, log).serve().await?;
    stop_requested().await?;
    process.drain().await.stop().await;
    Ok(())
}

async fn stop_requested() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::System)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
