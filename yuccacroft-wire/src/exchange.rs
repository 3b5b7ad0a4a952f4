//! Messages between balancers: `Exchange` spreads and repairs entries, `Snapshot` transfers all
//! entries to a joining balancer, and `Reports` carries what registrars report to the outage
//! detectors of failure domains.

use {
    crate::{
        errors::{Error, Result},
        message,
    },
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        gossip::{
            entry::GossipEntry,
            message::{BUCKETS, GROUPS, GossipMessage, Group, KeyVersion},
        },
        member::membership::MemberReport,
    },
};

/// The path of [`Exchange`] messages.
pub const EXCHANGE_PATH: &str = "/v1/exchange";
/// The path of [`Snapshot`] messages.
pub const SNAPSHOT_PATH: &str = "/v1/snapshot";
/// The path of [`Reports`] messages.
pub const REPORTS_PATH: &str = "/v1/reports";

/// Upper bound of a message in bytes. A page of a snapshot ends after the entry that exceeds 256
/// KB, which is at most a contract of the store's largest value.
pub const MAX_BYTES: usize = 2 << 20;
const MAX_ITEMS: usize = 16_384;
/// Key versions of one comparison: twice the number of entries at the size in `docs/CAPACITY.md`.
const MAX_KEY_VERSIONS: usize = 65_536;
const MAX_REPORTS: usize = 16_384;

/// A message of the exchange, a request or its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exchange(pub GossipMessage);

/// A request for a page of entries, or that page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Snapshot(pub GossipMessage);

/// Reports of a registrar to an outage detector; the answer is an empty list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Reports(pub Vec<MemberReport>);

impl Exchange {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = decode_bounded(bytes)?;
        match &message.0 {
            GossipMessage::Snapshot { .. } | GossipMessage::Page { .. } => Err(Error::Malformed),
            other => validate(other).map(|()| message),
        }
    }
}

impl Snapshot {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = decode_bounded(bytes)?;
        match &message.0 {
            GossipMessage::Snapshot { .. } => Ok(message),
            page @ GossipMessage::Page { .. } => validate(page).map(|()| message),
            _ => Err(Error::Malformed),
        }
    }
}

impl Reports {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = decode_bounded(bytes)?;
        if message.0.len() > MAX_REPORTS { Err(Error::TooLarge) } else { Ok(message) }
    }
}

/// Returns the HTTP path of a message.
pub fn path(message: &GossipMessage) -> &'static str {
    match message {
        GossipMessage::Snapshot { .. } | GossipMessage::Page { .. } => SNAPSHOT_PATH,
        _ => EXCHANGE_PATH,
    }
}

fn decode_bounded<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_BYTES { Err(Error::TooLarge) } else { message::decode(bytes) }
}

/// Checks the bounds of a message, which also hold for answers.
pub fn validate(message: &GossipMessage) -> Result<()> {
    match message {
        GossipMessage::Page { items, .. } => validate_items(items),
        GossipMessage::Push(items) => validate_items(items),
        GossipMessage::Known(keys) if keys.len() > MAX_ITEMS => Err(Error::TooLarge),
        GossipMessage::Digest(groups) if groups.len() != GROUPS => Err(Error::Malformed),
        GossipMessage::Groups(groups) => validate_groups(groups),
        GossipMessage::Lines { buckets, lines } => validate_key_versions(buckets, lines),
        GossipMessage::Delta { items, wanted } if wanted.len() <= MAX_KEY_VERSIONS => {
            validate_items(items)
        }
        GossipMessage::Delta { .. } => Err(Error::TooLarge),
        _ => Ok(()),
    }
}

fn validate_items(items: &[GossipEntry]) -> Result<()> {
    if items.len() > MAX_ITEMS { Err(Error::TooLarge) } else { Ok(()) }
}

fn validate_groups(groups: &[Group]) -> Result<()> {
    let is_valid =
        |group: &Group| usize::from(group.group) < GROUPS && group.buckets.len() == GROUPS;
    if groups.len() <= GROUPS && groups.iter().all(is_valid) {
        Ok(())
    } else {
        Err(Error::Malformed)
    }
}

/// Checks the bounds and the order of key versions; the receiver searches them by bisection.
fn validate_key_versions(buckets: &[u16], key_versions: &[KeyVersion]) -> Result<()> {
    if key_versions.len() > MAX_KEY_VERSIONS {
        return Err(Error::TooLarge);
    }
    let buckets_exist = buckets.iter().all(|&bucket| usize::from(bucket) < BUCKETS);
    let is_ascending = |pair: &[u16]| pair[0] < pair[1];
    let keys_ascend = key_versions.windows(2).all(|pair| pair[0].key < pair[1].key);
    let valid = buckets_exist && keys_ascend && buckets.windows(2).all(is_ascending);
    if valid { Ok(()) } else { Err(Error::Malformed) }
}
