//! The `balancer` and `agent` commands, which run one process of the system.

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
    yuccacroft_core::ini::Override,
    yuccacroft_platform::SETTINGS_VARIABLE,
    yuccacroft_rpc::admin,
};

/// Run a balancer until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "balancer")]
pub struct Balancer {
    /// the settings file; by default the one named by the platform's environment variable
    #[argh(option)]
    settings: Option<PathBuf>,
    /// a setting of the segment front end that goes before the file's, as SECTION.KEY=VALUE; an
    /// empty value is ignored
    #[argh(option)]
    set: Vec<Override>,
}

/// Run the agent of an upstream until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct Agent {
    /// the settings file; by default the one named by the platform's environment variable
    #[argh(option)]
    settings: Option<PathBuf>,
    /// a setting of the segment front end that goes before the file's, as SECTION.KEY=VALUE; an
    /// empty value is ignored
    #[argh(option)]
    set: Vec<Override>,
}

impl Balancer {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let file = settings_file(self.settings)?;
        if settings::open_ini(&file)?.has_section(settings::segment::SECTION) {
            return segment::run_balancer(&file, &self.set).await;
        }
        let (settings, access) = settings::read_balancer(&file)?;
        admin::install_metrics_recorder();
        let (log, _flush_guard) = logs::logger(Level::Info, &settings.name.to_string());
        let shutdown = ShutdownSignals::new()?;
        let mut process = balancer::Process::new(settings, log).with_admin(access).serve().await?;
        tokio::select! {
            () = shutdown.received() => {}
            error = process.failed() => return Err(Error::Balancer(error)),
        }
        process.drain().stop().await;
        Ok(())
    }
}

impl Agent {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let file = settings_file(self.settings)?;
        if settings::open_ini(&file)?.has_section(settings::segment::SECTION) {
            return segment::run_agent(&file, &self.set).await;
        }
        let (settings, access) = settings::read_agent(&file)?;
        admin::install_metrics_recorder();
        let (log, _flush_guard) = logs::logger(Level::Info, &settings.name.to_string());
        let shutdown = ShutdownSignals::new()?;
        let process = agent::Process::new(settings, log).with_admin(access);
        // An agent that is stopped before it serves has nothing to drain.
        let mut shutdown_requested = std::pin::pin!(shutdown.received());
        let serving = tokio::select! {
            serving = process.serve() => serving?,
            () = &mut shutdown_requested => return Ok(()),
        };
        serving.run(shutdown_requested).await.map_err(Error::Agent)
    }
}

/// Returns the settings file given on the command line, or else the one that the environment
/// variable of the platform names.
fn settings_file(given: Option<PathBuf>) -> Result<PathBuf> {
    let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    given.or_else(from_environment).ok_or_else(|| {
        Error::Usage(format!("expected --settings FILE or the variable {SETTINGS_VARIABLE}").into())
    })
}

/// SIGTERM and SIGINT, which request a graceful shutdown.
pub(super) struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    pub(super) fn new() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::System)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::System)?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for the first of the signals.
    pub(super) async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
