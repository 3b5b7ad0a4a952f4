//! The messages between balancers. Their encoding is in `yuccacroft-wire`.

use {
    super::entry::{EntryVersion, GossipEntry},
    serde::{Deserialize, Serialize},
};

/// Number of groups of the digest tree. Each group has the same number of buckets.
pub const GROUPS: usize = 32;
/// Number of buckets of the digest tree.
pub const BUCKETS: usize = GROUPS * GROUPS;

/// The key and version of an entry, without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The digest of the key.
    pub key: u64,
    /// The version.
    pub version: EntryVersion,
}

/// The digests of the buckets of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The index of the group.
    pub group: u8,
    /// The digests of the buckets in the group.
    pub buckets: Box<[u64]>,
}

/// A request or response between two balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// New entries. The response is [`GossipMessage::Known`].
    Push(Vec<GossipEntry>),
    /// The entries of a push that were known already, so that the sender pushes them less often.
    Known(Vec<KeyVersion>),
    /// The digests of all groups. The response is [`GossipMessage::Groups`].
    Digest(Vec<u64>),
    /// The groups that differ, with the responder's digests of their buckets.
    Groups(Vec<Group>),
    /// The keys and versions in the buckets that differ. The response is [`GossipMessage::Delta`].
    Lines {
        /// The indexes of the buckets.
        buckets: Vec<u16>,
        /// The requester's entries in these buckets, sorted by key.
        lines: Vec<KeyVersion>,
    },
    /// The entries that the requester lacks, and the keys of the entries that the responder lacks.
    Delta {
        /// Entries of which the responder has a higher version.
        items: Vec<GossipEntry>,
        /// Keys of which the requester has a higher version.
        wanted: Vec<u64>,
    },
    /// Requests the entries after a key in the order of the key digests. Sent by a joining
    /// balancer; the response is [`GossipMessage::Page`].
    Snapshot {
        /// The last key of the previous page, `None` for the first page.
        after: Option<u64>,
    },
    /// A page of a snapshot.
    Page {
        /// The entries.
        items: Vec<GossipEntry>,
        /// The last key of the page, or `None` if it is the last page.
        next: Option<u64>,
    },
    /// The message was processed.
    Done,
}
