//! The server side of calls between processes.

use {
    crate::clock,
    http::{HeaderMap, StatusCode},
    serde::de::DeserializeOwned,
    yuccacroft_core::key::Secret,
    yuccacroft_wire::{authenticator, message},
};

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
