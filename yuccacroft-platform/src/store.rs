//! The trait of the key-value store.

use {crate::errors::Result, std::future::Future, yuccacroft_core::ids::Revision};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Box<str>,
    /// The revision of the last write to the key.
    pub revision: Revision,
}

/// All keys with a prefix, as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The revision of the store at the time of the call.
    pub revision: Revision,
    /// The items.
    pub items: Box<[Item]>,
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value is stored under this revision.
    Accepted(Revision),
    /// The key had another revision than expected; its present item is returned.
    Conflict(Option<Item>),
}

/// A key-value store with compare-and-swap.
///
/// Every call counts against the store's rates. An implementer never repeats a write by itself:
/// after [`crate::errors::Error::Uncertain`] only the caller can tell whether it took effect.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>>> + Send;

    /// Reads all keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing>> + Send;

    /// Writes a key if it still has the revision `base`; revision zero means that the key must not
    /// exist.
    fn put(
        &self,
        key: &str,
        value: &str,
        base: Revision,
    ) -> impl Future<Output = Result<Outcome>> + Send;
}
