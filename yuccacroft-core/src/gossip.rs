//! Gossip: spreads contracts, members and the entries of balancers between the balancers.
//!
//! Every entry has a key and a version that only increases. New versions are pushed to a few random
//! peers. Periodic anti-entropy with a random peer, which compares digests, repairs what the pushes
//! missed. See `docs/control.md`.

pub mod entry;
pub mod exchange;
pub mod message;
pub mod peer;
pub mod table;
