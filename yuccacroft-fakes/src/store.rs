//! The platform's key-value store: range and transaction of the etcd JSON gateway.

use {
    axum::{Json, Router, extract::State, http::StatusCode, routing::post},
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tokio::{net::TcpListener, task::JoinHandle},
};

/// A store that can be switched off.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    data: Mutex<Data>,
    down: AtomicBool,
    lose_answers: AtomicBool,
    calls: AtomicU64,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Store {
    /// Starts a store at an address.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let router = Router::new()
            .route("/v3/kv/range", post(range))
            .route("/v3/kv/txn", post(transaction))
            .with_state(shared.clone());
        let server = tokio::spawn(async move {
            // The only error is a broken listener, which callers notice.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends an outage, in which every call fails without effect.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Begins or ends a time in which writes take effect but their answers fail.
    pub fn set_lose_answers(&self, lose: bool) {
        self.shared.lose_answers.store(lose, Ordering::SeqCst);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::SeqCst)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Shared {
    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self) -> Result<(), StatusCode> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
    }
}

impl Data {
    fn range(&self, query: &Value) -> Value {
        let key = bytes(&query["key"]);
        let found: Vec<Value> = match query.get("range_end") {
            None => self.items.get_key_value(&key).map(pair).into_iter().collect(),
            Some(end) => self.items.range(key..bytes(end)).map(pair).collect(),
        };
        json!({"header": {"revision": self.revision.to_string()}, "kvs": found})
    }

    fn put(&mut self, query: &Value) {
        self.revision += 1;
        self.items.insert(bytes(&query["key"]), (bytes(&query["value"]), self.revision));
    }

    fn holds(&self, compare: &Value) -> bool {
        let known = self.items.get(&bytes(&compare["key"])).map_or(0, |(_, revision)| *revision);
        compare["mod_revision"].as_str() == Some(&known.to_string())
    }
}

async fn range(
    State(shared): State<Arc<Shared>>,
    Json(query): Json<Value>,
) -> Result<Json<Value>, StatusCode> {
    shared.begin()?;
    let answer = shared.data().range(&query);
    Ok(Json(answer))
}

async fn transaction(
    State(shared): State<Arc<Shared>>,
    Json(query): Json<Value>,
) -> Result<Json<Value>, StatusCode> {
    shared.begin()?;
    let answer = apply(&mut shared.data(), &query);
    if shared.lose_answers.load(Ordering::SeqCst) {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(answer))
}

fn apply(data: &mut Data, query: &Value) -> Value {
    let none = Vec::new();
    let list = |name: &str| query[name].as_array().unwrap_or(&none);
    let succeeded = list("compare").iter().all(|compare| data.holds(compare));
    let mut responses = Vec::new();
    for operation in list(if succeeded { "success" } else { "failure" }) {
        if let Some(put) = operation.get("request_put") {
            data.put(put);
            responses.push(json!({"response_put": {}}));
        }
        if let Some(query) = operation.get("request_range") {
            responses.push(json!({"response_range": data.range(query)}));
        }
    }
    let header = json!({"revision": data.revision.to_string()});
    json!({"header": header, "succeeded": succeeded, "responses": responses})
}

fn bytes(text: &Value) -> Vec<u8> {
    STANDARD.decode(text.as_str().unwrap_or_default()).unwrap_or_default()
}

fn pair((key, (value, revision)): (&Vec<u8>, &(Vec<u8>, u64))) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(value),
        "mod_revision": revision.to_string(),
    })
}
