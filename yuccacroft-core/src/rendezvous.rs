//! Rendezvous hashing: all processes that know the same nodes make the same choice, and adding or
//! removing a node changes only the choices that include this node.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.

use {
    siphasher::sip::SipHasher13,
    std::hash::{Hash, Hasher},
};

/// Returns the hash of a value. It is unkeyed, since all processes must compute the same one.
pub fn digest<T: Hash>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the score of a node for a key, both given by their digests. The nodes with the highest
/// scores are chosen.
pub fn score(key: u64, node: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(key, node);
    hasher.write_u64(key ^ node.rotate_left(32));
    hasher.finish()
}

/// Returns the `count` nodes with the highest scores for a key, in descending order.
pub fn choose<T: Copy + Ord>(
    key: u64,
    nodes: impl Iterator<Item = (T, u64)>,
    count: usize,
) -> Vec<T> {
    let mut best: Vec<(u64, T)> = Vec::with_capacity(count + 1);
    for (node, digest) in nodes {
        let candidate = (score(key, digest), node);
        if best.len() == count && best.last().is_some_and(|worst| *worst >= candidate) {
            continue;
        }
        let position = best.partition_point(|known| *known > candidate);
        best.insert(position, candidate);
        best.truncate(count);
    }
    best.into_iter().map(|(_, node)| node).collect()
}
