//! Authentication of control messages between processes over HTTP.

use {
    crate::errors::{Error, Result},
    yuccacroft_core::{key::Secret, time::Span},
};

/// The HTTP header that carries the authenticator.
pub const HEADER: &str = "yuccacroft-seal";

/// Largest accepted difference between the clocks of sender and receiver. It limits how long a
/// recorded message can be replayed; all messages are idempotent and versioned.
const MAX_SKEW: Span = Span::from_secs(60);

/// Length of the authenticator in bytes: half of HMAC-SHA256 (RFC 2104, section 5). The other half
/// would make up a tenth of all control traffic at the planned size of the system.
const MAC_BYTES: usize = 16;

/// Signs a message and returns the value of [`HEADER`]. `clock` is the sender's wall clock since
/// the Unix epoch.
pub fn sign(key: &Secret, path: &str, clock: Span, body: &[u8]) -> String {
    let millis = clock.as_millis();
    let mac = key.sign(&[path.as_bytes(), &millis.to_be_bytes(), body]);
    format!("{millis}:{}", hex::encode(&mac[..MAC_BYTES]))
}

/// Checks a message against the value of [`HEADER`] and the receiver's wall clock.
pub fn verify(key: &Secret, path: &str, clock: Span, body: &[u8], text: &str) -> Result<()> {
    let (millis, mac) = text.split_once(':').ok_or(Error::Malformed)?;
    let millis: u64 = millis.parse().map_err(|_| Error::Malformed)?;
    let mac = hex::decode(mac).map_err(|_| Error::Malformed)?;
    if mac.len() != MAC_BYTES {
        return Err(Error::Malformed);
    }
    if !key.verify_prefix(&[path.as_bytes(), &millis.to_be_bytes(), body], &mac) {
        return Err(Error::Unauthenticated);
    }
    if clock.as_millis().abs_diff(millis) > MAX_SKEW.as_millis() {
        return Err(Error::Unauthenticated);
    }
    Ok(())
}
