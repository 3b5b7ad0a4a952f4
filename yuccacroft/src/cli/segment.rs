//! Runs the roles of the segment front end.

use {
    super::role::Stop,
    crate::{
        errors::{Error, Result},
        logs,
        settings::segment as settings,
    },
    axum::Router,
    slog::{Level, Logger, info, warn},
    std::{net::SocketAddrV4, path::Path, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
    yuccacroft_core::ini,
    yuccacroft_platform::Platform,
    yuccacroft_rpc::admin,
    yuccacroft_segment::{
        agent, balancer,
        host::{Host, Server, SystemHost},
    },
};

/// Pause between two looks at the settings file; the platform may change it without a signal.
const FILE_PAUSE: Duration = Duration::from_secs(5);

/// Runs a balancer until it is asked to stop.
pub async fn balancer(file: &Path) -> Result<()> {
    let (settings, metrics) = settings::balancer(file)?;
    admin::record_metrics();
    let (log, _flush) = logs::logger(Level::Info, &settings.name.to_string());
    let stop = Stop::new()?;
    let process = balancer::Process::new(Platform, settings, log.clone());
    let serving = process.serve().await.map_err(Error::Segment)?;
    let _inspection = inspect(metrics, serving.dump(), &log).await?;
    tokio::select! {
        () = stop.requested() => {}
        never = reload(&log, file, || settings::balancer(file).map(|_| ())) => match never? {},
    }
    serving.drain().stop().await;
    Ok(())
}

/// Runs an agent until it is asked to stop.
pub async fn agent(file: &Path) -> Result<()> {
    let (settings, metrics) = settings::agent(file)?;
    admin::record_metrics();
    let (log, _flush) = logs::logger(Level::Info, &settings.name.to_string());
    let stop = Stop::new()?;
    let process = agent::Process::new(Platform, settings, log.clone());
    let serving = process.serve().await.map_err(Error::Segment)?;
    let _inspection = inspect(metrics, serving.dump(), &log).await?;
    tokio::select! {
        () = stop.requested() => {}
        never = reload(&log, file, || settings::agent(file).map(|_| ())) => match never? {},
    }
    serving.drain().stop().await;
    Ok(())
}

/// Serves metrics and the state dump to everybody who reaches their address.
async fn inspect(
    address: Option<SocketAddrV4>,
    dump: Router,
    log: &Logger,
) -> Result<Option<Server>> {
    let Some(address) = address else { return Ok(None) };
    let routes = admin::open_metrics().merge(dump);
    let server = SystemHost.serve("metrics", address, routes, log).await;
    server.map(Some).map_err(Error::Segment)
}

/// Checks the settings again at each SIGHUP and when the file has changed without one. All of them
/// take effect at the next start, since they name sockets that callers and upstreams use now.
async fn reload(
    log: &Logger,
    file: &Path,
    read: impl Fn() -> Result<()>,
) -> Result<std::convert::Infallible> {
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::System)?;
    let mut known = text(log, file).unwrap_or_default();
    loop {
        let asked = tokio::select! {
            biased;
            _ = hangup.recv() => true,
            () = tokio::time::sleep(FILE_PAUSE) => false,
        };
        let Some(present) = text(log, file) else { continue };
        if present == known && !asked {
            continue;
        }
        let changed = ini::changed_keys(&known, &present).join(",");
        known = present;
        match read() {
            Ok(()) => info!(log, "settings checked"; "asked" => asked, "changed" => changed,
                "outcome" => "valid at the next start"),
            Err(error) => warn!(log, "settings checked"; "asked" => asked, "changed" => changed,
                "cause" => %error),
        }
    }
}

/// Reads the settings file, which is small and local.
fn text(log: &Logger, file: &Path) -> Option<String> {
    let read = std::fs::read_to_string(file);
    read.inspect_err(|error| warn!(log, "settings not read"; "cause" => %error)).ok()
}
