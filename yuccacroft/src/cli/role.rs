//! The commands that run one process of the system.

use {
    crate::{
        errors::{Error, Result},
        logs, settings,
    },
    argh::FromArgs,
    slog::Level,
    std::path::PathBuf,
    tokio::signal::unix::{Signal, SignalKind, signal},
    yuccacroft_agent::process as agent,
    yuccacroft_balancer::process as balancer,
    yuccacroft_rpc::admin,
};

/// Run a balancer until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "balancer")]
pub struct Balancer {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Run the agent beside an upstream until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct Agent {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Balancer {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let (settings, access) = settings::balancer(&self.settings)?;
        admin::record_metrics();
        let log = logs::logger(Level::Info, &settings.name.to_string());
        let stop = Stop::new()?;
        let process = balancer::Process::new(settings, log).with_admin(access).serve().await?;
        stop.requested().await;
        process.drain().stop().await;
        Ok(())
    }
}

impl Agent {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let (settings, access) = settings::agent(&self.settings)?;
        admin::record_metrics();
        let log = logs::logger(Level::Info, &settings.name.to_string());
        let stop = Stop::new()?;
        let process = agent::Process::new(settings, log).with_admin(access);
        // A process that is stopped before it serves has nothing to drain.
        let mut requested = std::pin::pin!(stop.requested());
        let serving = tokio::select! {
            serving = process.serve() => serving?,
            () = &mut requested => return Ok(()),
        };
        serving.run(requested).await;
        Ok(())
    }
}

/// The signals that ask for a graceful shutdown.
struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::System)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::System)?;
        Ok(Self { terminate, interrupt })
    }

    async fn requested(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
