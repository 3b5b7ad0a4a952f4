//! The shell of the record of idempotency keys: retries wait here for the running request.

use {
    std::sync::Arc,
    tokio::sync::watch,
    yuccacroft_core::{
        ids::RequestId,
        record::{Bounds, Fingerprint, IdempotencyTable, Key, Lookup, OwnerClaim, RunOutcome},
        shards::Shards,
        time::{Moment, Span},
        units::{Count, Size},
    },
    yuccacroft_rpc::clock::Clock,
};

const PARTS: u8 = 16;
/// Bounds of each part; the whole record takes at most 16 times as much, which is 262,144 keys
/// (56 MB) and 32 MB of answers.
pub const PART_BOUNDS: Bounds =
    Bounds { entries: Count::new(16_384), bytes: Size::new(2 << 20), age: Span::from_secs(120) };
/// Largest answer that is kept. A retry of a request with a larger one gets `unknown`.
pub const MAX_KEPT: Size = Size::new(64 << 10);

/// The records of one agent in parts, each under its own lock.
#[derive(Debug)]
pub struct Records {
    parts: Shards<u8, IdempotencyTable>,
    ends: Shards<RequestId, watch::Sender<bool>>,
    bounds: Bounds,
    clock: Clock,
}

/// A key that is bound to a running request. Dropped without an end, the key counts as unknown.
#[derive(Debug)]
pub struct Bound {
    records: Arc<Records>,
    key: Key,
    call: RequestId,
}

impl Records {
    /// Creates empty records.
    pub fn new(bounds: Bounds, clock: Clock) -> Self {
        Self { parts: Shards::new(), ends: Shards::new(), bounds, clock }
    }

    /// Binds a key to a request, or says what became of the request that has it.
    pub fn begin(
        self: &Arc<Self>,
        key: Key,
        print: Fingerprint,
        call: RequestId,
        claim: OwnerClaim,
    ) -> Result<Bound, Lookup> {
        // Others may see the entry as soon as it exists, and then wait for this channel.
        self.ends.insert(call, watch::channel(false).0);
        let now = self.clock.now();
        match self.part(key, |record| record.begin(key, print, call, claim, now)) {
            Lookup::New => Ok(Bound { records: self.clone(), key, call }),
            seen => {
                self.ends.remove(&call);
                Err(seen)
            }
        }
    }

    /// Returns when a key was bound.
    pub fn bound(&self, key: Key) -> Option<Moment> {
        self.part(key, |record| record.bound_at(key))
    }

    /// Waits until a running request has ended. It returns at once when that has happened.
    pub async fn ended(&self, call: RequestId) {
        let receiver = self.ends.read(&call, |sender| sender.map(watch::Sender::subscribe));
        if let Some(mut receiver) = receiver {
            // An error means that the sender was dropped, which is also an end.
            let _ = receiver.wait_for(|ended| *ended).await;
        }
    }

    /// Returns true when a retry waits for the answer of a request.
    pub fn is_awaited(&self, call: RequestId) -> bool {
        self.ends.read(&call, |sender| sender.is_some_and(|sender| sender.receiver_count() > 0))
    }

    /// Forgets what is older than the bound.
    pub fn expire(&self, now: Moment) {
        self.parts.retain(|_, record| {
            record.expire(now);
            true
        });
    }

    /// Returns the number of keys and the bytes of kept answers.
    pub fn size(&self) -> (usize, Size) {
        let (keys, bytes) = self.parts.fold((0, 0), |(keys, bytes), _, record| {
            (keys + record.len(), bytes + record.size().get())
        });
        (keys, Size::new(bytes))
    }

    fn part<R>(&self, key: Key, act: impl FnOnce(&mut IdempotencyTable) -> R) -> R {
        self.parts.update(key.shard_index(PARTS), |record| {
            act(record.get_or_insert_with(|| IdempotencyTable::new(self.bounds)))
        })
    }
}

impl Bound {
    /// Notes how the request ended, before its caller is told.
    pub fn end(self, end: RunOutcome) {
        self.note(end);
    }

    /// Returns the request that the key is bound to.
    pub fn call(&self) -> RequestId {
        self.call
    }

    /// Returns true when a retry waits for the answer.
    pub fn is_awaited(&self) -> bool {
        self.records.is_awaited(self.call)
    }

    fn note(&self, end: RunOutcome) {
        let now = self.records.clock.now();
        self.records.part(self.key, |record| record.finish(self.key, self.call, end, now));
        if let Some(sender) = self.records.ends.remove(&self.call) {
            sender.send_replace(true);
        }
    }
}

impl Drop for Bound {
    fn drop(&mut self) {
        // The record takes the first end only, so this does nothing after `end`.
        self.note(RunOutcome::Unknown);
    }
}
