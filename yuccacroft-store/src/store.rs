//! The trait of the key-value store and the types of its calls.

use {
    crate::errors::Result,
    futures::{
        StreamExt,
        stream::{BoxStream, Stream},
    },
    std::{
        fmt::{Debug, Display, Formatter},
        future::Future,
    },
    yuccacroft_core::{
        ids::Revision,
        lease::{Id, Permit},
        time::Span,
    },
};

/// A stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Box<str>,
    /// The revision of the last write to the key.
    pub revision: Revision,
    /// The revision at which the key was created.
    pub created: Revision,
}

/// Why the value of an item cannot be read. Other writers of the store cause it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueError {
    /// The store returned no value.
    Missing,
    /// The value is not valid base64.
    Encoding,
    /// The value is not UTF-8 text.
    Text,
}

/// A stored key whose value cannot be read. The other keys hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The key.
    pub key: Box<str>,
    /// Why its value cannot be read.
    pub error: ValueError,
}

/// All keys with a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The revision of the store when it answered the call.
    pub revision: Revision,
    /// The items with the prefix.
    pub items: Box<[KeyValue]>,
    /// The keys with the prefix whose values cannot be read.
    pub unreadable: Box<[Unreadable]>,
}

/// Changes of the keys with a prefix up to one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    pub revision: Revision,
    /// The keys that were written and not removed since, in the order of their writes.
    pub items: Box<[KeyValue]>,
    /// The keys that were written last with values that cannot be read.
    pub unreadable: Box<[Unreadable]>,
    /// The keys that were removed and not written since.
    pub removed: Box<[Box<str>]>,
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The value is stored under this revision.
    Accepted(Revision),
    /// The condition does not hold: a key has another revision or lease than expected. Contains the
    /// current item of that key, or `None` when it does not exist.
    Conflict(Option<KeyValue>),
}

impl Display for ValueError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Missing => "no value",
            Self::Encoding => "not base64",
            Self::Text => "not UTF-8",
        })
    }
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Keys were written or removed.
    Changed(Changes),
    /// The store has compacted the history from the requested revision on. The watch has ended; a
    /// new listing returns the current state.
    Compacted(Revision),
}

/// A running watch. It ends when it is dropped.
pub struct Watch {
    events: BoxStream<'static, Result<WatchEvent>>,
}

impl Watch {
    /// Creates a watch from the stream of events of a store client.
    pub fn new(events: impl Stream<Item = Result<WatchEvent>> + Send + 'static) -> Self {
        Self { events: events.boxed() }
    }

    /// Waits for the next event. Returns `None` when the watch has ended.
    pub async fn next(&mut self) -> Option<Result<WatchEvent>> {
        self.events.next().await
    }
}

impl Debug for Watch {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Watch(..)")
    }
}

/// A key-value store with compare-and-swap.
///
/// Every call counts against the store's rate limits. An implementation never repeats a write on
/// its own: after [`crate::errors::Error::Uncertain`] only the caller can tell whether the write
/// took effect.
pub trait Store: Send + Sync + 'static {
    /// Reads one key. Returns `None` if it does not exist or its value cannot be read.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<KeyValue>>> + Send;

    /// Reads all keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing>> + Send;

    /// Writes a key if its revision is still `base`. Revision zero means that the key must not
    /// exist.
    fn put(
        &self,
        key: &str,
        value: &str,
        base: Revision,
    ) -> impl Future<Output = Result<WriteResult>> + Send;

    /// Watches all keys with a prefix from a revision on. A watch counts as one call, however long
    /// it runs.
    fn watch(&self, prefix: &str, from: Revision) -> impl Future<Output = Result<Watch>> + Send;

    /// Writes a key unconditionally and attaches it to a lease. Returns false if the lease has
    /// ended.
    fn put_with_lease(
        &self,
        key: &str,
        value: &str,
        lease: Id,
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Creates a lease. Its term is rounded down to whole seconds, to at least one.
    fn grant(&self, term: Span) -> impl Future<Output = Result<Id>> + Send;

    /// Renews a lease. Returns false if it has ended.
    fn renew(&self, lease: Id) -> impl Future<Output = Result<bool>> + Send;

    /// Ends a lease, which removes the keys attached to it.
    fn revoke(&self, lease: Id) -> impl Future<Output = Result<()>> + Send;

    /// Creates a key attached to a lease unless the key exists.
    fn create_with_lease(
        &self,
        key: &str,
        value: &str,
        lease: Id,
    ) -> impl Future<Output = Result<WriteResult>> + Send;

    /// Writes a key if `lease_key` is still attached to the lease of the permit. The store checks
    /// this with the write, since the holder may have been paused between its own check and the
    /// write.
    fn put_if_lease_held(
        &self,
        key: &str,
        value: &str,
        lease_key: &str,
        permit: Permit,
    ) -> impl Future<Output = Result<WriteResult>> + Send;
}
