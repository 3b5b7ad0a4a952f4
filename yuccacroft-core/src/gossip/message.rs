//! What balancers say to each other. The encoding is in `yuccacroft-wire`.

use {
    super::entry::{Item, Version},
    serde::{Deserialize, Serialize},
};

/// Groups of the digest tree, each with as many buckets.
pub const GROUPS: usize = 32;
/// Buckets of the digest tree.
pub const BUCKETS: usize = GROUPS * GROUPS;

/// One entry without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The digest of the key.
    pub key: u64,
    /// The version.
    pub version: Version,
}

/// The digests of the buckets of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The number of the group.
    pub group: u8,
    /// The digests of its buckets.
    pub buckets: Box<[u64]>,
}

/// A message of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// New entries; answered with [`Message::Known`].
    Push(Vec<Item>),
    /// What was known already of a push, so that the sender stops earlier.
    Known(Vec<KeyVersion>),
    /// The digests of all groups; answered with [`Message::Groups`].
    Digest(Vec<u64>),
    /// The groups that differ, with the digests of their buckets at the answering side.
    Groups(Vec<Group>),
    /// All entries in the buckets that differ; answered with [`Message::Delta`].
    Lines {
        /// The buckets.
        buckets: Vec<u16>,
        /// The asking side's entries in them.
        lines: Vec<KeyVersion>,
    },
    /// The entries that the asking side lacks, and the keys that the answering side lacks.
    Delta {
        /// Entries with a higher version than the asking side has.
        items: Vec<Item>,
        /// Keys of which the asking side has a higher version.
        wanted: Vec<u64>,
    },
    /// A joining balancer asks for all entries behind a key, in the order of their digests.
    Snapshot {
        /// The last key of the previous page.
        after: Option<u64>,
    },
    /// A page of entries.
    Page {
        /// The entries.
        items: Vec<Item>,
        /// The last key of the page, when more follow.
        next: Option<u64>,
    },
    /// The message was taken.
    Done,
}
