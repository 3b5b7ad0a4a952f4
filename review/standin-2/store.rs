//! The platform's metadata store. Each machine reaches it at an address of its own, so that it can
//! turn away some machines and serve the others.

use {
    crate::{
        http::{self, Request},
        json::{self, Value},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

/// How the store treats one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    #[default]
    Served,
    /// Calls are reset without having been executed.
    Reset,
    /// Calls are neither executed nor answered, also not later.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    /// The value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    access: HashMap<SocketAddrV4, Access>,
    /// Open connections by the address at which they arrived.
    connections: HashMap<SocketAddrV4, Vec<TcpStream>>,
}

/// The store, shared by all its connections.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    /// Starts the store without an address.
    pub fn start() -> Self {
        let store = Self {
            shared: Arc::new((
                Mutex::new(Data { revision: 10, ..Data::default() }),
                Condvar::new(),
            )),
        };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    /// Serves the store at the address of one machine.
    pub fn listen(&self, address: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                if let Ok(copy) = stream.try_clone() {
                    store.data().connections.entry(address).or_default().push(copy);
                }
                thread::spawn(move || store.serve(stream, address));
            }
        });
        Ok(())
    }

    /// Sets how the store treats the machine that reaches it at this address. When calls are to be
    /// reset, waiting ones are reset too.
    pub fn set_access(&self, address: SocketAddrV4, access: Access) {
        let mut data = self.data();
        data.access.insert(address, access);
        if access == Access::Reset {
            for stream in data.connections.remove(&address).unwrap_or_default() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        drop(data);
        self.shared.1.notify_all();
    }

    /// Writes a key as the operator. The return is the confirmation.
    pub fn write(&self, key: &str, value: &str) {
        let mut data = self.data();
        data.put(key, json::base64(value.as_bytes()), 0);
        drop(data);
        self.shared.1.notify_all();
    }

    /// Takes a key away. Its lease stays, so that no renewal shows it.
    pub fn take_away(&self, key: &str) -> bool {
        let removed = self.data().remove(key);
        self.shared.1.notify_all();
        removed
    }

    /// Returns true if the key exists.
    pub fn has(&self, key: &str) -> bool {
        self.data().items.contains_key(key)
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.shared.0.lock().unwrap()
    }

    fn access(&self, address: SocketAddrV4) -> Access {
        self.data().access.get(&address).copied().unwrap_or_default()
    }

    fn expire(&self) {
        let mut data = self.data();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (renewed, term))| now - *renewed >= *term)
            .map(|(lease, _)| *lease)
            .collect();
        if ended.is_empty() {
            return;
        }
        ended.into_iter().for_each(|lease| data.end_lease(lease));
        drop(data);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, address: SocketAddrV4) {
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            match self.access(address) {
                Access::Served => {}
                Access::Reset => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                // A connection on which a response is lost returns nothing further.
                Access::Silent => loop {
                    if http::read_request(&mut stream, &mut buffer).is_none() {
                        return;
                    }
                },
            }
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            // A call that was waiting when the store fell silent is answered afterwards.
            while self.access(address) == Access::Silent {
                thread::sleep(Duration::from_millis(5));
            }
            if http::respond(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let body = json::parse(&request.body).unwrap_or(Value::Null);
        let last = request.path.rsplit('/').next().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => self.data().read(&request.query("key")),
            ("GET", "/api/kv-range") => self.data().list(&request.query("prefix")),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => {
                let answer = self.data().transact(&body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/api/kv-lease") => self.data().grant(body.number("ttlMs")),
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = last.parse().unwrap_or(0);
                let mut data = self.data();
                match data.leases.get_mut(&lease) {
                    Some((renewed, _)) => {
                        *renewed = Instant::now();
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = last.parse().unwrap_or(0);
                let known = self.data().leases.contains_key(&lease);
                self.data().end_lease(lease);
                self.shared.1.notify_all();
                (if known { 200 } else { 404 }, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.query("prefix"), request.number("after"));
        let until = Instant::now() + Duration::from_millis(request.number("waitMs").min(30_000));
        let mut data = self.data();
        loop {
            let is_due = |event: &&Event| event.revision > after && event.key.starts_with(&prefix);
            let events: Vec<String> = data.events.iter().filter(is_due).map(Event::json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), data.revision);
                return (200, format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
            }
            data = self.shared.1.wait_timeout(data, until - now).unwrap().0;
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { revision, key: key.to_owned(), item: Some(item) });
    }

    fn remove(&mut self, key: &str) -> bool {
        if self.items.remove(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.events.push(Event { revision: self.revision, key: key.to_owned(), item: None });
        true
    }

    fn read(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, item.json(key, Some(self.revision))),
            None => (404, format!("{{\"asOf\":{}}}", self.revision)),
        }
    }

    fn list(&self, prefix: &str) -> (u16, String) {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| item.json(key, None)).collect();
        let (items, revision) = (items.join(","), self.revision);
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{revision}}}"))
    }

    fn transact(&mut self, body: &Value) -> (u16, String) {
        let puts = body.list("puts");
        let lacks_lease = |put: &Value| {
            let lease = put.number("lease");
            lease > 0 && !self.leases.contains_key(&lease)
        };
        if puts.iter().any(lacks_lease) {
            return (404, "{}".into());
        }
        let expected = body.list("expect");
        let holds = |row: &Value| {
            let item = self.items.get(&row.text("key"));
            item.map_or(0, |item| item.revision) == row.number("revision")
        };
        if !expected.iter().all(holds) {
            let rows = expected.iter().filter_map(|row| {
                let key = row.text("key");
                self.items.get(&key).map(|item| item.json(&key, None))
            });
            let rows = rows.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{rows}]}}"));
        }
        for put in puts {
            self.put(&put.text("key"), put.text("value"), put.number("lease"));
        }
        for key in body.list("remove") {
            if let Value::Text(key) = key {
                self.remove(key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, term_ms: u64) -> (u16, String) {
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (Instant::now(), Duration::from_millis(term_ms)));
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{term_ms}}}"))
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| {
            self.remove(key);
        });
    }
}

impl Item {
    fn json(&self, key: &str, as_of: Option<u64>) -> String {
        let Self { value, revision, created, lease } = self;
        let as_of = as_of.map_or_else(String::new, |as_of| format!(",\"asOf\":{as_of}"));
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRev\":{created},\"lease\":{lease}{as_of}}}"
        )
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.item {
            Some(item) => item.json(&self.key, None),
            None => {
                let (key, revision) = (&self.key, self.revision);
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
            }
        }
    }
}
