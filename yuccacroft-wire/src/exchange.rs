//! Messages between balancers: `Exchange` for the spreading and repair of entries, `Snapshot` for
//! a joining balancer, `Reports` for the judges of a failure domain.

use {
    crate::{
        errors::{Error, Result},
        message,
    },
    serde::{Deserialize, Serialize},
    yuccacroft_core::{
        gossip::{
            entry::Item,
            message::{BUCKETS, GROUPS, Group, KeyVersion, Message},
        },
        member::membership::Report,
    },
};

/// The path of [`Exchange`] messages.
pub const EXCHANGE_PATH: &str = "/v1/exchange";
/// The path of [`Snapshot`] messages.
pub const SNAPSHOT_PATH: &str = "/v1/snapshot";
/// The path of [`Reports`] messages.
pub const REPORTS_PATH: &str = "/v1/reports";

/// Largest message in bytes. A page of a snapshot ends behind 256 KB of entries, and the last of
/// them is a contract of at most the store's largest value.
pub const MAX_BYTES: usize = 2 << 20;
const MAX_ITEMS: usize = 16_384;
/// Lines of one comparison: all entries of the size in `docs/CAPACITY.md`, twice.
const MAX_LINES: usize = 65_536;
const MAX_REPORTS: usize = 16_384;

/// A message of the exchange, in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exchange(pub Message);

/// A request for a page of entries or that page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Snapshot(pub Message);

/// What a registrar tells a judge; answered with an empty list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Reports(pub Vec<Report>);

impl Exchange {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = bounded(bytes)?;
        match &message.0 {
            Message::Snapshot { .. } | Message::Page { .. } => Err(Error::Malformed),
            other => validate(other).map(|()| message),
        }
    }
}

impl Snapshot {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = bounded(bytes)?;
        match &message.0 {
            Message::Snapshot { .. } => Ok(message),
            page @ Message::Page { .. } => validate(page).map(|()| message),
            _ => Err(Error::Malformed),
        }
    }
}

impl Reports {
    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = bounded(bytes)?;
        if message.0.len() > MAX_REPORTS { Err(Error::TooLarge) } else { Ok(message) }
    }
}

/// Returns the path on which a message travels.
pub fn path(message: &Message) -> &'static str {
    match message {
        Message::Snapshot { .. } | Message::Page { .. } => SNAPSHOT_PATH,
        _ => EXCHANGE_PATH,
    }
}

fn bounded<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() > MAX_BYTES { Err(Error::TooLarge) } else { message::decode(bytes) }
}

/// Checks the bounds of a message, also of an answer.
pub fn validate(message: &Message) -> Result<()> {
    match message {
        Message::Page { items, .. } => validate_items(items),
        Message::Push(items) => validate_items(items),
        Message::Known(keys) if keys.len() > MAX_ITEMS => Err(Error::TooLarge),
        Message::Digest(groups) if groups.len() != GROUPS => Err(Error::Malformed),
        Message::Groups(groups) => validate_groups(groups),
        Message::Lines { buckets, lines } => validate_lines(buckets, lines),
        Message::Delta { items, wanted } if wanted.len() <= MAX_LINES => validate_items(items),
        Message::Delta { .. } => Err(Error::TooLarge),
        _ => Ok(()),
    }
}

fn validate_items(items: &[Item]) -> Result<()> {
    if items.len() > MAX_ITEMS { Err(Error::TooLarge) } else { Ok(()) }
}

fn validate_groups(groups: &[Group]) -> Result<()> {
    let valid = |group: &Group| usize::from(group.group) < GROUPS && group.buckets.len() == GROUPS;
    if groups.len() <= GROUPS && groups.iter().all(valid) { Ok(()) } else { Err(Error::Malformed) }
}

/// Lines have to be in order, since the receiver searches them.
fn validate_lines(buckets: &[u16], lines: &[KeyVersion]) -> Result<()> {
    if lines.len() > MAX_LINES {
        return Err(Error::TooLarge);
    }
    let known = buckets.iter().all(|&bucket| usize::from(bucket) < BUCKETS);
    let rising = |pair: &[u16]| pair[0] < pair[1];
    let ordered = lines.windows(2).all(|pair| pair[0].key < pair[1].key);
    let valid = known && ordered && buckets.windows(2).all(rising);
    if valid { Ok(()) } else { Err(Error::Malformed) }
}
