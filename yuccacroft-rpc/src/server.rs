//! The server side of calls between processes.

use {
    crate::{clock, errors::SocketError},
    axum::Router,
    http::{HeaderMap, StatusCode},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
    tokio::net::TcpListener,
    yuccacroft_core::key::Secret,
    yuccacroft_wire::{authenticator, message},
};

/// Binds a TCP listener. `name` is the name of the socket in the settings, used in the error.
pub async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, SocketError> {
    TcpListener::bind(address).await.map_err(SocketError::with_name(name))
}

/// Serves `routes` on a listener. It does not return unless the listener fails.
pub async fn serve(listener: TcpListener, routes: Router) {
    // The server fails only if its listener does.
    let _ = axum::serve(listener, routes).await;
}

/// Checks the authenticator of a message. The message must not be used when this fails.
pub fn authenticate(
    headers: &HeaderMap,
    key: &Secret,
    path: &str,
    body: &[u8],
) -> Result<(), StatusCode> {
    let text = headers.get(authenticator::HEADER).and_then(|value| value.to_str().ok());
    let text = text.ok_or(StatusCode::UNAUTHORIZED)?;
    authenticator::verify(key, path, clock::wall_clock(), body, text)
        .map_err(|_| StatusCode::UNAUTHORIZED)
}

/// Checks the authenticator of a message and decodes it. Returns the HTTP status for the caller
/// when either fails.
pub fn decode_authenticated<T: DeserializeOwned>(
    headers: &HeaderMap,
    key: &Secret,
    path: &str,
    body: &[u8],
) -> Result<T, StatusCode> {
    authenticate(headers, key, path, body)?;
    message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)
}
