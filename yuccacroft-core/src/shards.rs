//! A concurrent map split into shards, each with its own lock.

use {
    siphasher::sip::SipHasher13,
    std::{
        collections::HashMap,
        hash::{BuildHasherDefault, Hash, Hasher},
        sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
    },
};

/// Default number of shards: several times the cores of a small instance, so that two threads
/// seldom contend for the same lock.
const DEFAULT_SHARDS: usize = 64;

type Map<K, V> = HashMap<K, V, BuildHasherDefault<SipHasher13>>;

/// A concurrent map whose entries are distributed by the hash of their key over several locks.
///
/// Every operation holds one lock at a time and releases it before it returns. A closure passed to
/// the map must not block and must not access the same map.
#[derive(Debug)]
pub struct Shards<K, V> {
    shards: Box<[RwLock<Map<K, V>>]>,
}

impl<K: Hash + Eq, V> Shards<K, V> {
    /// Creates an empty map with the default number of shards.
    pub fn new() -> Self {
        Self::with_shards(DEFAULT_SHARDS)
    }

    /// Creates an empty map with `count` shards, at least one.
    pub fn with_shards(count: usize) -> Self {
        let shards = (0..count.max(1)).map(|_| RwLock::new(Map::default())).collect();
        Self { shards }
    }

    fn shard_of(&self, key: &K) -> &RwLock<Map<K, V>> {
        let mut hasher = SipHasher13::new();
        key.hash(&mut hasher);
        &self.shards[(hasher.finish() % self.shards.len() as u64) as usize]
    }

    fn read_shard(&self, key: &K) -> RwLockReadGuard<'_, Map<K, V>> {
        self.shard_of(key).read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_shard(&self, key: &K) -> RwLockWriteGuard<'_, Map<K, V>> {
        self.shard_of(key).write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `inspect` with the value of `key` under the shard's read lock.
    pub fn read<R>(&self, key: &K, inspect: impl FnOnce(Option<&V>) -> R) -> R {
        inspect(self.read_shard(key).get(key))
    }

    /// Calls `change` with the value of `key` under the shard's write lock. The closure inserts or
    /// removes the value by setting the option.
    pub fn update<R>(&self, key: K, change: impl FnOnce(&mut Option<V>) -> R) -> R {
        let mut shard = self.write_shard(&key);
        let mut value = shard.remove(&key);
        let result = change(&mut value);
        if let Some(value) = value {
            shard.insert(key, value);
        }
        result
    }

    /// Inserts a value and returns the previous one.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.write_shard(&key).insert(key, value)
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.write_shard(key).remove(key)
    }

    /// Removes the entries for which `keep` returns false, one shard at a time.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.write().unwrap_or_else(PoisonError::into_inner).retain(&mut keep);
        }
    }

    /// Folds over all entries, one shard at a time. Entries may change in other shards meanwhile,
    /// so that the result is not a consistent snapshot.
    pub fn fold<A>(&self, start: A, mut step: impl FnMut(A, &K, &V) -> A) -> A {
        self.shards.iter().fold(start, |total, shard| {
            let shard = shard.read().unwrap_or_else(PoisonError::into_inner);
            shard.iter().fold(total, |total, (key, value)| step(total, key, value))
        })
    }

    /// Returns the number of shards.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Returns the number of entries in the shard that holds `key`.
    pub fn shard_len(&self, key: &K) -> usize {
        self.read_shard(key).len()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.fold(0, |total, _, _| total + 1)
    }

    /// Returns true if the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<K: Hash + Eq, V: Clone> Shards<K, V> {
    /// Returns a copy of the value of `key`.
    pub fn get(&self, key: &K) -> Option<V> {
        self.read(key, |value| value.cloned())
    }
}

impl<K: Hash + Eq, V> Default for Shards<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
