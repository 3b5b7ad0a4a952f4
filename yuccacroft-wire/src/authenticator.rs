//! Authentication of control messages over HTTP.

use {
    crate::errors::{Error, Result},
    yuccacroft_core::{key::Secret, time::Span},
};

/// The HTTP header that carries the authenticator.
pub const HEADER: &str = "yuccacroft-seal";

/// Largest difference between the clocks of sender and receiver. It bounds how long a recorded
/// message can be played again; all messages are idempotent and versioned.
const MAX_SKEW: Span = Span::from_secs(60);

/// Bytes of the authenticator: half of HMAC-SHA256 (RFC 2104, section 5). The other half would be
/// a tenth of all control bytes at the coming size.
const MAC_BYTES: usize = 16;

/// Signs a message: the text for [`HEADER`]. `clock` is the sender's wall clock since the Unix
/// epoch.
pub fn sign(secret: &Secret, path: &str, clock: Span, body: &[u8]) -> String {
    let millis = clock.as_millis();
    let mac = secret.sign(&[path.as_bytes(), &millis.to_be_bytes(), body]);
    format!("{millis}:{}", hex::encode(&mac[..MAC_BYTES]))
}

/// Checks a message against the text of [`HEADER`] and the receiver's wall clock.
pub fn verify(secret: &Secret, path: &str, clock: Span, body: &[u8], text: &str) -> Result<()> {
    let (millis, mac) = text.split_once(':').ok_or(Error::Malformed)?;
    let millis: u64 = millis.parse().map_err(|_| Error::Malformed)?;
    let mac = hex::decode(mac).map_err(|_| Error::Malformed)?;
    if mac.len() != MAC_BYTES {
        return Err(Error::Malformed);
    }
    if !secret.verify_prefix(&[path.as_bytes(), &millis.to_be_bytes(), body], &mac) {
        return Err(Error::Unauthenticated);
    }
    if clock.as_millis().abs_diff(millis) > MAX_SKEW.as_millis() {
        return Err(Error::Unauthenticated);
    }
    Ok(())
}
