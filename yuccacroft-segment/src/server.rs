//! The HTTP server of a process.

use {
    crate::errors::{Error, Result},
    axum::Router,
    slog::{Logger, error},
    std::net::SocketAddrV4,
    tokio::net::TcpListener,
};

/// Opens a listener and serves `routes` there until the runtime ends.
pub async fn start(
    name: &'static str,
    address: SocketAddrV4,
    routes: Router,
    log: &Logger,
) -> Result<()> {
    let listener = TcpListener::bind(address).await.map_err(Error::socket(name))?;
    let log = log.clone();
    tokio::spawn(async move {
        if let Err(cause) = axum::serve(listener, routes).await {
            error!(log, "server ended"; "socket" => name, "cause" => %cause);
        }
    });
    Ok(())
}
