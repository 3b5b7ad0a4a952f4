//! The table of idempotency keys at the agent that first received them; see `docs/requests.md`.
//!
//! A key is bound to one request. Its entry tells whether this request is running, was answered,
//! did not run or may have run. No other request with the key runs while the entry exists.

pub mod bytes;

use {
    crate::{
        ids::RequestId,
        request::{Refusal, RefusalReason},
        time::{Moment, Span},
        units::{Count, Size},
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

const DIGEST_BYTES: usize = 16;
/// Memory of one entry without its answer: the key, the fingerprint, the state, its places in the
/// two queues and the spare capacity of the map.
pub const ENTRY_BYTES: Size = Size::new(224);

/// The digest of an idempotency key. Its fixed size keeps callers from exhausting memory with long
/// keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey([u8; DIGEST_BYTES]);

/// The digest of method, path and body, which detects a key that is reused for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint([u8; DIGEST_BYTES]);

/// A header: its name in lower case and its value.
pub type Header = (Box<str>, Box<[u8]>);

/// A complete answer, as it is stored and sent between siblings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers (RFC 9110, 7.6.1).
    pub headers: Box<[Header]>,
    /// The body.
    #[serde(with = "bytes")]
    pub body: Box<[u8]>,
}

/// The limits of an [`IdempotencyTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries.
    pub entries: Count,
    /// Maximum total size of the stored answers.
    pub bytes: Size,
    /// Time for which an entry is kept after its request ended.
    pub age: Span,
}

/// What a request states about the owner of its key, the agent that first received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerClaim {
    /// The request names no owner, as the first attempt does.
    None,
    /// The request names this process, and the caller got that answer at this moment.
    Own(Moment),
}

/// How the request bound to a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The complete answer arrived; `None` when it is too large to store.
    Answered(Option<Arc<Answer>>),
    /// The request did not run.
    NotRun(Refusal),
    /// It is unknown whether the request ran.
    Unknown,
}

/// The result of [`IdempotencyTable::begin`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key was new and is now bound to this request, which may run.
    New,
    /// The request with this id is running under the key; its answer serves this request as well.
    Running(RequestId),
    /// The request was answered; this is the stored answer.
    Answered(Arc<Answer>),
    /// The request was refused, and so is every later copy.
    NotRun(Refusal),
    /// The request may have run, and no answer is stored.
    Unknown,
    /// The key is bound to a request with a different method, path or body.
    Conflict,
    /// The table is full. The outcome is reported as unknown, because a late copy could run without
    /// an entry.
    Full,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    bound_at: Moment,
    state: State,
}

#[derive(Debug)]
enum State {
    Running(RequestId),
    Ended(RunOutcome),
}

/// The table of idempotency keys. An agent uses several, one per shard of the keys.
#[derive(Debug)]
pub struct IdempotencyTable {
    bounds: Bounds,
    entries: HashMap<IdempotencyKey, Entry>,
    end_order: VecDeque<(Moment, IdempotencyKey)>,
    answer_order: VecDeque<IdempotencyKey>,
    answer_bytes: u64,
}

impl IdempotencyKey {
    /// Computes the digest of an idempotency key.
    pub fn new(text: &[u8]) -> Self {
        Self(digest(&[text]))
    }

    /// Returns the shard of the key, from 0 to `count - 1`. Keys are spread evenly.
    pub fn shard_index(self, count: u8) -> u8 {
        self.0[0] % count.max(1)
    }
}

impl Fingerprint {
    /// Computes the digest of a request's method, path and body.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

impl Answer {
    /// Returns the size of the headers and the body in memory.
    pub fn size(&self) -> Size {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        Size::new((headers.sum::<usize>() + self.body.len()) as u64)
    }
}

impl IdempotencyTable {
    /// Creates an empty table.
    pub fn new(bounds: Bounds) -> Self {
        let (end_order, answer_order) = (VecDeque::new(), VecDeque::new());
        Self { bounds, entries: HashMap::new(), end_order, answer_order, answer_bytes: 0 }
    }

    /// Binds a key to a request, or returns the state of the request that it is already bound to.
    pub fn begin(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        request_id: RequestId,
        claim: OwnerClaim,
        now: Moment,
    ) -> Lookup {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return if entry.fingerprint == fingerprint {
                entry.lookup()
            } else {
                Lookup::Conflict
            };
        }
        // The entry that this claim refers to may have expired already.
        if matches!(claim, OwnerClaim::Own(learned) if now.since(learned) >= self.bounds.age) {
            return Lookup::Unknown;
        }
        if self.entries.len() as u64 >= self.bounds.entries.get() {
            return Lookup::Full;
        }
        let state = State::Running(request_id);
        self.entries.insert(key, Entry { fingerprint, bound_at: now, state });
        Lookup::New
    }

    /// Returns when a key was bound. The time in an [`OwnerClaim`] must not be later, since the
    /// entry may expire one retention time (`Bounds::age`) after it.
    pub fn bound_at(&self, key: IdempotencyKey) -> Option<Moment> {
        self.entries.get(&key).map(|entry| entry.bound_at)
    }

    /// Records how the request bound to a key ended. Must be called before the caller is answered.
    /// Has no effect when the key is bound to another request.
    pub fn finish(
        &mut self,
        key: IdempotencyKey,
        request_id: RequestId,
        outcome: RunOutcome,
        now: Moment,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !matches!(entry.state, State::Running(running) if running == request_id) {
            return;
        }
        if let RunOutcome::Answered(Some(answer)) = &outcome {
            self.answer_bytes += answer.size().get();
            self.answer_order.push_back(key);
        }
        entry.state = State::Ended(outcome);
        self.end_order.push_back((now, key));
        self.evict_answers();
    }

    /// Removes entries whose requests ended at least `Bounds::age` ago.
    pub fn expire(&mut self, now: Moment) {
        while let Some(&(ended_at, key)) = self.end_order.front() {
            if now.since(ended_at) < self.bounds.age {
                return;
            }
            self.end_order.pop_front();
            if let Some(entry) = self.entries.remove(&key) {
                self.answer_bytes -= entry.size();
            }
            // Both queues are in the order in which the requests ended.
            if self.answer_order.front() == Some(&key) {
                self.answer_order.pop_front();
            }
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored answers.
    pub fn size(&self) -> Size {
        Size::new(self.answer_bytes)
    }

    /// Drops the oldest answers, but keeps their keys, until the rest fits into `Bounds::bytes`.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.bounds.bytes.get() {
            let Some(key) = self.answer_order.pop_front() else { return };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.answer_bytes -= entry.size();
                entry.state = State::Ended(RunOutcome::Answered(None));
            }
        }
    }
}

impl Entry {
    fn lookup(&self) -> Lookup {
        match &self.state {
            State::Running(request_id) => Lookup::Running(*request_id),
            State::Ended(RunOutcome::Answered(Some(answer))) => Lookup::Answered(answer.clone()),
            State::Ended(RunOutcome::NotRun(refusal)) => {
                Lookup::NotRun(refusal.with_reason(RefusalReason::Tombstone))
            }
            State::Ended(RunOutcome::Answered(None) | RunOutcome::Unknown) => Lookup::Unknown,
        }
    }

    fn size(&self) -> u64 {
        match &self.state {
            State::Ended(RunOutcome::Answered(Some(answer))) => answer.size().get(),
            State::Running(_) | State::Ended(_) => 0,
        }
    }
}

fn digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut bytes = [0; DIGEST_BYTES];
    bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
    bytes
}
