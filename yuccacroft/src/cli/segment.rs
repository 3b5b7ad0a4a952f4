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
    std::{net::SocketAddrV4, path::Path},
    tokio::signal::unix::{SignalKind, signal},
    yuccacroft_platform::Platform,
    yuccacroft_rpc::admin,
    yuccacroft_segment::{
        agent, balancer,
        host::{Host, Machine, Server},
    },
};

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
        never = reload(&log, || settings::balancer(file).map(|_| ())) => match never? {},
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
        never = reload(&log, || settings::agent(file).map(|_| ())) => match never? {},
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
    let server = Machine.serve("metrics", address, routes, log).await;
    server.map(Some).map_err(Error::Segment)
}

/// Checks the settings again at each SIGHUP. All of them take effect at the next start, since they
/// name sockets that callers and upstreams use now.
async fn reload(log: &Logger, read: impl Fn() -> Result<()>) -> Result<std::convert::Infallible> {
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::System)?;
    loop {
        hangup.recv().await;
        match read() {
            Ok(()) => info!(log, "settings checked"; "outcome" => "valid at the next start"),
            Err(error) => warn!(log, "settings checked"; "cause" => %error),
        }
    }
}
