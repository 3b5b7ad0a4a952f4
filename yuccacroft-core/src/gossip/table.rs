//! The entries that one balancer stores, with a digest tree over them.

use {
    super::{
        entry::{EntryVersion, GossipEntry},
        message::{BUCKETS, GROUPS, Group, KeyVersion},
    },
    crate::{rendezvous, time::Moment, time::Span},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of low bits of a key digest that do not select its bucket.
const BUCKET_SHIFT: u32 = 54;
/// Time after which a tombstone is excluded from digests. Pushes and repair have reached every
/// balancer by then. If tombstones stayed in the digests, a joining balancer would return them to
/// balancers that have dropped them already.
pub const EXCLUDE_FROM_DIGEST_AFTER: Span = Span::from_secs(60);
/// Time after which a tombstone is dropped. It exceeds a partition of minutes, after which a region
/// returns with outdated entries.
pub const DROP_TOMBSTONE_AFTER: Span = Span::from_secs(600);

/// The result of [`EntryTable::merge`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The entry is new or has a higher version and was stored.
    Stored,
    /// The same version is stored already.
    Known,
    /// A higher version is stored.
    Outdated,
}

/// The entries by the digest of their key, with the digest tree and the tombstones to expire.
#[derive(Clone, Debug)]
pub struct EntryTable {
    entries: BTreeMap<u64, StoredEntry>,
    buckets: Vec<u64>,
    groups: Vec<u64>,
    tombstones: VecDeque<(Moment, KeyVersion)>,
    excluded_tombstones: VecDeque<(Moment, KeyVersion)>,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    item: GossipEntry,
    is_excluded: bool,
}

impl EntryTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            groups: vec![0; GROUPS],
            tombstones: VecDeque::new(),
            excluded_tombstones: VecDeque::new(),
        }
    }

    /// Stores an entry unless the stored one has the same or a higher version.
    pub fn merge(&mut self, item: &GossipEntry, now: Moment) -> MergeResult {
        let (key, version) = (item.key().digest(), item.version());
        if let Some(stored) = self.entries.get(&key) {
            let known = stored.item.version();
            if known >= version {
                return if known == version { MergeResult::Known } else { MergeResult::Outdated };
            }
            if !stored.is_excluded {
                self.toggle_digest(KeyVersion { key, version: known });
            }
        }
        let key_version = KeyVersion { key, version };
        self.toggle_digest(key_version);
        if item.is_tombstone() {
            self.tombstones.push_back((now, key_version));
        }
        self.entries.insert(key, StoredEntry { item: item.clone(), is_excluded: false });
        MergeResult::Stored
    }

    /// Excludes old tombstones from the digests and drops them later.
    pub fn expire(&mut self, now: Moment) {
        while let Some((since, key_version)) = self.tombstones.front().copied()
            && now.since(since) >= EXCLUDE_FROM_DIGEST_AFTER
        {
            self.tombstones.pop_front();
            let Some(stored) = self.entries.get_mut(&key_version.key) else { continue };
            if stored.item.version() == key_version.version && !stored.is_excluded {
                stored.is_excluded = true;
                self.toggle_digest(key_version);
                self.excluded_tombstones.push_back((since, key_version));
            }
        }
        while let Some((since, key_version)) = self.excluded_tombstones.front().copied()
            && now.since(since) >= DROP_TOMBSTONE_AFTER
        {
            self.excluded_tombstones.pop_front();
            if self
                .entries
                .get(&key_version.key)
                .is_some_and(|stored| stored.item.version() == key_version.version)
            {
                self.entries.remove(&key_version.key);
            }
        }
    }

    /// Returns the entry with a key digest.
    pub fn get(&self, key: u64) -> Option<&GossipEntry> {
        self.entries.get(&key).map(|stored| &stored.item)
    }

    /// Returns all entries, including tombstones.
    pub fn iter(&self) -> impl Iterator<Item = &GossipEntry> {
        self.entries.values().map(|stored| &stored.item)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the digests of all groups.
    pub fn groups(&self) -> &[u64] {
        &self.groups
    }

    /// Returns the groups whose digests differ from those of another table.
    pub fn differing_groups(&self, other: &[u64]) -> Vec<Group> {
        let pairs = self.groups.iter().zip(other).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing
            .map(|(group, _)| Group {
                group: group as u8,
                buckets: self.buckets[group * GROUPS..(group + 1) * GROUPS].into(),
            })
            .collect()
    }

    /// Returns the buckets whose digests differ from those of the given groups.
    pub fn differing_buckets(&self, groups: &[Group]) -> Vec<u16> {
        let mut differing = Vec::new();
        for group in groups.iter().filter(|group| usize::from(group.group) < GROUPS) {
            let first = usize::from(group.group) * GROUPS;
            for (offset, digest) in group.buckets.iter().take(GROUPS).enumerate() {
                if self.buckets[first + offset] != *digest {
                    differing.push((first + offset) as u16);
                }
            }
        }
        differing
    }

    /// Returns the entries of a bucket that are included in its digest, sorted by key digest.
    pub fn bucket(&self, bucket: u16) -> impl Iterator<Item = (u64, &GossipEntry)> {
        let first = u64::from(bucket) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        let range = self.entries.range(first..=last);
        range.filter(|(_, stored)| !stored.is_excluded).map(|(key, stored)| (*key, &stored.item))
    }

    /// Returns the entries after a key with an estimated size of about `bytes`, and the last key if
    /// more entries follow. Tombstones that are excluded from the digests are left out.
    pub fn page(&self, after: Option<u64>, bytes: usize) -> (Vec<GossipEntry>, Option<u64>) {
        let first = after.map_or(Some(0), |key| key.checked_add(1));
        let Some(first) = first else { return (Vec::new(), None) };
        let (mut items, mut size) = (Vec::new(), 0);
        let mut last = first;
        for (key, stored) in self.entries.range(first..) {
            if size >= bytes {
                return (items, Some(last));
            }
            last = *key;
            if !stored.is_excluded {
                size += stored.item.estimated_size();
                items.push(stored.item.clone());
            }
        }
        (items, None)
    }

    fn toggle_digest(&mut self, key_version: KeyVersion) {
        let KeyVersion { key, version: EntryVersion { major, minor } } = key_version;
        let digest = rendezvous::digest(&(key, major, minor));
        let bucket = (key >> BUCKET_SHIFT) as usize;
        self.buckets[bucket] ^= digest;
        self.groups[bucket / GROUPS] ^= digest;
    }
}

impl Default for EntryTable {
    fn default() -> Self {
        Self::new()
    }
}
