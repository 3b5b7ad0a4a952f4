//! The header that names the owner of an idempotency key, opaque to callers.

use {
    http::{HeaderMap, HeaderValue},
    yuccacroft_core::{
        flow::Hop,
        key::Secret,
        tag::{Cipher, Owner},
        time::{Moment, Span},
    },
};

/// The header of answers and retries.
pub const HEADER: &str = "yuccacroft-owner";
/// Resolution of the time in the header. With 32 bits it lasts for 13 years of one process.
const TICK: Span = Span::from_millis(100);

/// Writes and reads the header of one life of an agent.
#[derive(Debug)]
pub struct OwnerCodec {
    cipher: Cipher,
    own: Hop,
}

/// What the header of a request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedOwner {
    /// There is none.
    Missing,
    /// It names this process, and was written at this moment.
    Own(Moment),
    /// It names another agent, which may be asked.
    Other(Hop),
    /// It names an earlier process at this address, whose record is lost.
    EarlierIncarnation,
    /// It is not one of this service.
    Invalid,
}

impl OwnerCodec {
    /// Creates the codec of an agent. `secret` is derived for this purpose.
    pub fn new(secret: &Secret, own: Hop) -> Self {
        Self { cipher: Cipher::new(secret), own }
    }

    /// Returns the header value that names this process at the present moment.
    pub fn encode(&self, now: Moment) -> HeaderValue {
        let Hop { instance, incarnation } = self.own;
        // Rounding down makes the claim look older than it is, never younger.
        let ticks = now.get() / TICK.as_micros();
        let tag = self.cipher.encode(Owner { instance, incarnation }, ticks as u32);
        let text: String = tag.iter().map(|byte| format!("{byte:02x}")).collect();
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
    }

    /// Reads the header of a request.
    pub fn decode(&self, headers: &HeaderMap) -> NamedOwner {
        let Some(value) = headers.get(HEADER) else { return NamedOwner::Missing };
        let Some((owner, ticks)) =
            decode_hex(value).and_then(|id| self.cipher.decode_with_nonce(&id))
        else {
            return NamedOwner::Invalid;
        };
        let hop = Hop::from(owner);
        if hop == self.own {
            return NamedOwner::Own(Moment::default() + TICK.times(u64::from(ticks)));
        }
        if hop.instance == self.own.instance {
            NamedOwner::EarlierIncarnation
        } else {
            NamedOwner::Other(hop)
        }
    }
}

fn decode_hex(value: &HeaderValue) -> Option<Vec<u8>> {
    let text = value.to_str().ok()?;
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |index| u8::from_str_radix(&text[index..index + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
