//! Runs a balancer or an agent of the segment front end.

use {
    super::role::ShutdownSignals,
    crate::{
        errors::{Error, Result},
        logs,
        settings::segment as settings,
    },
    axum::Router,
    slog::{Level, Logger, info, warn},
    std::{net::SocketAddrV4, path::Path, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
    yuccacroft_core::ini::{self, Override},
    yuccacroft_platform::Platform,
    yuccacroft_rpc::admin,
    yuccacroft_segment::{
        agent, balancer,
        host::{Host, Server, SystemHost},
    },
};

/// Interval at which the settings file is compared with its last known text; the platform may
/// change the file without sending a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a balancer until a shutdown signal.
pub async fn run_balancer(file: &Path, overrides: &[Override]) -> Result<()> {
    let (settings, metrics) = settings::read_balancer(file, overrides)?;
    admin::install_metrics_recorder();
    let (log, _flush_guard) = logs::logger(Level::Info, &settings.name.to_string());
    let shutdown = ShutdownSignals::new()?;
    let process = balancer::Process::new(Platform, settings, log.clone());
    let mut serving = process.serve().await.map_err(Error::Segment)?;
    let _metrics_server = serve_metrics(metrics, serving.dump(), &log).await?;
    tokio::select! {
        () = shutdown.received() => {}
        error = serving.failed() => return Err(Error::Segment(error)),
        never = watch_settings(&log, file, || {
            settings::read_balancer(file, overrides).map(|_| ())
        }) => match never? {},
    }
    serving.drain().stop().await;
    Ok(())
}

/// Runs an agent until a shutdown signal.
pub async fn run_agent(file: &Path, overrides: &[Override]) -> Result<()> {
    let (settings, metrics) = settings::read_agent(file, overrides)?;
    admin::install_metrics_recorder();
    let (log, _flush_guard) = logs::logger(Level::Info, &settings.name.to_string());
    let shutdown = ShutdownSignals::new()?;
    let process = agent::Process::new(Platform, settings, log.clone());
    let mut serving = process.serve().await.map_err(Error::Segment)?;
    let _metrics_server = serve_metrics(metrics, serving.dump(), &log).await?;
    tokio::select! {
        () = shutdown.received() => {}
        error = serving.failed() => return Err(Error::Segment(error)),
        never = watch_settings(&log, file, || {
            settings::read_agent(file, overrides).map(|_| ())
        }) => match never? {},
    }
    serving.drain().stop().await;
    Ok(())
}

/// Serves metrics and the state dump without authentication on the address from the settings, if
/// there is one.
async fn serve_metrics(
    address: Option<SocketAddrV4>,
    dump: Router,
    log: &Logger,
) -> Result<Option<Server>> {
    let Some(address) = address else { return Ok(None) };
    let routes = admin::public_metrics_routes().merge(dump);
    let server = SystemHost.serve("metrics", address, routes, log).await;
    server.map(Some).map_err(Error::Segment)
}

/// Validates the settings file on each SIGHUP and whenever its text has changed, and logs the
/// result. Changed settings take effect at the next start only, since they name sockets that
/// callers and upstreams are using.
async fn watch_settings(
    log: &Logger,
    file: &Path,
    read: impl Fn() -> Result<()>,
) -> Result<std::convert::Infallible> {
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::System)?;
    let mut previous = read_text(log, file).unwrap_or_default();
    loop {
        let sighup = tokio::select! {
            biased;
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let Some(current) = read_text(log, file) else { continue };
        if current == previous && !sighup {
            continue;
        }
        let changed = ini::changed_keys(&previous, &current).join(",");
        previous = current;
        match read() {
            Ok(()) => info!(log, "settings checked"; "asked" => sighup, "changed" => changed,
                "outcome" => "valid at the next start"),
            Err(error) => warn!(log, "settings checked"; "asked" => sighup, "changed" => changed,
                "cause" => %error),
        }
    }
}

/// Reads the settings file; logs a warning and returns `None` if that fails. The read blocks, which
/// is acceptable as the file is small and local.
fn read_text(log: &Logger, file: &Path) -> Option<String> {
    let read = std::fs::read_to_string(file);
    read.inspect_err(|error| warn!(log, "settings not read"; "cause" => %error)).ok()
}
