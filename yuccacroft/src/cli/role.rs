//! The commands that run one process of the system.

use {
    super::segment,
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
    yuccacroft_platform::SETTINGS_VARIABLE,
    yuccacroft_rpc::admin,
};

/// Run a balancer until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "balancer")]
pub struct Balancer {
    /// the settings file; left out, the platform's variable names it
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Run the agent beside an upstream until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct Agent {
    /// the settings file; left out, the platform's variable names it
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl Balancer {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let file = file(self.settings)?;
        if settings::open(&file)?.has_section(settings::segment::SECTION) {
            return segment::balancer(&file).await;
        }
        let (settings, access) = settings::balancer(&file)?;
        admin::install_metrics_recorder();
        let (log, _flush) = logs::logger(Level::Info, &settings.name.to_string());
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
        let file = file(self.settings)?;
        if settings::open(&file)?.has_section(settings::segment::SECTION) {
            return segment::agent(&file).await;
        }
        let (settings, access) = settings::agent(&file)?;
        admin::install_metrics_recorder();
        let (log, _flush) = logs::logger(Level::Info, &settings.name.to_string());
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

/// Returns the settings file of the command line or of the platform.
fn file(given: Option<PathBuf>) -> Result<PathBuf> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    given.or_else(named).ok_or_else(|| {
        Error::Usage(format!("expected --settings FILE or the variable {SETTINGS_VARIABLE}").into())
    })
}

/// The signals that ask for a graceful shutdown.
pub(super) struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    pub(super) fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::System)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::System)?;
        Ok(Self { terminate, interrupt })
    }

    pub(super) async fn requested(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
