//! The called side.

use {
    crate::clock,
    http::{HeaderMap, StatusCode},
    serde::de::DeserializeOwned,
    yuccacroft_core::key::Secret,
    yuccacroft_wire::{message, seal},
};

/// Checks the authenticator of a message; nothing of the message may be used when this fails.
pub fn authenticate(
    headers: &HeaderMap,
    key: &Secret,
    path: &str,
    body: &[u8],
) -> Result<(), StatusCode> {
    let text = headers.get(seal::HEADER).and_then(|value| value.to_str().ok());
    let text = text.ok_or(StatusCode::UNAUTHORIZED)?;
    seal::verify(key, path, clock::wall(), body, text).map_err(|_| StatusCode::UNAUTHORIZED)
}

/// Checks the authenticator of a message and decodes it.
pub fn open<T: DeserializeOwned>(
    headers: &HeaderMap,
    key: &Secret,
    path: &str,
    body: &[u8],
) -> Result<T, StatusCode> {
    authenticate(headers, key, path, body)?;
    message::decode(body).map_err(|_| StatusCode::BAD_REQUEST)
}
