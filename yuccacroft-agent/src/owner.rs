//! The header that identifies the owner of an idempotency key. Its value is encrypted and opaque to
//! callers.

use {
    http::{HeaderMap, HeaderValue},
    yuccacroft_core::{
        flow::AgentId,
        key::Secret,
        tag::{Cipher, Owner},
        time::{Moment, Span},
    },
};

/// Header of answers, which callers repeat in their retries.
pub const OWNER_HEADER: &str = "yuccacroft-owner";
/// Resolution of the timestamp in the header. 32 bits suffice for 13 years of process uptime.
const TICK: Span = Span::from_millis(100);

/// Encodes and decodes the header for one incarnation of an agent.
#[derive(Debug)]
pub struct OwnerCodec {
    cipher: Cipher,
    own: AgentId,
}

/// Owner that the header of a request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedOwner {
    /// The request has no such header.
    Missing,
    /// This process, in a header that was encoded at the given time.
    Own(Moment),
    /// Another agent, to which the request can be relayed.
    Other(AgentId),
    /// An earlier process at this address, whose record is lost.
    EarlierIncarnation,
    /// The value is malformed or was encoded for another service.
    Invalid,
}

impl OwnerCodec {
    /// Creates the codec of an agent. `secret` is derived for this purpose.
    pub fn new(secret: &Secret, own: AgentId) -> Self {
        Self { cipher: Cipher::new(secret), own }
    }

    /// Returns the header value for this process with the timestamp `now`.
    pub fn encode(&self, now: Moment) -> HeaderValue {
        let AgentId { instance, incarnation } = self.own;
        // Rounding down makes the timestamp older, never younger.
        let ticks = now.get() / TICK.as_micros();
        let tag = self.cipher.encode(Owner { instance, incarnation }, ticks as u32);
        let text: String = tag.iter().map(|byte| format!("{byte:02x}")).collect();
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
    }

    /// Decodes the header of a request.
    pub fn decode(&self, headers: &HeaderMap) -> NamedOwner {
        let Some(value) = headers.get(OWNER_HEADER) else { return NamedOwner::Missing };
        let Some((owner, ticks)) =
            decode_hex(value).and_then(|id| self.cipher.decode_with_nonce(&id))
        else {
            return NamedOwner::Invalid;
        };
        let agent_id = AgentId::from(owner);
        if agent_id == self.own {
            return NamedOwner::Own(Moment::default() + TICK.saturating_mul(u64::from(ticks)));
        }
        if agent_id.instance == self.own.instance {
            NamedOwner::EarlierIncarnation
        } else {
            NamedOwner::Other(agent_id)
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
