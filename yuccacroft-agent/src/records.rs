//! Idempotency tables in shards. Retries wait here for the running request with the same key.

use {
    std::sync::Arc,
    tokio::sync::watch,
    yuccacroft_core::{
        idempotency::{
            Bounds, Fingerprint, IdempotencyKey, IdempotencyTable, Lookup, OwnerClaim, RunOutcome,
        },
        ids::RequestId,
        shards::Shards,
        time::{Moment, Span},
        units::{Count, Size},
    },
    yuccacroft_rpc::clock::Clock,
};

const SHARD_COUNT: u8 = 16;
/// Bounds of each shard. All 16 shards hold at most 262,144 keys (56 MB) and 32 MB of answers.
pub const SHARD_BOUNDS: Bounds =
    Bounds { entries: Count::new(16_384), bytes: Size::new(2 << 20), age: Span::from_secs(120) };
/// Largest answer that is recorded. A retry of a request with a larger answer gets `unknown`.
pub const MAX_RECORDED_ANSWER: Size = Size::new(64 << 10);

/// The idempotency tables of one agent, each under its own lock.
#[derive(Debug)]
pub struct Records {
    shards: Shards<u8, IdempotencyTable>,
    completions: Shards<RequestId, watch::Sender<bool>>,
    bounds: Bounds,
    clock: Clock,
}

/// A key that is bound to a running request. Dropping it without [`BoundKey::finish`] records the
/// outcome as unknown.
#[derive(Debug)]
pub struct BoundKey {
    records: Arc<Records>,
    key: IdempotencyKey,
    request_id: RequestId,
}

impl Records {
    /// Creates empty records; `bounds` apply to each shard.
    pub fn new(bounds: Bounds, clock: Clock) -> Self {
        Self { shards: Shards::new(), completions: Shards::new(), bounds, clock }
    }

    /// Binds a key to a request. Returns the state of the earlier request when the key is already
    /// bound or cannot be bound.
    pub fn begin(
        self: &Arc<Self>,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        request_id: RequestId,
        claim: OwnerClaim,
    ) -> Result<BoundKey, Lookup> {
        // A concurrent retry may find the entry as soon as it exists and then waits on this
        // channel.
        self.completions.insert(request_id, watch::channel(false).0);
        let now = self.clock.now();
        match self.with_shard(key, |table| table.begin(key, fingerprint, request_id, claim, now)) {
            Lookup::New => Ok(BoundKey { records: self.clone(), key, request_id }),
            known_state => {
                self.completions.remove(&request_id);
                Err(known_state)
            }
        }
    }

    /// Returns the time at which a key was bound.
    pub fn bound_at(&self, key: IdempotencyKey) -> Option<Moment> {
        self.with_shard(key, |table| table.bound_at(key))
    }

    /// Waits until a request ends. Returns at once when it has already ended.
    pub async fn wait_for_end(&self, request_id: RequestId) {
        let receiver =
            self.completions.read(&request_id, |sender| sender.map(watch::Sender::subscribe));
        if let Some(mut receiver) = receiver {
            // The sender is dropped when the request ends, so an error is an end as well.
            let _ = receiver.wait_for(|ended| *ended).await;
        }
    }

    /// Returns true if a retry waits for the answer of a request.
    pub fn has_waiters(&self, request_id: RequestId) -> bool {
        self.completions
            .read(&request_id, |sender| sender.is_some_and(|sender| sender.receiver_count() > 0))
    }

    /// Removes entries that are older than the bound.
    pub fn expire(&self, now: Moment) {
        self.shards.retain(|_, table| {
            table.expire(now);
            true
        });
    }

    fn with_shard<R>(
        &self,
        key: IdempotencyKey,
        update: impl FnOnce(&mut IdempotencyTable) -> R,
    ) -> R {
        self.shards.update(key.shard_index(SHARD_COUNT), |table| {
            update(table.get_or_insert_with(|| IdempotencyTable::new(self.bounds)))
        })
    }
}

impl BoundKey {
    /// Records how the request ended. This must precede the answer to the caller.
    pub fn finish(self, outcome: RunOutcome) {
        self.record_outcome(outcome);
    }

    /// Returns true if a retry waits for the answer.
    pub fn has_waiters(&self) -> bool {
        self.records.has_waiters(self.request_id)
    }

    fn record_outcome(&self, outcome: RunOutcome) {
        let now = self.records.clock.now();
        self.records
            .with_shard(self.key, |table| table.finish(self.key, self.request_id, outcome, now));
        if let Some(sender) = self.records.completions.remove(&self.request_id) {
            sender.send_replace(true);
        }
    }
}

impl Drop for BoundKey {
    fn drop(&mut self) {
        // The table keeps the first outcome, so this has no effect after `finish`.
        self.record_outcome(RunOutcome::Unknown);
    }
}
