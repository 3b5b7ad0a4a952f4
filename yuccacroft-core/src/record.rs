//! The record of idempotency keys at the agent that first saw them; see `docs/requests.md`.
//!
//! A key is bound to one run. Its entry says whether that run is in progress, was answered, never
//! ran or may have run. No second run begins while the entry lives.

pub mod bytes;

use {
    crate::{
        ids::RequestId,
        request::{Reason, Refusal},
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
/// Memory of one entry without its answer: the key, the fingerprint, the state, the two queues and
/// the spare room of the map.
pub const ENTRY_BYTES: Size = Size::new(224);

/// The digest of an idempotency key. A digest has a fixed size, so that callers cannot fill the
/// memory with long keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key([u8; DIGEST_BYTES]);

/// The digest of method, path and body, by which a reused key is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Print([u8; DIGEST_BYTES]);

/// A header as a name in lower case and a value.
pub type Header = (Box<str>, Box<[u8]>);

/// A whole answer, as it is kept and as siblings send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers from end to end.
    pub headers: Box<[Header]>,
    /// The body.
    #[serde(with = "bytes")]
    pub body: Box<[u8]>,
}

/// The bounds of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Entries at the same time.
    pub entries: Count,
    /// Bytes of all kept answers.
    pub bytes: Size,
    /// Time that an entry is kept after its request ended.
    pub age: Span,
}

/// What a caller knows of the owner of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It names no owner, so this is its first attempt.
    None,
    /// It names this process, and learned of it at this moment.
    Own(Moment),
}

/// How the run of a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived; `None` when it is too large to keep.
    Answered(Option<Arc<Answer>>),
    /// It truly did not run.
    NotRun(Refusal),
    /// Nobody knows whether it ran.
    Unknown,
}

/// What the record says to a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The key is new and now bound to this request, which may run.
    Fresh,
    /// The request of this id runs under the key; its answer is for this one as well.
    Running(RequestId),
    /// The kept answer.
    Answered(Arc<Answer>),
    /// The run was refused, and every later copy is refused too.
    NotRun(Refusal),
    /// The key may have run, and no answer is kept.
    Unknown,
    /// The key belongs to another method, path or body.
    Conflict,
    /// There is no room for the key. Without an entry a late copy could run, so the outcome is
    /// reported as unknown.
    Full,
}

#[derive(Debug)]
struct Entry {
    print: Print,
    bound: Moment,
    state: State,
}

#[derive(Debug)]
enum State {
    Running(RequestId),
    Ended(End),
}

/// The record of keys. Several of them, each with its part of the keys, serve one agent.
#[derive(Debug)]
pub struct Record {
    bounds: Bounds,
    entries: HashMap<Key, Entry>,
    ended: VecDeque<(Moment, Key)>,
    kept: VecDeque<Key>,
    bytes: u64,
}

impl Key {
    /// Digests the text of an idempotency key.
    pub fn new(text: &[u8]) -> Self {
        Self(digest(&[text]))
    }

    /// Returns a number from 0 to `count - 1` that spreads keys evenly.
    pub fn part(self, count: u8) -> u8 {
        self.0[0] % count.max(1)
    }
}

impl Print {
    /// Digests what a request asks for.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

impl Answer {
    /// Returns its size in memory.
    pub fn size(&self) -> Size {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        Size::new((headers.sum::<usize>() + self.body.len()) as u64)
    }
}

impl Record {
    /// Creates an empty record.
    pub fn new(bounds: Bounds) -> Self {
        let (ended, kept) = (VecDeque::new(), VecDeque::new());
        Self { bounds, entries: HashMap::new(), ended, kept, bytes: 0 }
    }

    /// Binds a key to a request, or says what became of the request that has it.
    pub fn begin(
        &mut self,
        key: Key,
        print: Print,
        call: RequestId,
        claim: Claim,
        now: Moment,
    ) -> Seen {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return if entry.print == print { entry.seen() } else { Seen::Conflict };
        }
        // The entry of a key that was first used under this claim may have expired by now.
        if matches!(claim, Claim::Own(learned) if now.since(learned) >= self.bounds.age) {
            return Seen::Unknown;
        }
        if self.entries.len() as u64 >= self.bounds.entries.get() {
            return Seen::Full;
        }
        let state = State::Running(call);
        self.entries.insert(key, Entry { print, bound: now, state });
        Seen::Fresh
    }

    /// Returns when a key was bound. A claim on the key must not be younger, since the entry may
    /// expire one age after this moment.
    pub fn bound(&self, key: Key) -> Option<Moment> {
        self.entries.get(&key).map(|entry| entry.bound)
    }

    /// Notes how the run of a key ended. This comes before the caller is told. Nothing happens
    /// when the key is bound to another request.
    pub fn finish(&mut self, key: Key, call: RequestId, end: End, now: Moment) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !matches!(entry.state, State::Running(running) if running == call) {
            return;
        }
        if let End::Answered(Some(answer)) = &end {
            self.bytes += answer.size().get();
            self.kept.push_back(key);
        }
        entry.state = State::Ended(end);
        self.ended.push_back((now, key));
        self.trim();
    }

    /// Forgets entries that ended longer ago than the bound.
    pub fn expire(&mut self, now: Moment) {
        while let Some(&(ended, key)) = self.ended.front() {
            if now.since(ended) < self.bounds.age {
                return;
            }
            self.ended.pop_front();
            if let Some(entry) = self.entries.remove(&key) {
                self.bytes -= entry.size();
            }
            // Both queues are in the order in which requests ended.
            if self.kept.front() == Some(&key) {
                self.kept.pop_front();
            }
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the kept answers.
    pub fn size(&self) -> Size {
        Size::new(self.bytes)
    }

    /// Gives up the oldest answers, but not their keys, until the rest is within the bound.
    fn trim(&mut self) {
        while self.bytes > self.bounds.bytes.get() {
            let Some(key) = self.kept.pop_front() else { return };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.bytes -= entry.size();
                entry.state = State::Ended(End::Answered(None));
            }
        }
    }
}

impl Entry {
    fn seen(&self) -> Seen {
        match &self.state {
            State::Running(call) => Seen::Running(*call),
            State::Ended(End::Answered(Some(answer))) => Seen::Answered(answer.clone()),
            State::Ended(End::NotRun(refusal)) => Seen::NotRun(refusal.late(Reason::Tombstone)),
            State::Ended(End::Answered(None) | End::Unknown) => Seen::Unknown,
        }
    }

    fn size(&self) -> u64 {
        match &self.state {
            State::Ended(End::Answered(Some(answer))) => answer.size().get(),
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
