//! A client of the JSON gateway of etcd version 3.
//!
//! See the etcd documentation, "gRPC gateway". Keys and values are base64, and 64-bit numbers are
//! decimal strings.

mod query;
mod watch;

use {
    self::query::{
        Compare, Expected, GrantAnswer, GrantQuery, LeaseQuery, Operation, Range, RangeAnswer,
        RenewAnswer, RevokeAnswer, Transaction, TransactionAnswer, decode_item, parse_revision,
        protocol_error,
    },
    crate::{
        errors::{Error, Result},
        exchange::exchange,
        store::{KeyValue, Listing, Store, Watch, WriteResult},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::Full,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    yuccacroft_core::{
        ids::Revision,
        lease::{Id, Permit},
        time::Span,
    },
};

/// Upper bound of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MILLIS_PER_SECOND: u64 = 1_000;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_KEEP_ALIVE_PROBES: u32 = 2;
/// Metric: number of calls to the store, labelled with the path.
pub const CALLS_METRIC: &str = "yuccacroft_store_calls_total";

/// A client with a pool of connections to one address of the store.
#[derive(Clone, Debug)]
pub struct EtcdClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl EtcdClient {
    /// Creates a client. A call that takes longer than `timeout` fails: a watch with
    /// [`Error::Unreachable`], any other call with [`Error::Uncertain`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // A watch may be idle for hours. Keep-alive probes detect a connection whose state was lost
        // by a device on the path.
        connector.set_keepalive(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_KEEP_ALIVE_PROBES));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { address, client, timeout }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &'static str,
        query: &Q,
    ) -> Result<A> {
        let request = self.request(path, query)?;
        let answer = tokio::time::timeout(self.timeout, self.send_request(request));
        let bytes = answer.await.map_err(|_| Error::Uncertain("timeout".into()))??;
        serde_json::from_slice(&bytes).map_err(|e| protocol_error(&e))
    }

    fn request<Q: Serialize>(
        &self,
        path: &'static str,
        query: &Q,
    ) -> Result<http::Request<Full<Bytes>>> {
        metrics::counter!(CALLS_METRIC, "path" => path).increment(1);
        let body = serde_json::to_vec(query).map_err(|e| protocol_error(&e))?;
        http::Request::post(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| protocol_error(&e))
    }

    async fn transact(&self, query: &Transaction<'_>) -> Result<WriteResult> {
        let answer: TransactionAnswer = self.call("/v3/kv/txn", query).await?;
        if answer.succeeded {
            return Ok(WriteResult::Accepted(parse_revision(&answer.header.revision)?));
        }
        let found = answer.responses.into_iter().find_map(|r| r.response_range);
        let pair = found.and_then(|range| range.kvs.into_iter().next());
        Ok(WriteResult::Conflict(pair.map(decode_item).transpose()?.and_then(|item| item.ok())))
    }

    async fn send_request(&self, request: http::Request<Full<Bytes>>) -> Result<Bytes> {
        let (status, bytes) = exchange(&self.client, request, MAX_ANSWER_BYTES).await?;
        if status.is_server_error() {
            return Err(Error::Uncertain(status.to_string().into()));
        }
        if !status.is_success() {
            return Err(Error::Protocol(status.to_string().into()));
        }
        Ok(bytes)
    }
}

impl Store for EtcdClient {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>> {
        let query = Range { key: &STANDARD.encode(key), range_end: None };
        let answer: RangeAnswer = self.call("/v3/kv/range", &query).await?;
        Ok(answer.kvs.into_iter().next().map(decode_item).transpose()?.and_then(|item| item.ok()))
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let end = STANDARD.encode(prefix_end(prefix));
        let query = Range { key: &STANDARD.encode(prefix), range_end: Some(&end) };
        let answer: RangeAnswer = self.call("/v3/kv/range", &query).await?;
        let revision = parse_revision(&answer.header.revision)?;
        let (mut items, mut unreadable) = (Vec::new(), Vec::new());
        for pair in answer.kvs {
            match decode_item(pair)? {
                Ok(item) => items.push(item),
                Err(item) => unreadable.push(item),
            }
        }
        Ok(Listing { revision, items: items.into(), unreadable: unreadable.into() })
    }

