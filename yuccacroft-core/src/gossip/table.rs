//! The entries that one balancer holds, with a digest tree over them.

use {
    super::{
        entry::{Item, Version},
        message::{BUCKETS, GROUPS, Group, KeyVersion},
    },
    crate::{rendezvous, time::Moment, time::Span},
    std::collections::{BTreeMap, VecDeque},
};

/// Bits of a key digest that do not name its bucket.
const BUCKET_SHIFT: u32 = 54;
/// Time after which the entry of something gone no longer takes part in digests. Pushes and
/// repair have reached every balancer by then, and without an end a joining balancer would bring
/// the entry back to those that have dropped it.
pub const QUIET_AFTER: Span = Span::from_secs(60);
/// Time after which the entry of something gone is dropped. It outlasts a region that is cut off
/// for minutes and comes back with old entries.
pub const DROP_AFTER: Span = Span::from_secs(600);

/// What became of an entry that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It is new or has a higher version and is held now.
    Taken,
    /// It is held already.
    Known,
    /// A higher version is held.
    Older,
}

/// The entries by the digest of their key.
#[derive(Clone, Debug)]
pub struct Table {
    held: BTreeMap<u64, Held>,
    buckets: Vec<u64>,
    groups: Vec<u64>,
    gone: VecDeque<(Moment, KeyVersion)>,
    quiet: VecDeque<(Moment, KeyVersion)>,
}

#[derive(Clone, Debug)]
struct Held {
    item: Item,
    quiet: bool,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            held: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            groups: vec![0; GROUPS],
            gone: VecDeque::new(),
            quiet: VecDeque::new(),
        }
    }

    /// Takes an entry unless the held one has the same or a higher version.
    pub fn merge(&mut self, item: &Item, now: Moment) -> Merge {
        let (key, version) = (item.key().digest(), item.version());
        if let Some(held) = self.held.get(&key) {
            let known = held.item.version();
            if known >= version {
                return if known == version { Merge::Known } else { Merge::Older };
            }
            if !held.quiet {
                self.toggle(KeyVersion { key, version: known });
            }
        }
        let line = KeyVersion { key, version };
        self.toggle(line);
        if item.is_gone() {
            self.gone.push_back((now, line));
        }
        self.held.insert(key, Held { item: item.clone(), quiet: false });
        Merge::Taken
    }

    /// Takes entries of things gone out of the digests, and later drops them.
    pub fn expire(&mut self, now: Moment) {
        while let Some((since, line)) = self.gone.front().copied()
            && now.since(since) >= QUIET_AFTER
        {
            self.gone.pop_front();
            let Some(held) = self.held.get_mut(&line.key) else { continue };
            if held.item.version() == line.version && !held.quiet {
                held.quiet = true;
                self.toggle(line);
                self.quiet.push_back((since, line));
            }
        }
        while let Some((since, line)) = self.quiet.front().copied()
            && now.since(since) >= DROP_AFTER
        {
            self.quiet.pop_front();
            if self.held.get(&line.key).is_some_and(|held| held.item.version() == line.version) {
                self.held.remove(&line.key);
            }
        }
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: u64) -> Option<&Item> {
        self.held.get(&key).map(|held| &held.item)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.held.values().map(|held| &held.item)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns true when there is no entry.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the digests of all groups.
    pub fn groups(&self) -> &[u64] {
        &self.groups
    }

    /// Returns the groups whose digests differ from the given ones.
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

    /// Returns the entries of a bucket that take part in its digest.
    pub fn bucket(&self, bucket: u16) -> impl Iterator<Item = (u64, &Item)> {
        let first = u64::from(bucket) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        let range = self.held.range(first..=last);
        range.filter(|(_, held)| !held.quiet).map(|(key, held)| (*key, &held.item))
    }

    /// Returns the entries behind a key up to a number of bytes, and the last key when more
    /// follow.
    pub fn page(&self, after: Option<u64>, bytes: usize) -> (Vec<Item>, Option<u64>) {
        let first = after.map_or(Some(0), |key| key.checked_add(1));
        let Some(first) = first else { return (Vec::new(), None) };
        let (mut items, mut size) = (Vec::new(), 0);
        let mut last = first;
        for (key, held) in self.held.range(first..) {
            if size >= bytes {
                return (items, Some(last));
            }
            last = *key;
            if !held.quiet {
                size += held.item.size();
                items.push(held.item.clone());
            }
        }
        (items, None)
    }

    fn toggle(&mut self, line: KeyVersion) {
        let KeyVersion { key, version: Version { major, minor } } = line;
        let digest = rendezvous::digest(&(key, major, minor));
        let bucket = (key >> BUCKET_SHIFT) as usize;
        self.buckets[bucket] ^= digest;
        self.groups[bucket / GROUPS] ^= digest;
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}
