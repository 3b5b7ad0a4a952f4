//! A client of the etcd version 3 JSON gateway.
//!
//! Source: etcd documentation, "gRPC gateway". Keys and values are base64, 64-bit numbers are
//! decimal strings.

use {
    crate::{
        errors::{Error, Result},
        store::{Item, Listing, Outcome, Store},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    yuccacroft_core::ids::Revision,
};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A connection pool to one address of the store.
#[derive(Clone, Debug)]
pub struct Gateway {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

#[derive(Serialize)]
struct Range<'a> {
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<&'a str>,
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Default, Deserialize)]
struct Header {
    #[serde(default)]
    revision: Box<str>,
}

#[derive(Deserialize)]
struct Pair {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    mod_revision: Box<str>,
}

#[derive(Serialize)]
struct Transaction<'a> {
    compare: [Compare<'a>; 1],
    success: [Operation<'a>; 1],
    failure: [Operation<'a>; 1],
}

#[derive(Serialize)]
struct Compare<'a> {
    key: &'a str,
    target: &'static str,
    result: &'static str,
    mod_revision: Box<str>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Operation<'a> {
    RequestPut { key: &'a str, value: &'a str },
    RequestRange(Range<'a>),
}

#[derive(Deserialize)]
struct TransactionAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OperationAnswer>,
}

#[derive(Deserialize)]
struct OperationAnswer {
    response_range: Option<RangeAnswer>,
}

impl Gateway {
    /// Creates a client. A call that takes longer than `timeout` counts as lost.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { address, client, timeout }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(&self, path: &str, query: &Q) -> Result<A> {
        let body = serde_json::to_vec(query).map_err(|e| protocol(&e))?;
        let request = http::Request::post(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| protocol(&e))?;
        let answer = tokio::time::timeout(self.timeout, self.exchange(request));
        let bytes = answer.await.map_err(|_| Error::Uncertain("timeout".into()))??;
        serde_json::from_slice(&bytes).map_err(|e| protocol(&e))
    }

    async fn exchange(&self, request: http::Request<Full<Bytes>>) -> Result<Bytes> {
        let response = self.client.request(request).await.map_err(|error| {
            let text = error.to_string().into();
            if error.is_connect() { Error::Unreachable(text) } else { Error::Uncertain(text) }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let bytes = body.map_err(|e| Error::Uncertain(e.to_string().into()))?.to_bytes();
        if status.is_server_error() {
            return Err(Error::Uncertain(status.to_string().into()));
        }
        if !status.is_success() {
            return Err(Error::Protocol(status.to_string().into()));
        }
        Ok(bytes)
    }
}

impl Store for Gateway {
    async fn get(&self, key: &str) -> Result<Option<Item>> {
        let query = Range { key: &STANDARD.encode(key), range_end: None };
        let answer: RangeAnswer = self.call("/v3/kv/range", &query).await?;
        answer.kvs.into_iter().next().map(item).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let end = STANDARD.encode(prefix_end(prefix));
        let query = Range { key: &STANDARD.encode(prefix), range_end: Some(&end) };
        let answer: RangeAnswer = self.call("/v3/kv/range", &query).await?;
        let items: Result<Vec<Item>> = answer.kvs.into_iter().map(item).collect();
        Ok(Listing { revision: revision(&answer.header.revision)?, items: items?.into() })
    }

    async fn put(&self, key: &str, value: &str, base: Revision) -> Result<Outcome> {
        let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
        let compare = Compare {
            key: &key,
            target: "MOD",
            result: "EQUAL",
            mod_revision: base.to_string().into(),
        };
        let query = Transaction {
            compare: [compare],
            success: [Operation::RequestPut { key: &key, value: &value }],
            failure: [Operation::RequestRange(Range { key: &key, range_end: None })],
        };
        let answer: TransactionAnswer = self.call("/v3/kv/txn", &query).await?;
        if answer.succeeded {
            return Ok(Outcome::Accepted(revision(&answer.header.revision)?));
        }
        let found = answer.responses.into_iter().find_map(|r| r.response_range);
        let pair = found.and_then(|range| range.kvs.into_iter().next());
        Ok(Outcome::Conflict(pair.map(item).transpose()?))
    }
}

/// Returns the smallest key behind all keys with a prefix.
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

fn item(pair: Pair) -> Result<Item> {
    Ok(Item {
        key: text(&pair.key)?,
        value: text(&pair.value)?,
        revision: revision(&pair.mod_revision)?,
    })
}

fn text(encoded: &str) -> Result<Box<str>> {
    let bytes = STANDARD.decode(encoded).map_err(|e| protocol(&e))?;
    String::from_utf8(bytes).map(Into::into).map_err(|e| protocol(&e))
}

fn revision(text: &str) -> Result<Revision> {
    text.parse().map_err(|e: yuccacroft_core::errors::Error| protocol(&e))
}

fn protocol(cause: &dyn std::fmt::Display) -> Error {
    Error::Protocol(cause.to_string().into())
}
