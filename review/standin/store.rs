//! The platform's key-value store as PROTOCOL.md describes it.

use {
    crate::{
        http::{self, Request, Response},
        json::{Json, decode_base64, encode_base64, quote},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddrV4,
        sync::{Arc, Condvar, Mutex, MutexGuard, atomic::AtomicBool},
        thread,
        time::{Duration, Instant},
    },
};

/// Response time of every call.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Limits of one page of items.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Largest value of an item.
pub const VALUE_BYTES: usize = 1_048_576;
/// Calls in a second that the store serves.
const READS_PER_S: u32 = 2_000;
/// Time for which history is kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    second: Instant,
    reads: u32,
    ranges: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts a store on an address.
    pub fn start(address: SocketAddrV4) -> Self {
        let data = Data {
            revision: 1,
            items: BTreeMap::new(),
            events: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            second: Instant::now(),
            reads: 0,
            ranges: 0,
        };
        let store = Self { data: Arc::new((Mutex::new(data), Condvar::new())) };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        let served = store.clone();
        http::serve(address, Arc::new(AtomicBool::new(false)), move |request| {
            thread::sleep(ANSWER_TIME);
            served.handle(&request)
        });
        store
    }

    /// Writes an item as the operator or another writer does.
    pub fn write(&self, key: &str, value: &[u8]) -> u64 {
        assert!(value.len() <= VALUE_BYTES);
        let mut data = self.lock();
        data.revision += 1;
        data.put(key, value.to_vec(), 0);
        self.data.1.notify_all();
        data.revision
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the number of range calls so far.
    pub fn ranges(&self) -> u64 {
        self.lock().ranges
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().unwrap()
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut data = self.lock();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            data.end_lease(id);
            self.data.1.notify_all();
        }
        let old = data.events.iter().take_while(|event| now - event.at > HISTORY).count();
        let last = data.events.drain(..old).next_back().map(|event| event.revision);
        data.compacted = last.unwrap_or(data.compacted);
    }

    fn handle(&self, request: &Request) -> Response {
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
        let path = request.path.as_str();
        let is_read = request.method == "GET";
        if is_read {
            let mut data = self.lock();
            if data.second.elapsed() >= Duration::from_secs(1) {
                (data.second, data.reads) = (Instant::now(), 0);
            }
            data.reads += 1;
            if data.reads > READS_PER_S {
                return Some((429, "{}".into()));
            }
        }
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => Some(self.key(request.value("key")?)),
            ("GET", "/api/kv-range") => {
                Some(self.range(request.value("prefix")?, request.value("after").unwrap_or("")))
            }
            ("GET", "/api/kv-watch") => Some(self.watch(request)),
            ("POST", "/api/kv-txn") => Some(self.transact(&body?)),
            ("POST", "/api/kv-lease") => {
                let ttl = Duration::from_millis(body?.number("ttlMs")?.clamp(1_000, 600_000));
                let mut data = self.lock();
                data.next_lease += 1;
                let id = data.next_lease;
                data.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
                Some((200, format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis())))
            }
            ("POST", path) => {
                let id: u64 = path.strip_prefix("/api/kv-keep/")?.parse().ok()?;
                let mut data = self.lock();
                let Some(lease) = data.leases.get_mut(&id) else { return Some((404, "{}".into())) };
                lease.expires = Instant::now() + lease.ttl;
                Some((200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis())))
            }
            ("DELETE", path) => {
                let id: u64 = path.strip_prefix("/api/kv-lease-end/")?.parse().ok()?;
                let mut data = self.lock();
                if !data.leases.contains_key(&id) {
                    return Some((404, "{}".into()));
                }
                data.end_lease(id);
                self.data.1.notify_all();
                Some((200, "{}".into()))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let data = self.lock();
        match data.items.get(key) {
            Some(item) => {
                let item = describe(key, item);
                (200, format!("{},\"asOf\":{}}}", &item[..item.len() - 1], data.revision))
            }
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut data = self.lock();
        data.ranges += 1;
        let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in &data.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            // A page always has an item, so that a reader gets on.
            let is_full = page.len() >= PAGE_ITEMS || bytes + item.value.len() > PAGE_BYTES;
            if !page.is_empty() && is_full {
                more = true;
                break;
            }
            bytes += item.value.len();
            page.push(describe(key, item));
        }
        (
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":{more},\"asOf\":{}}}",
                page.join(","),
                data.revision
            ),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.value("prefix").unwrap_or("");
        let number =
            |name| request.value(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs").min(30_000)));
        let deadline = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            if after < data.compacted {
                return (410, "{}".into());
            }
            let events: Vec<String> = data
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => describe(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return (
                    200,
                    format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), data.revision),
                );
            }
            data = self.data.1.wait_timeout(data, deadline - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut data = self.lock();
        let (mut holds, mut found) = (true, Vec::new());
        for expected in body.list("expect") {
            let key = expected.text("key").unwrap_or_default();
            let item = data.items.get(key);
            holds &=
                item.map_or(0, |item| item.revision) == expected.number("revision").unwrap_or(0);
            found.extend(item.map(|item| describe(key, item)));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let puts = body.list("puts");
        let lease_of = |put: &Json| put.number("lease").unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) != 0 && !data.leases.contains_key(&lease_of(put))) {
            return (404, "{}".into());
        }
        data.revision += 1;
        for put in puts {
            let value = put.text("value").and_then(decode_base64).unwrap_or_default();
            data.put(put.text("key").unwrap_or_default(), value, lease_of(put));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                data.remove(key);
            }
        }
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Event {
                at: Instant::now(),
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            };
            self.events.push(event);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}
