//! The trait of the key-value store.

use {
    crate::errors::Result,
    futures::{
        StreamExt,
        stream::{BoxStream, Stream},
    },
    std::{
        fmt::{Debug, Formatter},
        future::Future,
    },
    yuccacroft_core::{
        ids::Revision,
        lease::{Id, Permit},
        time::Span,
    },
};

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

/// What happened to the keys with a prefix up to one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The revision up to which the changes are known.
    pub revision: Revision,
    /// The keys that were written and still exist, in the order of their writes.
    pub items: Box<[Item]>,
    /// The keys that were removed and not written again.
    pub removed: Box<[Box<str>]>,
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value is stored under this revision.
    Accepted(Revision),
    /// The key had another revision than expected; its present item is returned.
    Conflict(Option<Item>),
}

/// What a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Keys were written or removed.
    Changed(Changes),
    /// The history from the wanted revision on is gone. The watch has ended; a new listing shows
    /// the present state.
    Compacted(Revision),
}

/// A running watch. It ends when it is dropped.
pub struct Watch {
    notices: BoxStream<'static, Result<WatchEvent>>,
}

impl Watch {
    /// Wraps the notices of an implementer.
    pub fn new(notices: impl Stream<Item = Result<WatchEvent>> + Send + 'static) -> Self {
        Self { notices: notices.boxed() }
    }

    /// Waits for the next notice; `None` means that the store has ended the watch.
    pub async fn next(&mut self) -> Option<Result<WatchEvent>> {
        self.notices.next().await
    }
}

impl Debug for Watch {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Watch(..)")
    }
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

    /// Watches all keys with a prefix from a revision on. It counts as one call however long it
    /// waits.
    fn watch(&self, prefix: &str, from: Revision) -> impl Future<Output = Result<Watch>> + Send;

    /// Writes a key that lives as long as a lease, whatever it held before; false means that the
    /// lease has ended.
    fn put_with_lease(
        &self,
        key: &str,
        value: &str,
        lease: Id,
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Creates a lease with a term in whole seconds.
    fn grant(&self, term: Span) -> impl Future<Output = Result<Id>> + Send;

    /// Renews a lease; false means that it has ended.
    fn renew(&self, lease: Id) -> impl Future<Output = Result<bool>> + Send;

    /// Ends a lease, which removes its keys.
    fn revoke(&self, lease: Id) -> impl Future<Output = Result<()>> + Send;

    /// Creates a key that lives as long as a lease, if nobody else has created it.
    fn create_with_lease(
        &self,
        key: &str,
        value: &str,
        lease: Id,
    ) -> impl Future<Output = Result<Outcome>> + Send;

    /// Writes a key if `claimed` still belongs to the lease of the permit. This closes the gap
    /// between the holder's check and the write, in which the holder may have been paused.
    fn put_if_lease_held(
        &self,
        key: &str,
        value: &str,
        claimed: &str,
        permit: Permit,
    ) -> impl Future<Output = Result<Outcome>> + Send;
}
