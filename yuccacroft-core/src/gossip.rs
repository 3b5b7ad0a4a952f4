//! Gossip: how balancers spread contracts, members and their own entries among each other.
//!
//! Every entry has one key and a version that only grows. New versions are pushed to a few random
//! peers. A periodic comparison of digests with one random peer repairs what the pushes missed.
//! See `docs/control.md`.

pub mod entry;
pub mod exchange;
pub mod message;
pub mod peer;
pub mod table;
