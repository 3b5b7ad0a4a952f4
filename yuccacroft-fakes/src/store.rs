//! Key-value store that implements the range, transaction, watch and lease calls of the etcd JSON
//! gateway.

mod data;
mod faults;
mod watch;

pub use self::faults::CallKind;

use {
    self::{data::Data, faults::Faults},
    axum::{Json, Router, extract::State, http::StatusCode, routing::post},
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch as signal, task::JoinHandle},
};

/// A running store with injectable outages, delays and lost answers.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    data: Mutex<Data>,
    faults: Faults,
    /// Incremented by each change of the data or the faults, to wake the watches.
    changes: signal::Sender<u64>,
}

impl Store {
    /// Starts a store that listens on an address.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (changes, _) = signal::channel(0);
        let shared =
            Arc::new(Shared { data: Mutex::default(), faults: Faults::default(), changes });
        let router = Router::new()
            .route("/v3/kv/range", post(range))
            .route("/v3/kv/txn", post(transaction))
            .route("/v3/watch", post(watch::open))
            .route("/v3/lease/grant", post(grant))
            .route("/v3/lease/keepalive", post(renew))
            .route("/v3/lease/revoke", post(revoke))
            .with_state(shared.clone());
        let server = tokio::spawn(async move {
            // The only error is a failed listener, which clients notice.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, shared, server })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or ends an outage, during which every call fails without effect and watches end.
    pub fn set_down(&self, down: bool) {
        self.shared.faults.set_down(down);
        self.shared.changes.send_modify(|count| *count += 1);
    }

    /// Sets the time by which every call is delayed before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.set_delay(delay);
    }

    /// Sets whether writes take effect but fail with 504.
    pub fn set_lose_answers(&self, lose: bool) {
        self.shared.faults.set_lose_answers(lose);
    }

    /// Lets the next `count` writes take effect but fail with 504.
    pub fn lose_next_answers(&self, count: u64) {
        self.shared.faults.lose_next_answers(count);
    }

    /// Discards the history up to the current revision. Watches that start before it are cancelled.
    pub fn compact(&self) {
        self.shared.data().compact();
        self.shared.changes.send_modify(|count| *count += 1);
    }

    /// Expires a lease immediately.
    pub fn expire_lease(&self, id: u64) {
        self.shared.data().revoke(id);
        self.shared.changes.send_modify(|count| *count += 1);
    }

    /// Returns the total number of calls; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.shared.faults.calls()
    }

    /// Returns the number of calls of one kind.
    pub fn calls_of(&self, kind: CallKind) -> u64 {
        self.shared.faults.calls_of(kind)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Shared {
    fn data(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        data.expire(Instant::now());
        data
    }

    /// Counts a call and applies the delay. Fails during an outage, before the call takes effect.
    async fn begin_call(&self, kind: CallKind) -> Result<(), StatusCode> {
        self.faults.count_call(kind);
        let delay = self.faults.delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.faults.is_down() { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
    }

    /// Wakes the watches after a write. Fails when the answer of the write is to be lost.
    fn finish_write(&self) -> Result<(), StatusCode> {
        self.changes.send_modify(|count| *count += 1);
        if self.faults.take_answer_loss() { Err(StatusCode::GATEWAY_TIMEOUT) } else { Ok(()) }
    }
}

type Answer = Result<Json<Value>, StatusCode>;

async fn range(State(shared): State<Arc<Shared>>, Json(query): Json<Value>) -> Answer {
    shared.begin_call(CallKind::Range).await?;
    let answer = shared.data().range(&query);
    Ok(Json(answer))
}

async fn transaction(State(shared): State<Arc<Shared>>, Json(query): Json<Value>) -> Answer {
    shared.begin_call(CallKind::Transaction).await?;
    let answer = shared.data().transact(&query);
    shared.finish_write()?;
    Ok(Json(answer))
}

async fn grant(State(shared): State<Arc<Shared>>, Json(query): Json<Value>) -> Answer {
    shared.begin_call(CallKind::Grant).await?;
    let seconds = data::number(&query["TTL"]);
    let id = shared.data().grant(Duration::from_secs(seconds), Instant::now());
    shared.finish_write()?;
    Ok(Json(json!({"ID": id.to_string(), "TTL": seconds.to_string()})))
}

async fn renew(State(shared): State<Arc<Shared>>, Json(query): Json<Value>) -> Answer {
    shared.begin_call(CallKind::Renew).await?;
    let id = data::number(&query["ID"]);
    let seconds = shared.data().renew(id, Instant::now());
    shared.finish_write()?;
    Ok(Json(json!({"result": {"ID": id.to_string(), "TTL": seconds.to_string()}})))
}

async fn revoke(State(shared): State<Arc<Shared>>, Json(query): Json<Value>) -> Answer {
    shared.begin_call(CallKind::Revoke).await?;
    shared.data().revoke(data::number(&query["ID"]));
    shared.finish_write()?;
    Ok(Json(json!({})))
}
