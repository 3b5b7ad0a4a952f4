//! A concurrent map in shards, each under its own lock.

use {
    siphasher::sip::SipHasher13,
    std::{
        collections::HashMap,
        hash::{BuildHasherDefault, Hash, Hasher},
        sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
    },
};

/// Default number of shards; several times the cores of a small instance, so that two threads
/// seldom meet at one lock.
const DEFAULT_SHARDS: usize = 64;

type Map<K, V> = HashMap<K, V, BuildHasherDefault<SipHasher13>>;

/// A concurrent map whose entries are spread by key over several locks.
///
/// Every operation takes one lock at a time and releases it before it returns. A closure that is
/// passed in must not call the same map again and must not block.
#[derive(Debug)]
pub struct Shards<K, V> {
    shards: Box<[RwLock<Map<K, V>>]>,
}

impl<K: Hash + Eq, V> Shards<K, V> {
    /// Creates an empty map with the default number of shards.
    pub fn new() -> Self {
        Self::with_shards(DEFAULT_SHARDS)
    }

    /// Creates an empty map with `count` shards; zero counts as one.
    pub fn with_shards(count: usize) -> Self {
        let shards = (0..count.max(1)).map(|_| RwLock::new(Map::default())).collect();
        Self { shards }
    }

    fn shard(&self, key: &K) -> &RwLock<Map<K, V>> {
        let mut hasher = SipHasher13::new();
        key.hash(&mut hasher);
        &self.shards[(hasher.finish() % self.shards.len() as u64) as usize]
    }

    fn reading(&self, key: &K) -> RwLockReadGuard<'_, Map<K, V>> {
        self.shard(key).read().unwrap_or_else(PoisonError::into_inner)
    }

    fn writing(&self, key: &K) -> RwLockWriteGuard<'_, Map<K, V>> {
        self.shard(key).write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `look` with the value of `key` under the shard's read lock.
    pub fn read<R>(&self, key: &K, look: impl FnOnce(Option<&V>) -> R) -> R {
        look(self.reading(key).get(key))
    }

    /// Calls `change` with the value of `key` under the shard's write lock. The closure may set
    /// the value to `None` to remove it.
    pub fn update<R>(&self, key: K, change: impl FnOnce(&mut Option<V>) -> R) -> R {
        let mut shard = self.writing(&key);
        let mut value = shard.remove(&key);
        let result = change(&mut value);
        if let Some(value) = value {
            shard.insert(key, value);
        }
        result
    }

    /// Inserts a value and returns the one it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.writing(&key).insert(key, value)
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.writing(key).remove(key)
    }

    /// Keeps only the entries for which `keep` returns true, one shard at a time.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.write().unwrap_or_else(PoisonError::into_inner).retain(&mut keep);
        }
    }

    /// Folds over all entries, one shard at a time; it is no snapshot of a single moment.
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

    /// Returns the number of entries in the shard of a key.
    pub fn shard_len(&self, key: &K) -> usize {
        self.reading(key).len()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.fold(0, |total, _, _| total + 1)
    }

    /// Returns true when there is no entry.
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
