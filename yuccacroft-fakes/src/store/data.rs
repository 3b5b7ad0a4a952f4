//! Keys, revision history and leases of the store.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The value of a key, the revisions of its last change and its creation, and its lease; zero is no
/// lease.
#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change in the history; the value of a removal is `None`.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    value: Option<Vec<u8>>,
    /// The revision at which the key was created.
    created: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The state of the store.
#[derive(Debug, Default)]
pub struct Data {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    history: Vec<Change>,
    /// The revision up to which the history was discarded.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// The result of reading the history for a watch.
pub enum WatchResult {
    /// The events, and the current revision of the store.
    Events(Vec<Value>, u64),
    /// The requested revision was compacted; the history was discarded up to this revision.
    Compacted(u64),
}

impl Data {
    /// Runs a range request and returns its answer.
    pub fn range(&self, query: &Value) -> Value {
        let key = bytes(&query["key"]);
        let found: Vec<Value> = match query.get("range_end") {
            None => self.items.get_key_value(&key).map(pair).into_iter().collect(),
            Some(end) => self.items.range(key..bytes(end)).map(pair).collect(),
        };
        json!({"header": {"revision": self.revision.to_string()}, "kvs": found})
    }

    /// Runs a transaction and returns its answer.
    pub fn transact(&mut self, query: &Value) -> Value {
        let empty = Vec::new();
        let list = |name: &str| query[name].as_array().unwrap_or(&empty).clone();
        let succeeded = list("compare").iter().all(|compare| self.is_satisfied(compare));
        let mut responses = Vec::new();
        for operation in list(if succeeded { "success" } else { "failure" }) {
            if let Some(put) = operation.get("request_put") {
                self.put(put);
                responses.push(json!({"response_put": {}}));
            }
            if let Some(query) = operation.get("request_range") {
                responses.push(json!({"response_range": self.range(query)}));
            }
        }
        let header = json!({"revision": self.revision.to_string()});
        json!({"header": header, "succeeded": succeeded, "responses": responses})
    }

    /// Returns the changes of keys in `key..end` since the revision `from`, inclusive.
    pub fn changes_since(&self, from: u64, key: &[u8], end: &[u8]) -> WatchResult {
        if from <= self.compacted {
            return WatchResult::Compacted(self.compacted);
        }
        let matches =
            |change: &&Change| change.revision >= from && *change.key >= *key && *change.key < *end;
        WatchResult::Events(self.history.iter().filter(matches).map(event).collect(), self.revision)
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Discards the history up to the current revision.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Creates a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Renews a lease and returns its time to live in seconds; zero when it does not exist.
    pub fn renew(&mut self, id: u64, now: Instant) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.expires_at = now + lease.ttl;
        lease.ttl.as_secs()
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let owned = self.items.iter().filter(|(_, item)| item.lease == id && id != 0);
        let keys: Vec<Vec<u8>> = owned.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.items.remove(&key);
            self.revision += 1;
            self.history.push(Change { revision: self.revision, key, value: None, created: 0 });
        }
    }

    /// Revokes the leases that have expired.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.revoke(id));
    }

    fn put(&mut self, query: &Value) {
        self.revision += 1;
        let (key, value) = (bytes(&query["key"]), bytes(&query["value"]));
        let lease = number(&query["lease"]);
        let revision = self.revision;
        let created = self.items.get(&key).map_or(revision, |item| item.created);
        self.items.insert(key.clone(), Item { value: value.clone(), revision, created, lease });
        self.history.push(Change { revision, key, value: Some(value), created });
    }

    fn is_satisfied(&self, compare: &Value) -> bool {
        let known = self.items.get(&bytes(&compare["key"]));
        match compare["target"].as_str() {
            Some("LEASE") => {
                let lease = known.map_or(0, |item| item.lease);
                lease != 0 && number(&compare["lease"]) == lease
            }
            _ => known.map_or(0, |item| item.revision) == number(&compare["mod_revision"]),
        }
    }
}

/// Decodes a number, which the gateway encodes as a string. Returns zero for null and `u64::MAX` for
/// anything else.
pub fn number(text: &Value) -> u64 {
    match text {
        Value::Null => 0,
        text => text.as_str().and_then(|text| text.parse().ok()).unwrap_or(u64::MAX),
    }
}

/// Decodes a key or value from Base64; empty when it is invalid.
pub fn bytes(text: &Value) -> Vec<u8> {
    STANDARD.decode(text.as_str().unwrap_or_default()).unwrap_or_default()
}

fn pair((key, item): (&Vec<u8>, &Item)) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "mod_revision": item.revision.to_string(),
        "create_revision": item.created.to_string(),
    })
}

fn event(change: &Change) -> Value {
    let revision = change.revision.to_string();
    let key = STANDARD.encode(&change.key);
    match &change.value {
        Some(value) => {
            let (value, created) = (STANDARD.encode(value), change.created.to_string());
            json!({"kv": {
                "key": key, "value": value, "mod_revision": revision, "create_revision": created,
            }})
        }
        None => json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}}),
    }
}