    async fn put(&self, key: &str, value: &str, base: Revision) -> Result<WriteResult> {
        let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
        let expected = Expected::Mod { mod_revision: base.to_string().into() };
        let query = Transaction {
            compare: &[Compare { key: &key, result: "EQUAL", expected }],
            success: [Operation::RequestPut { key: &key, value: &value, lease: None }],
            failure: [Operation::RequestRange(Range { key: &key, range_end: None })],
        };
        self.transact(&query).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        let query = watch::create_query(prefix, &prefix_end(prefix), from);
        let request = self.request("/v3/watch", &query)?;
        let response = tokio::time::timeout(self.timeout, self.client.request(request)).await;
        let response = response
            .map_err(|_| Error::Unreachable("timeout".into()))?
            .map_err(|error| Error::Unreachable(error.to_string().into()))?;
        let status = response.status();
        if status.is_server_error() {
            return Err(Error::Unreachable(status.to_string().into()));
        }
        if !status.is_success() {
            return Err(Error::Protocol(status.to_string().into()));
        }
        Ok(Watch::new(watch::events(response.into_body())))
    }

    async fn put_with_lease(&self, key: &str, value: &str, lease: Id) -> Result<bool> {
        let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
        let lease = Some(lease.to_string().into());
        let query = Transaction {
            compare: &[],
            success: [Operation::RequestPut { key: &key, value: &value, lease }],
            failure: [Operation::RequestRange(Range { key: &key, range_end: None })],
        };
        match self.transact(&query).await {
            Ok(_) => Ok(true),
            // The gateway rejects a write under an unknown lease.
            Err(Error::Protocol(_)) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn grant(&self, term: Span) -> Result<Id> {
        let seconds = (term.as_millis() / MILLIS_PER_SECOND).max(1).to_string().into();
        let answer: GrantAnswer = self.call("/v3/lease/grant", &GrantQuery { seconds }).await?;
        answer.id.parse().map_err(|e: yuccacroft_core::errors::Error| protocol_error(&e))
    }

    async fn renew(&self, lease: Id) -> Result<bool> {
        let query = LeaseQuery { id: lease.to_string().into() };
        let answer: RenewAnswer = self.call("/v3/lease/keepalive", &query).await?;
        Ok(!matches!(&*answer.result.seconds, "" | "0"))
    }

    async fn revoke(&self, lease: Id) -> Result<()> {
        let query = LeaseQuery { id: lease.to_string().into() };
        let _: RevokeAnswer = self.call("/v3/lease/revoke", &query).await?;
        Ok(())
    }

    async fn create_with_lease(&self, key: &str, value: &str, lease: Id) -> Result<WriteResult> {
        let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
        let expected = Expected::Mod { mod_revision: "0".into() };
        let lease = Some(lease.to_string().into());
        let query = Transaction {
            compare: &[Compare { key: &key, result: "EQUAL", expected }],
            success: [Operation::RequestPut { key: &key, value: &value, lease }],
            failure: [Operation::RequestRange(Range { key: &key, range_end: None })],
        };
        self.transact(&query).await
    }

    async fn put_if_lease_held(
        &self,
        key: &str,
        value: &str,
        lease_key: &str,
        permit: Permit,
    ) -> Result<WriteResult> {
        let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
        let lease_key = STANDARD.encode(lease_key);
        let expected = Expected::Lease { lease: permit.lease().to_string().into() };
        let query = Transaction {
            compare: &[Compare { key: &lease_key, result: "EQUAL", expected }],
            success: [Operation::RequestPut { key: &key, value: &value, lease: None }],
            failure: [Operation::RequestRange(Range { key: &lease_key, range_end: None })],
        };
        self.transact(&query).await
    }
}

/// Returns the end of the key range of a prefix: the smallest key greater than all keys with the
/// prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
